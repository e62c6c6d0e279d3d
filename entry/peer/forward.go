package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// forward runs a request that a peer hands over. It ends with the connection.
func (s *session) forward(ctx context.Context, conn *jsonrpc2.Conn, from string, req *jsonrpc2.Request) (any, error) {
	handler := s.server.config.Forward
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
	var r peerapi.ForwardRequest
	if err := params(req, &r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.begin(r.ID, cancel) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the connection has ended, or the id is in use"}
	}
	defer s.end(r.ID)
	accepted := func() {
		// A peer that does not hear of it runs the request itself and cancels it here.
		_ = conn.Notify(ctx, peerapi.MethodAccepted, peerapi.ForwardID{ID: r.ID})
	}
	return handler.Forward(ctx, from, r, accepted), nil
}

// begin notes a request in progress.
func (s *session) begin(id uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.forwards[id]; used || s.forwards == nil {
		return false
	}
	s.forwards[id] = cancel
	return true
}

// end forgets it.
func (s *session) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.forwards, id)
}

// cancel ends a request whose client has gone.
func (s *session) cancel(req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := params(req, &id); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.forwards[id.ID]; cancel != nil {
		cancel()
	}
	return struct{}{}, nil
}

// cancelAll ends all requests of a connection that has ended.
func (s *session) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.forwards {
		cancel()
	}
	s.forwards = nil
}

// NotAcceptedError says that a peer did not take a request over.
type NotAcceptedError struct {
	Address string
	// Sent says that the peer may have got the request all the same, and may run
	// it until it hears that it is cancelled.
	Sent bool
	Err  error
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("peer %s did not take the request over: %v", e.Address, e.Err)
}

// Unwrap gives the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// errSilent says that a peer did not accept in time.
var errSilent = fmt.Errorf("no word within the time to accept")

// Forward hands a request over to a peer, which must accept it within the given
// time. The error is a *NotAcceptedError, or says that the peer was lost later.
func (c *Client) Forward(ctx context.Context, t Target, r peerapi.ForwardRequest, within time.Duration) (*peerapi.ForwardReply, error) {
	dial, cancel := context.WithTimeout(ctx, within)
	conn, err := c.conn(dial, t)
	cancel()
	if err != nil {
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	accepted := make(chan struct{})
	r.ID = c.await(accepted)
	defer c.forget(r.ID)
	call, err := conn.DispatchCall(ctx, peerapi.MethodForward, r)
	if err != nil {
		c.drop(t, conn)
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	var reply peerapi.ForwardReply
	done := make(chan error, 1)
	go func() { done <- call.Wait(ctx, &reply) }()
	if !acceptedWithin(accepted, done, within) {
		c.cancelForward(conn, r.ID)
		return nil, &NotAcceptedError{Address: t.Address, Sent: true, Err: errSilent}
	}
	return c.forwarded(t, conn, r.ID, &reply, <-done)
}

// lookAgain is for how long an instance that was late itself looks for a word
// that has already arrived: one without processor time finds its timer and the
// word at the same moment, and may look at the timer first.
const lookAgain = 10 * time.Millisecond

// acceptedWithin waits for the word that a request was accepted, or for its end,
// which leaves done as it was.
func acceptedWithin(accepted <-chan struct{}, done chan error, within time.Duration) bool {
	for _, d := range []time.Duration{within, lookAgain} {
		timer := time.NewTimer(d)
		select {
		case <-accepted:
			timer.Stop()
			return true
		case err := <-done:
			timer.Stop()
			done <- err
			return true
		case <-timer.C:
		}
	}
	return false
}

// forwarded ends a call: a client that has gone is told to the peer.
func (c *Client) forwarded(t Target, conn *jsonrpc2.Conn, id uint64, reply *peerapi.ForwardReply, err error) (*peerapi.ForwardReply, error) {
	if err == nil {
		return reply, nil
	}
	c.cancelForward(conn, id)
	return nil, &UnreachableError{Address: t.Address, Method: peerapi.MethodForward, Err: err}
}

// cancelForward tells a peer that nobody waits for a request any more. It does
// not wait for the word to arrive; a connection that is lost says as much.
func (c *Client) cancelForward(conn *jsonrpc2.Conn, id uint64) {
	go func() {
		_ = conn.Notify(context.Background(), peerapi.MethodCancel, peerapi.ForwardID{ID: id})
	}()
}

// await gives a forwarded request an id, and notes whom to tell of its acceptance.
func (c *Client) await(accepted chan struct{}) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastForward++
	if c.forwards == nil {
		c.forwards = make(map[uint64]chan struct{})
	}
	c.forwards[c.lastForward] = accepted
	return c.lastForward
}

// forget ends that.
func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.forwards, id)
}

// called answers a server that calls back: it may only tell of an acceptance.
func (c *Client) called(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Method != peerapi.MethodAccepted {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
	}
	var id peerapi.ForwardID
	if err := params(req, &id); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted, ok := c.forwards[id.ID]; ok {
		close(accepted)
		delete(c.forwards, id.ID)
	}
	return struct{}{}, nil
}
