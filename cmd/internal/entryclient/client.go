// Package entryclient calls the API of an entry as a caller or operator does.
package entryclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 256 << 20

// contentProblem is the content type of a refusal.
const contentProblem = "application/problem+json"

// Client calls one entry. It may be used by many goroutines.
type Client struct {
	base string
	http *http.Client
}

// New makes a client of an entry at a base URL or IP:port.
func New(base string, transport http.RoundTripper) *Client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Query is one request of a caller.
type Query struct {
	Service string
	Token   string
	Body    []byte
	// Key is the Idempotency-Key; empty sends none.
	Key string
	// Deadline is the most the caller waits; 0 leaves it to the service.
	Deadline time.Duration
}

// Query sends a query. The error is a *DialError, *BrokenError or *ProblemError.
func (c *Client) Query(ctx context.Context, q Query) (*callerapi.Answer, error) {
	path := strings.Replace(callerapi.PathQuery, ":service", url.PathEscape(q.Service), 1)
	header := http.Header{}
	if q.Key != "" {
		header.Set(callerapi.HeaderIdempotencyKey, q.Key)
	}
	if q.Deadline > 0 {
		header.Set(callerapi.HeaderDeadlineMS, strconv.FormatInt(max(1, q.Deadline.Milliseconds()), 10))
	}
	answer := &callerapi.Answer{}
	if err := c.call(ctx, http.MethodPost, path, q.Token, header, q.Body, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Instances returns the platform's list as the entry sees it.
func (c *Client) Instances(ctx context.Context, token string) (*platformapi.Instances, error) {
	out := &platformapi.Instances{}
	return out, c.get(ctx, callerapi.PathInstances, token, out)
}

// Config returns the configuration in force at the entry.
func (c *Client) Config(ctx context.Context, token string) (*callerapi.ConfigState, error) {
	out := &callerapi.ConfigState{}
	return out, c.get(ctx, callerapi.PathConfig, token, out)
}

// Quarantine is the list of fingerprints in quarantine.
type Quarantine struct {
	Quarantine []peerapi.QuarantineRecord `json:"quarantine"`
}

// Quarantine returns the fingerprints in quarantine at the entry.
func (c *Client) Quarantine(ctx context.Context, token string) (*Quarantine, error) {
	out := &Quarantine{}
	return out, c.get(ctx, callerapi.PathQuarantine, token, out)
}

// ClearQuarantine lifts the quarantine of a fingerprint, or of all if it is empty.
func (c *Client) ClearQuarantine(ctx context.Context, token, fingerprint string) error {
	path := callerapi.PathQuarantine
	if fingerprint != "" {
		path += "?fp=" + url.QueryEscape(fingerprint)
	}
	return c.call(ctx, http.MethodDelete, path, token, nil, nil, nil)
}

func (c *Client) get(ctx context.Context, path, token string, into any) error {
	return c.call(ctx, http.MethodGet, path, token, nil, nil, into)
}

// Reply is what an entry answered.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
}

// call does one exchange and reads its JSON answer.
func (c *Client) call(ctx context.Context, method, path, token string, header http.Header, body []byte, into any) error {
	reply, err := c.Exchange(ctx, method, path, token, header, body)
	if err != nil {
		return err
	}
	return c.read(reply, into)
}

// Exchange sends a request once and returns the answer, of any status. The
// error is a *DialError or a *BrokenError.
func (c *Client) Exchange(ctx context.Context, method, path, token string, header http.Header, body []byte) (*Reply, error) {
	sent := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &DialError{Entry: c.base, Err: err}
	}
	// A nil GetBody keeps the transport from sending a request twice by itself.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.failure(err, sent)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, &BrokenError{Entry: c.base, Err: err}
	}
	return &Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: answer}, nil
}

// Base is the entry's base URL.
func (c *Client) Base() string { return c.base }

// failure tells a request that never left from one that may have run.
func (c *Client) failure(err error, sent bool) error {
	if !sent {
		return &DialError{Entry: c.base, Err: err}
	}
	return &BrokenError{Entry: c.base, Err: err}
}

// read decodes an answer or a problem.
func (c *Client) read(reply *Reply, into any) error {
	if problem := problemOf(reply, into); problem != nil {
		return &ProblemError{Entry: c.base, Problem: *problem}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(reply.Body, into); err != nil {
		return &BrokenError{Entry: c.base, Err: err}
	}
	if answer, ok := into.(*callerapi.Answer); ok && answer.Outcome == "" {
		return &BrokenError{Entry: c.base, Err: errNoOutcome}
	}
	return nil
}

// errNoOutcome marks an answer to a query that is none.
var errNoOutcome = errors.New("the answer names no outcome")

// problemOf returns the problem that a response states, or nil. An answer to a
// query may come with any status.
func problemOf(reply *Reply, into any) *callerapi.Problem {
	problem := &callerapi.Problem{Status: reply.Status, Title: http.StatusText(reply.Status)}
	if strings.HasPrefix(reply.ContentType, contentProblem) {
		if err := json.Unmarshal(reply.Body, problem); err == nil {
			return problem
		}
		problem.Detail = "the entry's explanation can't be read"
		return problem
	}
	_, isQuery := into.(*callerapi.Answer)
	if reply.Status >= http.StatusBadRequest && !isQuery {
		return problem
	}
	return nil
}
