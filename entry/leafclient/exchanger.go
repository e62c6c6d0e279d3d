package leafclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Exchanger runs HTTP/1.1 exchanges over connections of its own, for leaf
// protocols that need guarantees which http.Transport does not give: it never
// resends a request by itself, never takes an unsolicited response for the next
// reply, and reuses a connection only after a complete exchange whose response named
// the request. A small exchange costs one write and, usually, one read, in the
// caller's goroutine. It is safe for concurrent use.
type Exchanger struct {
	maxBody int64
	memory  *bodyMemory
	sockets sockets
	mu      sync.Mutex
	leaves  map[string]*socketPool // by Target.key
}

// ExchangeRequest is one request of an Exchanger.
type ExchangeRequest struct {
	// ID is the request's ID; empty: it has none.
	ID     string
	Method string
	// AppendHead appends the request line and the headers, with the empty line that
	// ends them, to buf; left is the time until the deadline.
	AppendHead func(buf []byte, left time.Duration) []byte
	Body       []byte
	// Merged says that the answer is merged with others.
	Merged bool
	// ParseHead translates the head of a response.
	ParseHead func(*http.Response) AnswerHead
	// OnDiscard, if it is not nil, is called when bytes of the leaf are discarded.
	OnDiscard func(DiscardReason)
}

// discard calls OnDiscard.
func (r *ExchangeRequest) discard(reason DiscardReason) {
	if r.OnDiscard != nil {
		r.OnDiscard(reason)
	}
}

// ExchangeResponse is a complete response that is proven to be its request's own.
type ExchangeResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Verdict is what the response proves. Discarded is why it is no answer, and empty for one.
	Verdict   Verdict
	Discarded DiscardReason
	// Closing says that the leaf closes the connection after this response.
	Closing bool
}

// NewExchanger returns an Exchanger that accepts response bodies of at most maxBody bytes each, and
// holds at most about bodyMemory bytes of them, 0 for a default.
func NewExchanger(maxBody, bodyMemory int64) *Exchanger {
	if bodyMemory == 0 {
		bodyMemory = defaultBodyMemory
	}
	return &Exchanger{maxBody: maxBody, memory: newBodyMemory(bodyMemory, 2*maxBody), leaves: make(map[string]*socketPool)}
}

// Do runs one exchange. It calls beforeSend at most once, when it has a connection
// and has sent nothing; if beforeSend returns false, Do sends nothing and returns a
// *DialError. The error, if any, is a *DialError or *BrokenError.
func (x *Exchanger) Do(ctx context.Context, t Target, out *ExchangeRequest, beforeSend func() bool) (*ExchangeResponse, error) {
	s := x.poolFor(t)
	c, err := s.get(ctx, out.ID)
	if err != nil {
		return nil, &DialError{Leaf: t.ID, Err: err}
	}
	if !beforeSend() {
		s.put(c)
		return nil, &DialError{Leaf: t.ID, Err: ErrCancelledBeforeSend}
	}
	in, keep, err := x.exchange(ctx, c, out)
	if err != nil {
		s.reset(c)
		if reason, ok := discardReason(ctx, err, c.received); ok {
			out.discard(reason)
		}
		return nil, newBrokenError(ctx, t.ID, err)
	}
	if in.Discarded != "" {
		out.discard(in.Discarded)
	}
	if keep {
		c.history.add(out.ID)
		s.put(c)
	} else {
		s.drop(c)
	}
	return in, nil
}

// exchange sends the request and reads the complete response. It reports in keep
// whether the connection may be reused.
func (x *Exchanger) exchange(ctx context.Context, c *socket, out *ExchangeRequest) (in *ExchangeResponse, keep bool, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(dialTimeout)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	defer func() {
		if !stop() {
			keep = false // abort has set the connection's deadline to the past
		}
	}()
	c.received = false
	c.history.unsolicited = c.history.requests == 0 && !c.isEmpty()
	written, err := c.send(out, time.Until(deadline))
	if err != nil {
		return nil, false, err
	}
	in, reusable, err := x.receive(c, out, waiter{ctx, deadline})
	if err != nil {
		return nil, false, err
	}
	keep = reusable && c.reader.Buffered() == 0 && written() && c.conn.SetDeadline(time.Time{}) == nil
	c.setMaxIdle(in.Header.Get("Keep-Alive"))
	return in, keep, nil
}

// poolFor returns the leaf's connection pool and creates it on first use.
func (x *Exchanger) poolFor(t Target) *socketPool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.leaves[t.key()]
	if !ok {
		s = newSocketPool(t, &x.sockets)
		x.leaves[t.key()] = s
	}
	return s
}

// Apply sets the connection limits of a new view, and closes the idle connections of
// leaves that are over their limit and of those whose ID and address are not in it.
func (x *Exchanger) Apply(targets []Target) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.key()] = true
		x.poolFor(t).updateLimits(t)
	}
	x.mu.Lock()
	var dropped []*socketPool
	for key, s := range x.leaves {
		if !named[key] {
			dropped = append(dropped, s)
			delete(x.leaves, key)
		}
	}
	x.mu.Unlock()
	for _, s := range dropped {
		s.close()
	}
}

// LimitSockets sets the maximum number of open sockets of all connections, 0 for no limit. At the
// limit, idle connections to any leaf are closed for new ones.
func (x *Exchanger) LimitSockets(n int) {
	x.sockets.limit(n, x.closeIdle)
}

// Sockets returns the number of open sockets.
func (x *Exchanger) Sockets() int { return x.sockets.count() }

// closeIdle closes an idle connection to any leaf. It reports false if there is none.
func (x *Exchanger) closeIdle() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.leaves {
		if c := s.popOldest(); c != nil {
			s.drop(c)
			return true
		}
	}
	return false
}

// Close removes all leaves and closes their idle connections.
func (x *Exchanger) Close() { x.Apply(nil) }

// Opened returns the number of dials started and of connections that count against a
// quota, summed over the current leaves.
func (x *Exchanger) Opened() (dials int64, open int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.leaves {
		used, _ := s.quota.count()
		dials += s.dials.Load()
		open += used
	}
	return dials, open
}

// minFinalStatus is the lowest final HTTP status; lower ones are interim.
const minFinalStatus = 200

// errNotHTTP replaces the error of malformed bytes, whose text holds what the leaf sent.
var errNotHTTP = &discardError{DiscardMalformed, errors.New("malformed HTTP response")}

// readHead reads the head of the final response and skips interim ones.
func (c *socket) readHead(method string) (*http.Response, error) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		c.received = true
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		var timeout net.Error
		var discarded *discardError
		switch {
		case err == nil:
		case isClosed(err), errors.As(err, &discarded), errors.As(err, &timeout):
			return nil, fmt.Errorf("read response: %w", err)
		default:
			return nil, errNotHTTP
		}
		if resp.StatusCode >= minFinalStatus {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &discardError{DiscardMalformed, errors.New("unsolicited response 101 Switching Protocols")}
		}
	}
}
