package leafclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Exchanger carries whole HTTP/1.1 exchanges over connections of its own, for
// leaf protocols whose rules http.Transport does not keep: it never sends a
// request twice by itself, never takes an unasked response for the next answer,
// and uses a connection again only after a whole exchange. One exchange costs
// one write and, usually, one read, in the caller's goroutine. It is safe for
// concurrent use.
type Exchanger struct {
	maxBody int64
	mu      sync.Mutex
	leaves  map[string]*sockets // by Target.key
}

// ExchangeRequest is one request of an Exchanger.
type ExchangeRequest struct {
	Method string
	// AppendHead writes the request line and the headers with the empty line that ends
	// them; left is the time until the deadline.
	AppendHead func(buf []byte, left time.Duration) []byte
	Body       []byte
	// Matches reports whether a response belongs to this request. One that does not
	// ends the connection.
	Matches func(h http.Header) bool
}

// ExchangeResponse is a whole response.
type ExchangeResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Closing says that the leaf will not keep the connection.
	Closing bool
}

// NewExchanger makes an exchanger that takes bodies of at most maxBody bytes.
func NewExchanger(maxBody int64) *Exchanger {
	return &Exchanger{maxBody: maxBody, leaves: make(map[string]*sockets)}
}

// errForeign says that a response belongs to another request.
var errForeign = errors.New("the response belongs to another request")

// errTooLong says that a body is longer than any leaf should send.
var errTooLong = errors.New("response body over the limit")

// Do carries one exchange. The sent callback is called once, before any byte
// can have reached the leaf; if it returns false, none will, and the exchange
// ends with a *DialError. The error, if any, is a *DialError or *BrokenError.
func (x *Exchanger) Do(ctx context.Context, t Target, out *ExchangeRequest, sent func() bool) (*ExchangeResponse, error) {
	s := x.leaf(t)
	c, err := s.get(ctx)
	if err != nil {
		return nil, &DialError{Leaf: t.ID, Err: err}
	}
	if !sent() {
		s.put(c)
		return nil, &DialError{Leaf: t.ID, Err: ErrCancelledBeforeSend}
	}
	in, keep, err := x.exchange(ctx, c, out)
	if err != nil {
		s.drop(c)
		return nil, newBrokenError(ctx, t.ID, err)
	}
	if keep {
		s.put(c)
	} else {
		s.drop(c)
	}
	return in, nil
}

// exchange sends the request and reads the whole response. It reports whether
// the connection may carry another exchange.
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
			keep = false // the deadline of the connection was moved
		}
	}()
	written, err := c.send(out, time.Until(deadline))
	if err != nil {
		return nil, false, err
	}
	resp, err := c.response(out.Method)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if !out.Matches(resp.Header) {
		return nil, false, errForeign
	}
	body, err := x.body(resp)
	if err != nil {
		return nil, false, err
	}
	keep = !resp.Close && c.reader.Buffered() == 0 && written() && c.conn.SetDeadline(time.Time{}) == nil
	c.noteTimeout(resp.Header.Get("Keep-Alive"))
	return &ExchangeResponse{Status: resp.StatusCode, Header: resp.Header, Body: body, Closing: resp.Close}, keep, nil
}

// body reads a whole body. One without a length ends with its connection; a
// reset is an error there.
func (x *Exchanger) body(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil // also where a length is stated, as to a HEAD request
	}
	if resp.ContentLength > x.maxBody {
		return nil, errTooLong
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.maxBody+1))
	if err == nil && int64(len(body)) > x.maxBody {
		err = errTooLong
	}
	return body, err
}

// leaf returns the connections to a leaf.
func (x *Exchanger) leaf(t Target) *sockets {
	x.mu.Lock()
	defer x.mu.Unlock()
	s, ok := x.leaves[t.key()]
	if !ok {
		s = newSockets(t)
		x.leaves[t.key()] = s
	}
	return s
}

// Apply puts the shares of a new view into effect and drops the connections of
// all leaves that it does not name, by ID and address.
func (x *Exchanger) Apply(targets []Target) {
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.key()] = true
		x.leaf(t).setShare(t)
	}
	x.mu.Lock()
	var dropped []*sockets
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

// Close drops all idle connections.
func (x *Exchanger) Close() { x.Apply(nil) }

// Opened is the number of connections opened and held now, over all leaves.
func (x *Exchanger) Opened() (dials int64, open int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.leaves {
		used, _ := s.places.count()
		dials += s.dials.Load()
		open += used
	}
	return dials, open
}

// statusContinue is the first status that ends an exchange; those below are interim.
const statusContinue = 200

// response reads the response, interim ones left out.
func (c *socket) response(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode >= statusContinue {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the leaf switched protocols unasked")
		}
	}
}
