package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// A request is handed over in two calls: an offer, by which nothing is run, and
// the word to run it. Whoever offers may therefore give up on a peer that is slow
// to answer and run the request itself: it is never run twice. With one call and
// a word back that it was accepted, a peer without processor time ran requests
// that had been given up, on more leaves than their route allows.

// mostOffers bounds the offers that wait on one connection; an older one than
// offerTime is dropped for a new one.
const (
	mostOffers = 1024
	offerTime  = 5 * time.Second
)

// offer keeps a request that a peer offers, unless it is declined.
func (s *session) offer(from string, req *jsonrpc2.Request) (any, error) {
	handler := s.server.config.Forward
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
	var r peerapi.ForwardRequest
	if err := params(req, &r); err != nil {
		return nil, err
	}
	if declined := handler.Offer(from, &r); declined != "" {
		return peerapi.OfferReply{Declined: declined}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offers == nil || len(s.offers) >= mostOffers {
		return peerapi.OfferReply{Declined: "too many offers"}, nil
	}
	s.offers[r.ID] = &r
	time.AfterFunc(offerTime, func() { s.take(r.ID) })
	return peerapi.OfferReply{}, nil
}

// take removes an offer and returns it, or nil.
func (s *session) take(id uint64) *peerapi.ForwardRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.offers[id]
	delete(s.offers, id)
	return r
}

// run runs what was offered. It ends with the connection.
func (s *session) run(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := params(req, &id); err != nil {
		return nil, err
	}
	r := s.take(id.ID)
	if r == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no such offer"}
	}
	in := &running{}
	in.ctx, in.cancel = context.WithCancel(ctx)
	if !s.begin(id.ID, in) {
		in.cancel()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the connection has ended"}
	}
	reply, rest := s.server.config.Forward.RunOffered(in.ctx, r)
	if in.ctx.Err() != nil {
		s.end(id.ID)
		return nil, errEnded()
	}
	if rest == nil {
		s.end(id.ID)
		return reply, nil
	}
	s.mu.Lock()
	in.rest = rest
	s.mu.Unlock()
	time.AfterFunc(time.Duration(r.RemainingUS)*time.Microsecond, func() { s.end(id.ID) })
	return reply, nil
}

// errEnded answers for a run that was ended: it has no answer of its own to give, and what
// the end of this instance cut off must not look whole.
func errEnded() error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "the run was ended"}
}

// running is a request in progress.
type running struct {
	ctx    context.Context // of the run, which outlives a call where there is a rest
	cancel context.CancelFunc
	rest   Rest // nil until the first reply
}

// rest waits for what a run brings after its first reply.
func (s *session) rest(req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := params(req, &id); err != nil {
		return nil, err
	}
	in, rest := s.goesOn(id.ID)
	if rest == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no such run"}
	}
	reply, going := rest(in.ctx)
	if in.ctx.Err() != nil {
		return nil, errEnded()
	}
	if !going {
		s.end(id.ID)
	}
	return reply, nil
}

// goesOn finds a run that has given its first reply; rest is nil without one.
func (s *session) goesOn(id uint64) (in *running, rest Rest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in = s.running[id]; in == nil {
		return nil, nil
	}
	return in, in.rest
}

// begin notes a request in progress.
func (s *session) begin(id uint64, in *running) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return false
	}
	s.running[id] = in
	return true
}

// end ends it.
func (s *session) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.running[id]; in != nil {
		in.cancel()
	}
	delete(s.running, id)
}

// cancel ends a request whose client has gone.
func (s *session) cancel(req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := params(req, &id); err != nil {
		return nil, err
	}
	s.take(id.ID)
	s.end(id.ID)
	return struct{}{}, nil
}

// cancelAll ends all requests of a connection that has ended.
func (s *session) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.running {
		in.cancel()
	}
	s.offers, s.running = nil, nil
}

// NotAcceptedError says that a peer did not take a request over, and will not run it.
type NotAcceptedError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("peer %s did not take the request over: %v", e.Address, e.Err)
}

// Unwrap gives the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// DeclinedError is a peer's word that it does not run a request.
type DeclinedError struct{ Reason string }

// Error implements error.
func (e *DeclinedError) Error() string { return "declined: " + e.Reason }

// Acceptance is how a peer takes a request over.
type Acceptance struct {
	// Within is the time that it may take to accept, counted while this instance runs.
	Within time.Duration
	// Accepted is called when it has, before the word to run goes out, which does
	// not if it returns false; nil: it always goes out.
	Accepted func() bool
}

// ErrRecalled is the cause of a NotAcceptedError where the word to run was not given.
var ErrRecalled = errors.New("recalled before it ran")

// Forward hands a request over to a peer. The error is a *NotAcceptedError, or says
// that the peer was lost after it had accepted: the request may have run then.
func (c *Client) Forward(ctx context.Context, t Target, r *peerapi.ForwardRequest, a Acceptance) (*peerapi.ForwardReply, error) {
	r.ID = c.lastOffer.Add(1)
	if err := c.offer(ctx, t, r, a.Within); err != nil {
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	if a.Accepted != nil && !a.Accepted() {
		return nil, &NotAcceptedError{Address: t.Address, Err: ErrRecalled}
	}
	conn, err := c.conn(ctx, t)
	if err != nil {
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	return c.follow(ctx, conn, t, peerapi.MethodRun, r.ID)
}

// Rest waits for what a run brings after its first reply. It ends the run where the
// context ends first.
func (c *Client) Rest(ctx context.Context, t Target, id uint64) (*peerapi.ForwardReply, error) {
	conn, err := c.conn(ctx, t)
	if err != nil {
		return nil, &UnreachableError{Address: t.Address, Method: peerapi.MethodRest, Err: err}
	}
	return c.follow(ctx, conn, t, peerapi.MethodRest, id)
}

// follow calls for a reply of a run, and ends the run if none comes.
func (c *Client) follow(ctx context.Context, conn *link, t Target, method string, id uint64) (*peerapi.ForwardReply, error) {
	var reply peerapi.ForwardReply
	if err := conn.Call(ctx, method, peerapi.ForwardID{ID: id}, &reply); err != nil {
		c.cancelForward(conn, id)
		return nil, &UnreachableError{Address: t.Address, Method: method, Err: err}
	}
	return &reply, nil
}

// offer makes the first call, and ends it after a time with context.DeadlineExceeded.
func (c *Client) offer(ctx context.Context, t Target, r *peerapi.ForwardRequest, within time.Duration) error {
	ctx, release := withRunningTime(ctx, within)
	defer release()
	var reply peerapi.OfferReply
	conn, err := c.conn(ctx, t)
	if err == nil {
		err = conn.Call(ctx, peerapi.MethodOffer, r, &reply)
	}
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	if err != nil {
		return err
	}
	if reply.Declined != "" {
		return &DeclinedError{Reason: reply.Declined}
	}
	return nil
}

// cancelForward tells a peer that nobody waits for a request any more. It does
// not wait for the word to arrive; a connection that is lost says as much.
func (c *Client) cancelForward(conn *link, id uint64) {
	go func() {
		_ = conn.Notify(context.Background(), peerapi.MethodCancel, peerapi.ForwardID{ID: id})
	}()
}
