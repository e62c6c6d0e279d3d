// Package leafclient sends sub-requests to leaves by the leaf protocol and manages
// the connections to them: how many there are, how fast they are opened, and which
// are opened ahead of traffic. Its errors say whether a request can have run: after
// a DialError or a DeclinedError it did not, after a BrokenError it may have.
package leafclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Target is a leaf with its address and connection limits.
type Target struct {
	ID string
	// Name is the leaf's own name for itself; if empty, that is its ID.
	Name    string
	Address string // IP:port
	// Connections is the most connections this entry may hold to the leaf.
	Connections int
	// Transient says that this entry's share of the leaf's connection limit is less
	// than one connection: a connection is opened for one exchange and closed after it,
	// so that other entries can connect.
	Transient bool
	// DialCost is the usual time that a dial takes; at most one dial starts per
	// DialCost. 0 sets no rate limit.
	DialCost time.Duration
}

// NameOrID returns Name, or ID if there is none.
func (t Target) NameOrID() string {
	if t.Name != "" {
		return t.Name
	}
	return t.ID
}

// Request is one attempt at one leaf.
type Request struct {
	ID      string // the query's id
	Attempt string // the attempt's ID, unguessable
	Version uint64 // required index version; 0: any
	Range   keyrange.Range
	Body    []byte
	// Forwarded is the caller's HTTP request where it is forwarded unchanged; nil in
	// the leaf protocol, which sends Body.
	Forwarded *ForwardedRequest
	// Merged says that a forwarded request's answer is merged with others.
	Merged bool
	// OnDiscard, if it is not nil, is called when bytes of the leaf are discarded.
	OnDiscard func(DiscardReason)
}

// Discard calls OnDiscard.
func (r *Request) Discard(reason DiscardReason) {
	if r.OnDiscard != nil {
		r.OnDiscard(reason)
	}
}

// LeafStatus is the state that a leaf reports with each reply, decline and health
// response.
type LeafStatus struct {
	Versions []uint64 // index versions that the leaf serves
	Draining bool
	// StartMillis is the leaf's start time by its own clock, in Unix milliseconds; 0: not
	// reported.
	StartMillis int64
}

// Reply is a complete reply whose headers and checksum are valid.
type Reply struct {
	Version uint64
	Ranges  []keyrange.Range
	Body    []byte
	LeafStatus
	// Service is the time that the request held a slot, as the leaf reports it; 0: not
	// reported.
	Service time.Duration
	// Attachment is protocol-specific data that goes with the answer to the code that
	// writes it to the caller; nil in the leaf protocol.
	Attachment any
}

// Client sends requests to leaves by the leaf protocol. It is safe for concurrent
// use.
type Client struct {
	maxBody int64
	memory  *bodyMemory
	mu      sync.Mutex
	leaves  map[string]*leafTransport // by Target.key
}

// New returns a Client that accepts reply bodies of at most maxBody bytes.
func New(maxBody int64) *Client {
	return &Client{maxBody: maxBody, memory: newBodyMemory(defaultBodyMemory, 2*maxBody), leaves: make(map[string]*leafTransport)}
}

// Run sends one attempt and reads the reply. It calls beforeSend at most once, when
// it has a connection and has sent nothing; if beforeSend returns false, Run sends
// nothing and returns a *DialError. The error, if any, is a *DialError,
// *DeclinedError or *BrokenError.
func (c *Client) Run(ctx context.Context, t Target, r *Request, beforeSend func() bool) (*Reply, error) {
	lt := c.transportFor(t)
	gate := &sendGate{beforeSend: beforeSend}
	trace := &httptrace.ClientTrace{GotConn: gate.gotConn}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, r)
	if err != nil {
		return nil, &DialError{Leaf: t.ID, Err: err}
	}
	resp, err := lt.transport.RoundTrip(req)
	if err != nil {
		if !gate.isAllowed() {
			return nil, &DialError{Leaf: t.ID, Err: err}
		}
		return nil, newBrokenError(ctx, t.ID, err)
	}
	defer resp.Body.Close()
	return c.readReply(ctx, t, r, resp)
}

// sendGate calls beforeSend when the first connection is ready, and blocks writing if
// it returns false.
type sendGate struct {
	beforeSend func() bool
	mu         sync.Mutex
	asked      bool // beforeSend has been called
	allowed    bool // beforeSend returned true
}

