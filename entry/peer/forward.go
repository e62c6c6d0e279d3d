package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// A request is forwarded in two calls: Offer, which runs nothing, and Run. The
// client may therefore give up on a peer that is slow to answer the offer and run
// the request itself, without the request running twice. With a single call that the
// peer acknowledged on acceptance, a peer short of processor time ran requests that
// their client had given up, on more leaves than their route allows.

const (
	// maxPendingOffers bounds the offers of one connection that wait for Run.
	maxPendingOffers = 1024
	// offerLifetime is the time after which an offer without Run is dropped.
	offerLifetime = 5 * time.Second
)

// offer stores an offered request, unless it is declined.
func (s *session) offer(from string, req *jsonrpc2.Request) (any, error) {
	handler := s.server.config.Forward
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
	}
	var r peerapi.ForwardRequest
	if err := decodeParams(req, &r); err != nil {
		return nil, err
	}
	if declined := handler.Offer(from, &r); declined != "" {
		return peerapi.OfferReply{Declined: declined}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.offers == nil || len(s.offers) >= maxPendingOffers || !s.server.reserve(forwardedCost(&r)) {
		return peerapi.OfferReply{Declined: "too many offers"}, nil
	}
	s.offers[r.ID] = &r
	time.AfterFunc(offerLifetime, func() { s.dropOffer(r.ID) })
	return peerapi.OfferReply{}, nil
}

// forwardedBaseCost is the memory of a forwarded request beside its body, in bytes.
const forwardedBaseCost = 16 << 10

// forwardedCost returns the memory of a forwarded request in bytes.
func forwardedCost(r *peerapi.ForwardRequest) int64 {
	return forwardedBaseCost + int64(len(r.Body))
}

// reserve accounts for the memory of a forwarded request, if there is room.
func (s *Server) reserve(n int64) bool {
	if s.forwarded.Add(n) <= maxForwardedMemory {
		return true
	}
	s.forwarded.Add(-n)
	s.config.OnReject(rejectForwarded)
	return false
}

// dropOffer removes an offer that will not run, if there is one.
func (s *session) dropOffer(id uint64) {
	if r := s.takeOffer(id); r != nil {
		s.server.forwarded.Add(-forwardedCost(r))
	}
}

// takeOffer removes an offer and returns it, or nil if there is none.
func (s *session) takeOffer(id uint64) *peerapi.ForwardRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.offers[id]
	delete(s.offers, id)
	return r
}

// runOffered runs an offered request. The run ends when the connection closes.
func (s *session) runOffered(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := decodeParams(req, &id); err != nil {
		return nil, err
	}
	r := s.takeOffer(id.ID)
	if r == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no such offer"}
	}
	run := &activeRun{}
	runCtx, cancel := context.WithCancel(ctx)
	run.ctx, run.cancel = runCtx, sync.OnceFunc(func() {
		cancel()
		s.server.forwarded.Add(-forwardedCost(r))
	})
	if !s.addRun(id.ID, run) {
		run.cancel()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the connection has ended"}
	}
	reply, next := s.server.config.Forward.RunOffered(run.ctx, r)
	if run.ctx.Err() != nil {
		s.endRun(id.ID)
		return nil, newRunEndedError()
	}
	if next == nil {
		s.endRun(id.ID)
		return reply, nil
	}
	s.mu.Lock()
	run.next = next
	s.mu.Unlock()
	time.AfterFunc(time.Duration(r.RemainingUS)*time.Microsecond, func() { s.endRun(id.ID) })
	return reply, nil
}

// newRunEndedError returns the error reply for a run that was canceled or cut short
// by the stop of this instance. Its reply may be partial and must not pass for a
// complete one.
func newRunEndedError() error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "the run was ended"}
}

// activeRun is a forwarded request in progress.
type activeRun struct {
	ctx    context.Context // outlives the Run call if more replies follow
	cancel func()          // ends the run and its use of memory
	next   NextReplyFunc   // nil until the first reply has been returned
}

// nextReply waits for the reply of a run that follows the previous one.
func (s *session) nextReply(req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := decodeParams(req, &id); err != nil {
		return nil, err
	}
	run, next := s.findContinuingRun(id.ID)
	if next == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "no such run"}
	}
	reply, more := next(run.ctx)
	if run.ctx.Err() != nil {
		return nil, newRunEndedError()
	}
	if !more {
		s.endRun(id.ID)
	}
	return reply, nil
}

// findContinuingRun returns a run that has returned its first reply; next is nil if
// there is none.
func (s *session) findContinuingRun(id uint64) (run *activeRun, next NextReplyFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run = s.running[id]; run == nil {
		return nil, nil
	}
	return run, run.next
}

