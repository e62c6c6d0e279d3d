package loadgen

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
)

// EntrySender sends queries to entries over HTTP.
type EntrySender struct {
	plan    Plan
	clients atomic.Pointer[[]*entryclient.Client]
	via     http.RoundTripper
	tokens  []string
	body    func(a Arrival) []byte
	verify  func(body []byte, answer *callerapi.Answer) []string
	runID   string
	// patience is how long a caller waits when the plan sets no deadline.
	patience time.Duration
}

// SenderConfig says how to send.
type SenderConfig struct {
	Plan Plan
	// Entries are IP:port or URL; Arrival.Entry counts through them.
	Entries []string
	// Tokens are the callers' bearer tokens; caller i has token i modulo their number.
	Tokens []string
	// Body makes a query's body; nil makes a short unique text.
	Body func(a Arrival) []byte
	// Verify lists the promises that an answer breaks; nil checks nothing.
	Verify func(body []byte, answer *callerapi.Answer) []string
	// RunID makes the idempotency keys of this run differ from others'.
	RunID string
	// Patience bounds the wait for one answer.
	Patience time.Duration
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
}

// idleConnections is how many connections to each entry are kept.
const idleConnections = 4096

// NewTransport makes a transport that keeps connections, so that a burst does
// not open them all anew.
func NewTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
}

// NewEntrySender makes a sender.
func NewEntrySender(c SenderConfig) *EntrySender {
	s := &EntrySender{
		plan: c.Plan, tokens: c.Tokens, body: c.Body, verify: c.Verify, runID: c.RunID, patience: c.Patience,
		via: c.Transport,
	}
	if s.body == nil {
		s.body = s.defaultBody
	}
	s.SetEntries(c.Entries)
	return s
}

// SetEntries replaces the entries that queries go to from now on, as a balancer
// does when an instance comes or goes.
func (s *EntrySender) SetEntries(entries []string) {
	clients := make([]*entryclient.Client, len(entries))
	for i, entry := range entries {
		clients[i] = entryclient.New(entry, s.via)
	}
	s.clients.Store(&clients)
}

// client is the entry that a query goes to.
func (s *EntrySender) client(a Arrival) *entryclient.Client {
	clients := *s.clients.Load()
	return clients[a.Entry%len(clients)]
}

// defaultBody is the same for a query and its resend, and else unique.
func (s *EntrySender) defaultBody(a Arrival) []byte {
	return fmt.Appendf(nil, "%s query %d of caller %d", s.runID, a.Number, a.Caller)
}

// Body is the body of a planned query.
func (s *EntrySender) Body(a Arrival) []byte { return s.body(a) }

// token is the bearer token of a planned query's caller.
func (s *EntrySender) token(a Arrival) string {
	tokens := s.plan.Services[a.Service].Tokens
	if len(tokens) == 0 {
		tokens = s.tokens
	}
	if len(tokens) == 0 {
		return ""
	}
	return tokens[a.Caller%len(tokens)]
}

// Send sends one query to its entry.
func (s *EntrySender) Send(ctx context.Context, a Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, s.patience)
	defer cancel()
	service := s.plan.Services[a.Service]
	body := s.body(a)
	q := entryclient.Query{Service: service.Name, Token: s.token(a), Body: body, Deadline: service.Deadline}
	if service.Key {
		q.Key = fmt.Sprintf("%s-%d", s.runID, a.Number)
	}
	answer, err := s.client(a).Query(ctx, q)
	if err != nil {
		result := failure(err)
		result.Keyed = service.Key
		return result
	}
	result := Result{
		Kind:       Kind(answer.Outcome),
		Keyed:      service.Key,
		Share:      answer.Share,
		Covered:    len(answer.Results),
		Sent:       answer.Work.Sent,
		Hedges:     answer.Work.Hedges,
		Retries:    answer.Work.Retries,
		RetryAfter: time.Duration(answer.RetryAfterMS) * time.Millisecond,
		Replayed:   answer.Replayed,
	}
	if s.verify != nil && !answer.Replayed {
		result.Faults = s.verify(body, answer)
	}
	return result
}

// failure turns an error of the client into a result.
func failure(err error) Result {
	var dial *entryclient.DialError
	var problem *entryclient.ProblemError
	switch {
	case errors.As(err, &dial):
		return Result{Kind: Unreached}
	case errors.As(err, &problem) && problem.Problem.Outcome == string(NotRun):
		return Result{Kind: NotRun, RetryAfter: time.Duration(problem.Problem.RetryAfterMS) * time.Millisecond}
	case errors.As(err, &problem):
		return Result{Kind: Failed}
	}
	return Result{Kind: Broken}
}
