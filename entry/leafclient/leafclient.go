// Package leafclient carries sub-requests to leaves by the leaf protocol. It
// holds the connections: how many, opened how fast, kept warm. What it reports
// of an exchange decides what may be claimed of it: a request that got no
// connection provably did not run, one that was declined neither, any other
// that has no whole reply may have run.
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

// Target is where and how a leaf is reached.
type Target struct {
	ID string
	// Name is what the leaf calls itself; empty: its ID.
	Name    string
	Address string // IP:port
	// Connections is the most connections this entry may hold to the leaf.
	Connections int
	// Transient says that this entry's share is less than one connection: one may be
	// opened for an exchange and is closed after it, so that others get their turn.
	Transient bool
	// DialCost is the usual time of a new connection; at most one dial starts per DialCost.
	DialCost time.Duration
}

// Called is what the leaf calls itself.
func (t Target) Called() string {
	if t.Name != "" {
		return t.Name
	}
	return t.ID
}

// Request is one attempt at one leaf.
type Request struct {
	ID      string // the query's id
	Attempt string // unguessable
	Version uint64 // wanted index version, 0 for any
	Range   keyrange.Range
	Body    []byte
	// Passed is the caller's request where it is handed on as it came; nil for
	// the own protocol, which sends Body.
	Passed *Passed
}

// Said is what a leaf says of itself, with each reply or when it is asked.
type Said struct {
	Versions []uint64 // of the index that it serves now
	Draining bool
	// Born is the leaf's start by its own clock, in Unix milliseconds; 0: not reported.
	Born int64
}

// Reply is a whole and checked reply.
type Reply struct {
	Version uint64
	Ranges  []keyrange.Range
	Body    []byte
	Said
	// Service is how long the leaf says that the request held a slot; 0 if it did not say.
	Service time.Duration
	// Carried is what the protocol's implementation hands on with the answer,
	// for whoever writes it to the caller; nil in the own protocol.
	Carried any
}

// Client reaches leaves. It is safe for concurrent use.
type Client struct {
	maxBody int64
	mu      sync.Mutex
	leaves  map[string]*leafConn // by leaf ID
}

// New makes a client that takes replies of at most maxBody bytes.
func New(maxBody int64) *Client {
	return &Client{maxBody: maxBody, leaves: make(map[string]*leafConn)}
}

// Run carries one attempt. The sent callback is called once, before any byte
// can have reached the leaf; if it returns false, none will, and the attempt
// ends with a *DialError. The error, if any, is a *DialError, *DeclinedError or
// *BrokenError.
func (c *Client) Run(ctx context.Context, t Target, r *Request, sent func() bool) (*Reply, error) {
	lc := c.leaf(t)
	gate := &sendGate{sent: sent}
	trace := &httptrace.ClientTrace{GotConn: gate.gotConn}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, r)
	if err != nil {
		return nil, &DialError{Leaf: t.ID, Err: err}
	}
	resp, err := lc.transport.RoundTrip(req)
	if err != nil {
		if !gate.passed() {
			return nil, &DialError{Leaf: t.ID, Err: err}
		}
		return nil, newBrokenError(ctx, t.ID, err)
	}
	defer resp.Body.Close()
	return c.readReply(ctx, t, r, resp)
}

// sendGate asks for leave to send when a connection is there.
type sendGate struct {
	sent  func() bool
	mu    sync.Mutex
	asked bool
	leave bool
}

// gotConn is called when a connection is there and nothing is written yet. The
// transport calls it again when it takes another connection because nothing
// could be written to the first.
func (g *sendGate) gotConn(info httptrace.GotConnInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.asked {
		g.asked = true
		g.leave = g.sent()
	}
	if g.leave {
		return
	}
	if conn, ok := info.Conn.(*countedConn); ok {
		conn.blocked.Store(true)
	}
}

// passed reports whether leave to send was given.
func (g *sendGate) passed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leave
}

// newRequest writes the protocol's headers. It sets no header by which
// net/http would take the request for replayable: the transport must not send
// it a second time by itself.
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

// readReply checks everything that a reply states before it is one.
func (c *Client) readReply(ctx context.Context, t Target, r *Request, resp *http.Response) (*Reply, error) {
	versions, err := leafapi.ParseVersions(resp.Header.Get(leafapi.HeaderVersions))
	if err != nil {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: err}
	}
	said := Said{
		Versions: versions, Draining: resp.Header.Get(leafapi.HeaderDraining) == "1",
		Born: leafapi.ParseStartMillis(resp.Header.Get(leafapi.HeaderStartMillis)),
	}
	if decline := resp.Header.Get(leafapi.HeaderNotRun); decline != "" && resp.StatusCode >= http.StatusBadRequest {
		return nil, declined(t, resp, leafapi.Decline(decline), said)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseStatus, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		return nil, newBrokenError(ctx, t.ID, err)
	}
	if int64(len(body)) > c.maxBody {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: errors.New("reply body over the limit")}
	}
	reply := &Reply{Body: body, Said: said}
	if err := reply.parseHeaders(r, resp.Header); err != nil {
		return nil, &BrokenError{Leaf: t.ID, Cause: CauseMalformed, Err: err}
	}
	return reply, nil
}

// declined reads the refusal of a leaf and leaves the connection reusable.
func declined(t Target, resp *http.Response, reason leafapi.Decline, said Said) error {
	ranges, err := keyrange.ParseList(resp.Header.Get(leafapi.HeaderRanges))
	if err != nil {
		ranges = nil // the ranges of a decline are a hint only
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<12))
	return &DeclinedError{Leaf: t.ID, Reason: reason, Ranges: ranges, Said: said}
}

// parseHeaders fills the reply from its headers and compares attempt and checksum.
func (p *Reply) parseHeaders(r *Request, h http.Header) error {
	if got := h.Get(leafapi.HeaderAttempt); got != r.Attempt {
		return errors.New("reply is for another attempt")
	}
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
