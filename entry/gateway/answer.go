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

// refusal is an answer of the gateway's own to a request that it did not pass
// on, or that was answered by no leaf.
type refusal struct {
	status     int
	detail     string
	retryAfter time.Duration // 0: none is given
}

const (
	// elsewhereRetryAfter is when to come back where another instance can serve: the
	// balancer sends the next connection elsewhere.
	elsewhereRetryAfter = 20 * time.Millisecond
	// startRetryAfter is when to come back to an instance that starts. The balancer sends
	// it requests only while most of its zone is not ready either, and a caller that comes
	// back at once spends its tries before anyone can serve it.
	startRetryAfter = 150 * time.Millisecond
)

// unavailable refuses a request that has not run here and may run elsewhere.
func unavailable(detail string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, detail: detail, retryAfter: elsewhereRetryAfter}
}

// starting refuses a request that came before there was a configuration.
func starting() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, detail: "no configuration yet", retryAfter: startRetryAfter}
}

// logPart is the prefix of the gateway's lines.
const logPart = "gateway"

// firstPart is a path's first part. What follows may be of the client's own and
// does not go into a log.
func firstPart(target string) string {
	path := strings.TrimPrefix(pathOf(target), "/")
	first, _, _ := strings.Cut(path, "/")
	return "/" + first + "/"
}

// logRefusal says why a request was not passed on.
func (g *Gateway) logRefusal(r *http.Request, f *refusal, start time.Time) {
	g.config.Metrics.Refused(f.detail)
	more := []any{"status", f.status, "host", r.Host, "path", firstPart(originForm(r.RequestURI)), "retry_after", f.retryAfter}
	if v := g.config.Views.View(); v != nil {
		more = append(more, "config", v.Generation, "current", g.config.Views.Current())
	}
	g.config.Log.Decide(telemetry.Decision{
		Part: logPart, What: "refuse", Request: r.Header.Get(g.config.Headers.RequestID), Why: f.detail, Took: time.Since(start), More: more,
	})
}

// Reply is an answer as it goes to the client.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Written, if it is set, is called when the answer has gone out.
	Written func(at time.Time)
}

// reply is the answer that tells of the refusal.
func (f *refusal) reply() *Reply {
	r := &Reply{Status: f.status, Header: make(http.Header, 4), Body: []byte(f.detail + "\n")}
	if f.retryAfter > 0 {
		r.Header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	r.Header.Set("Content-Type", "text/plain; charset=utf-8")
	return r
}

// write sends the reply to a request of the given method. A status without a body
// has no length, and the length of what a HEAD request does not get is not known.
func (r *Reply) write(w http.ResponseWriter, method string) {
	for name, values := range r.Header {
		w.Header()[name] = values
	}
	if r.Status != http.StatusNoContent && r.Status != http.StatusNotModified && method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body) // a client that has gone reads nothing
	if r.Written == nil {
		return
	}
	_ = http.NewResponseController(w).Flush() // or the server does it after this
	r.Written(time.Now())
}

// reply makes the client's answer of the executor's.
func (g *Gateway) reply(req *executor.Request, answer *query.Answer, err error) *Reply {
	var refused *executor.RefusedError
	switch {
	case errors.As(err, &refused):
		return (&refusal{status: http.StatusServiceUnavailable, detail: refused.Detail, retryAfter: refused.RetryAfter}).reply()
	case err != nil:
		return (&refusal{status: http.StatusInternalServerError, detail: "internal error"}).reply()
	case req.Service.Config.TopK > 0:
		return g.combined(req, answer)
	default:
		return g.whole(answer)
	}
}

// whole hands a leaf's response on. A failure that a leaf stated is handed on
// when there is nothing better.
func (g *Gateway) whole(answer *query.Answer) *Reply {
	var handed *leafclient.ForwardedResponse
	if len(answer.Results) == 1 {
		handed, _ = answer.Results[0].Attachment.(*leafclient.ForwardedResponse)
	} else {
		handed, _ = answer.Failure.(*leafclient.ForwardedResponse)
	}
	if handed == nil {
		return failed(answer).reply()
	}
	r := &Reply{Status: handed.Status, Header: handed.Header, Body: handed.Body}
	if handed.Signature != "" {
		r.Header.Set(g.config.Headers.Signature, handed.Signature)
	}
	return r
}

// combined makes one body of all parts, with their signatures.
func (g *Gateway) combined(req *executor.Request, answer *query.Answer) *Reply {
	config := req.Service.Config
	if len(answer.Results) == 0 || answer.Share < config.LeastCoverage {
		return failed(answer).reply()
	}
	parts := merging{bodies: make([][]byte, 0, len(answer.Results)), signatures: make([]string, 0, req.Service.Shards)}
	for _, r := range answer.Results {
		parts.add(r)
	}
	r := &Reply{Status: http.StatusOK, Header: make(http.Header, 4), Body: g.config.Combiner.Combine(parts.bodies, config.TopK)}
	r.Header.Set(g.config.Headers.Signatures, strings.Join(parts.signatures, ", "))
	r.Header.Set(g.config.Headers.Missing, strconv.Itoa(req.Service.Shards-len(parts.signatures)))
	r.Header.Set("Content-Type", "application/octet-stream")
	return r
}

// failed answers a request that ran or may have run and has no useful result. It
// makes no promise: neither status says that nothing has run.
func failed(answer *query.Answer) *refusal {
	if answer.Reason == query.MissingDeadline {
		return &refusal{status: http.StatusGatewayTimeout, detail: "no answer in time"}
	}
	return &refusal{status: http.StatusBadGateway, detail: "no leaf gave a whole answer: " + answer.Reason}
}