// gotConn implements httptrace.ClientTrace.GotConn: the transport calls it before it
// writes to a connection, and again when it takes another connection because
// nothing could be written to the first.
func (g *sendGate) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.asked {
		g.asked = true
		g.allowed = g.beforeSend()
	}
	if g.allowed {
		return
	}
	if conn, ok := info.Conn.(*quotaConn); ok {
		conn.writesBlocked.Store(true)
	}
}

// isAllowed reports whether beforeSend returned true.
func (g *sendGate) isAllowed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allowed
}

// newRequest returns the HTTP request of an attempt. It sets no header that makes
// net/http treat the request as replayable, such as Idempotency-Key: the transport
// must not resend it by itself.
func newRequest(ctx context.Context, t Target, r *Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+leafapi.PathRun, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set(leafapi.HeaderRequest, r.ID)
	req.Header.Set(leafapi.HeaderAttempt, r.Attempt)
	req.Header.Set(leafapi.HeaderVersion, strconv.FormatUint(r.Version, 10))
	req.Header.Set(leafapi.HeaderRange, r.Range.String())
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 0)
		req.Header.Set(leafapi.HeaderDeadlineMS, strconv.FormatInt(left, 10))
	}
	return req, nil
}

// readReply reads a response and checks it in full: attempt, status, versions, ranges
// and checksum. The error is a *DeclinedError or *BrokenError. A response to another attempt
// is not read to its end, which closes the connection: the next response on it could be another's
// too.
func (c *Client) readReply(ctx context.Context, t Target, r *Request, resp *http.Response) (*Reply, error) {
	if resp.Header.Get(leafapi.HeaderAttempt) != r.Attempt {
		r.Discard(DiscardOtherRequest)
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: errors.New("reply is for another attempt")}
	}
	versions, err := leafapi.ParseVersions(resp.Header.Get(leafapi.HeaderVersions))
	if err != nil {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: err}
	}
	status := LeafStatus{
		Versions: versions, Draining: resp.Header.Get(leafapi.HeaderDraining) == "1",
		StartMillis: leafapi.ParseStartMillis(resp.Header.Get(leafapi.HeaderStartMillis)),
	}
	if decline := resp.Header.Get(leafapi.HeaderNotRun); decline != "" && resp.StatusCode >= http.StatusBadRequest {
		return nil, readDecline(t, resp, leafapi.Decline(decline), status)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseStatus, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(dialTimeout)
	}
	body, err := c.memory.readBody(resp, c.maxBody, waiter{ctx, deadline})
	if err != nil {
		if reason, ok := discardReason(ctx, err, true); ok {
			r.Discard(reason)
		}
		return nil, newBrokenError(ctx, t.ID, err)
	}
	reply := &Reply{Body: body, LeafStatus: status}
	if err := reply.parseHeaders(resp.Header); err != nil {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: err}
	}
	return reply, nil
}

// maxDeclineBody is the most bytes read of a decline's body; a connection with more is closed.
const maxDeclineBody = 4 << 10

// readDecline returns the *DeclinedError of a response, and drains the body so that
// the connection can be reused.
func readDecline(t Target, resp *http.Response, reason leafapi.Decline, status LeafStatus) error {
	ranges, err := keyrange.ParseList(resp.Header.Get(leafapi.HeaderRanges))
	if err != nil {
		ranges = nil // a decline's ranges are only a hint
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDeclineBody))
	return &DeclinedError{Leaf: t.ID, Reason: reason, Ranges: ranges, LeafStatus: status}
}

// parseHeaders fills the reply from the headers h. It fails if the checksum differs.
func (p *Reply) parseHeaders(h http.Header) error {
	if sum := h.Get(leafapi.HeaderChecksum); sum != fmt.Sprintf("%016x", xxhash.Sum64(p.Body)) {
		return errors.New("reply body does not match its checksum")
	}
	var err error
	if p.Version, err = strconv.ParseUint(h.Get(leafapi.HeaderVersion), 10, 64); err != nil {
		return fmt.Errorf("reply version: %w", err)
	}
	if p.Ranges, err = keyrange.ParseList(h.Get(leafapi.HeaderRanges)); err != nil {
		return fmt.Errorf("reply ranges: %w", err)
	}
	if us, err := strconv.ParseInt(h.Get(leafapi.HeaderServiceUS), 10, 64); err == nil && us > 0 {
		p.Service = time.Duration(us) * time.Microsecond
	}
	return nil
}
