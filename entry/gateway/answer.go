package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/query"
)

// refusal is an error response of the gateway's own, to a request that it did not
// forward or that got no usable answer from the leaves.
type refusal struct {
	status     int
	detail     string
	retryAfter time.Duration // 0: no Retry-After header
}

const (
	// otherInstanceRetryAfter is the Retry-After of a request that another instance can
	// serve: the load balancer sends the next connection to another one.
	otherInstanceRetryAfter = 20 * time.Millisecond
	// startingRetryAfter is the Retry-After of an instance that is starting. The load
	// balancer sends it requests only while most instances of its zone are not ready
	// either: a caller that retries at once uses up its retries before any instance can
	// serve it.
	startingRetryAfter = 150 * time.Millisecond
)

// newUnavailable returns the refusal of a request that has not run here and can run on
// another instance.
func newUnavailable(detail string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, detail: detail, retryAfter: otherInstanceRetryAfter}
}

// newStarting returns the refusal of a request that arrives before the instance has a
// configuration.
func newStarting() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, detail: "no configuration yet", retryAfter: startingRetryAfter}
}

// logPrefix is the prefix of the gateway's log lines.
const logPrefix = "gateway"

// firstSegment returns the first segment of the target's path, between slashes. The rest
// may hold a client's data and is not logged.
func firstSegment(target string) string {
	path := strings.TrimPrefix(trimQuery(target), "/")
	first, _, _ := strings.Cut(path, "/")
	return "/" + first + "/"
}

// logRefusal logs and counts a request that was not forwarded.
func (g *Gateway) logRefusal(r *http.Request, f *refusal, start time.Time) {
	g.config.Metrics.CountRefusal(f.detail)
	more := []any{"status", f.status, "host", r.Host, "path", firstSegment(toOriginForm(r.RequestURI)), "retry_after", f.retryAfter}
	if v := g.config.Views.View(); v != nil {
		more = append(more, "config", v.Generation, "current", g.config.Views.Current())
	}
	g.config.Log.LogDecision(telemetry.Decision{
		Component: logPrefix, Event: "refuse", Request: r.Header.Get(g.config.Headers.RequestID), Reason: f.detail, Duration: time.Since(start), Extra: more,
	})
}

// Reply is an HTTP response to a client.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Written, if set, is called after the response has been written and flushed.
	Written func(at time.Time)
}

// toReply returns the refusal's response.
func (f *refusal) toReply() *Reply {
	r := &Reply{Status: f.status, Header: make(http.Header, 4), Body: []byte(f.detail + "\n")}
	if f.retryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	r.Header.Set("Content-Type", "text/plain; charset=utf-8")
	return r
}

// write writes the response to a request of the given method. It sets no Content-Length
// for a status without a body, nor for a HEAD request, where the length of the body
// that a GET would return is not known.
func (r *Reply) write(w http.ResponseWriter, method string) {
	for name, values := range r.Header {
		w.Header()[name] = values
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified && method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // an error means that the client has disconnected
	if r.Written == nil {
		return
	}
	_ = http.NewResponseController(w).Flush() // else the server flushes only after the handler returns
	r.Written(time.Now())
}

// buildReply returns the client's response for the executor's answer or error.
func (g *Gateway) buildReply(req *executor.Request, answer *query.Answer, err error) *Reply {
	var refused *executor.RefusedError
	switch {
	case errors.As(err, &refused):
		return (&refusal{status: http.StatusServiceUnavailable, detail: refused.Detail, retryAfter: refused.RetryAfter}).toReply()
	case err != nil:
		return (&refusal{status: http.StatusInternalServerError, detail: "internal error"}).toReply()
	case req.Service.Config.TopK > 0:
		return g.buildCombinedReply(req, answer)
	default:
		return g.buildWholeReply(answer)
	}
}

// buildWholeReply returns the one result, a leaf's response, unchanged. Without a result
// it returns a leaf's error response, if there is one.
func (g *Gateway) buildWholeReply(answer *query.Answer) *Reply {
	var forwarded *leafclient.ForwardedResponse
	if len(answer.Results) == 1 {
		forwarded, _ = answer.Results[0].Attachment.(*leafclient.ForwardedResponse)
	} else {
		forwarded, _ = answer.Failure.(*leafclient.ForwardedResponse)
	}
	if forwarded == nil {
		return newFailure(answer).toReply()
	}
	r := &Reply{Status: forwarded.Status, Header: forwarded.Header, Body: forwarded.Body}
	if forwarded.Signature != "" {
		r.Header.Set(g.config.Headers.Signature, forwarded.Signature)
	}
	return r
}

// buildCombinedReply combines the bodies of all parts into one, and lists their
// signatures in a header.
func (g *Gateway) buildCombinedReply(req *executor.Request, answer *query.Answer) *Reply {
	config := req.Service.Config
	if len(answer.Results) == 0 || !query.MeetsCoverage(answer.Share, config.LeastCoverage) {
		return newFailure(answer).toReply()
	}
	parts := resultParts{bodies: make([][]byte, 0, len(answer.Results)), signatures: make([]string, 0, req.Service.Shards)}
	for _, r := range answer.Results {
		parts.add(r)
	}
	r := &Reply{Status: http.StatusOK, Header: make(http.Header, 4), Body: g.config.Combiner.Combine(parts.bodies, config.TopK)}
	r.Header.Set(g.config.Headers.Signatures, strings.Join(parts.signatures, ", "))
	r.Header.Set(g.config.Headers.Missing, strconv.Itoa(req.Service.Shards-len(parts.signatures)))
	r.Header.Set("Content-Type", "application/octet-stream")
	return r
}

// newFailure returns the refusal of a request that ran or may have run and has no usable
// result. Neither of its statuses tells the client that the request has not run.
func newFailure(answer *query.Answer) *refusal {
	if answer.Reason == query.MissingDeadline {
		return &refusal{status: http.StatusGatewayTimeout, detail: "no answer in time"}
	}
	return &refusal{status: http.StatusBadGateway, detail: "no leaf gave a whole answer: " + answer.Reason}
}