// addRun registers a run. It returns false if the connection is closed.
func (s *session) addRun(id uint64, run *activeRun) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return false
	}
	s.running[id] = run
	return true
}

// endRun cancels and removes a run, if there is one.
func (s *session) endRun(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run := s.running[id]; run != nil {
		run.cancel()
	}
	delete(s.running, id)
}

// cancelRequest drops the offer or ends the run of a request that its client canceled.
func (s *session) cancelRequest(req *jsonrpc2.Request) (any, error) {
	var id peerapi.ForwardID
	if err := decodeParams(req, &id); err != nil {
		return nil, err
	}
	s.dropOffer(id.ID)
	s.endRun(id.ID)
	return struct{}{}, nil
}

// cancelAll ends all runs and drops all offers when the connection has closed.
func (s *session) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.running {
		run.cancel()
	}
	for _, r := range s.offers {
		s.server.forwarded.Add(-forwardedCost(r))
	}
	s.offers, s.running = nil, nil
}

// NotAcceptedError says that a peer did not accept a request and will not run it.
type NotAcceptedError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("peer %s did not accept the request: %v", e.Address, e.Err)
}

// Unwrap gives the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Err }

// DeclinedError says that a peer declined a request, with the peer's reason.
type DeclinedError struct{ Reason string }

// Error implements error.
func (e *DeclinedError) Error() string { return "declined: " + e.Reason }

// OfferOptions configures how Forward offers a request.
type OfferOptions struct {
	// Timeout is the time that the peer has to accept. A stall of this process
	// uses up at most one of its waitPeriods parts.
	Timeout time.Duration
	// Confirm is called when the peer has accepted, before Run is sent. If it
	// returns false, Run isn't sent and the request doesn't run. Nil means true.
	Confirm func() bool
}

// ErrRecalled is the cause of a NotAcceptedError when OfferOptions.Confirm returned
// false.
var ErrRecalled = errors.New("recalled before it ran")

// Forward forwards a request to a peer and returns its first reply. The error is a
// *NotAcceptedError if the request hasn't run, or an *UnreachableError if the call
// failed after the peer had accepted, when the request may have run.
func (c *Client) Forward(ctx context.Context, t Target, r *peerapi.ForwardRequest, o OfferOptions) (*peerapi.ForwardReply, error) {
	r.ID = c.lastRequestID.Add(1)
	if err := c.offer(ctx, t, r, o.Timeout); err != nil {
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	if o.Confirm != nil && !o.Confirm() {
		return nil, &NotAcceptedError{Address: t.Address, Err: ErrRecalled}
	}
	conn, err := c.getConn(ctx, t)
	if err != nil {
		return nil, &NotAcceptedError{Address: t.Address, Err: err}
	}
	return c.awaitReply(ctx, conn, t, peerapi.MethodRun, r.ID)
}

// NextReply waits for the reply of a run that follows the previous one. It ends the
// run if ctx ends first.
func (c *Client) NextReply(ctx context.Context, t Target, id uint64) (*peerapi.ForwardReply, error) {
	conn, err := c.getConn(ctx, t)
	if err != nil {
		return nil, &UnreachableError{Address: t.Address, Method: peerapi.MethodRest, Err: err}
	}
	return c.awaitReply(ctx, conn, t, peerapi.MethodRest, id)
}

// awaitReply calls a method that returns a reply of a run, and cancels the run if the
// call fails.
func (c *Client) awaitReply(ctx context.Context, conn *peerConn, t Target, method string, id uint64) (*peerapi.ForwardReply, error) {
	var reply peerapi.ForwardReply
	if err := conn.Call(ctx, method, peerapi.ForwardID{ID: id}, &reply); err != nil {
		c.sendCancel(conn, id)
		return nil, &UnreachableError{Address: t.Address, Method: method, Err: err}
	}
	return &reply, nil
}

// offer makes the Offer call. It returns context.DeadlineExceeded if the peer hasn't
// answered within timeout.
func (c *Client) offer(ctx context.Context, t Target, r *peerapi.ForwardRequest, timeout time.Duration) error {
	ctx, release := withStallTolerantTimeout(ctx, timeout)
	defer release()
	var reply peerapi.OfferReply
	conn, err := c.getConn(ctx, t)
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

// sendCancel tells a peer in the background to cancel a request. It ignores a failure:
// the peer cancels the requests of a closed connection itself.
func (c *Client) sendCancel(conn *peerConn, id uint64) {
	go func() {
		_ = conn.Notify(context.Background(), peerapi.MethodCancel, peerapi.ForwardID{ID: id})
	}()
}
