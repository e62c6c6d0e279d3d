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

// startRetryAfter is when to come back to an instance that starts or stops. The
// balancer sends the next connection elsewhere.
const startRetryAfter = 20 * time.Millisecond

// unavailable refuses a request that has not run.
func unavailable(detail string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, detail: detail, retryAfter: startRetryAfter}
}

// logPart is the prefix of the gateway's lines.
const logPart = "gateway"

// logRefusal says why a request was not passed on.
func (g *Gateway) logRefusal(r *http.Request, f *refusal, start time.Time) {
	more := []any{"status", f.status, "host", r.Host, "target", r.RequestURI, "retry_after", f.retryAfter}
	if v := g.config.Views.View(); v != nil {
		more = append(more, "config", v.Generation, "current", g.config.Views.Current())
	}
	g.config.Log.Decide(telemetry.Decision{
		Part: logPart, What: "refuse", Request: r.Header.Get(g.config.Headers.RequestID), Why: f.detail, Took: time.Since(start), More: more,
	})
}

// write sends the refusal.
func (f *refusal) write(w http.ResponseWriter) {
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := f.detail + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(body)) // a client that has gone reads nothing
}

// write sends the executor's answer.
func (g *Gateway) write(w http.ResponseWriter, req *executor.Request, answer *query.Answer, err error) {
	var refused *executor.RefusedError
	switch {
	case errors.As(err, &refused):
		(&refusal{status: http.StatusServiceUnavailable, detail: refused.Detail, retryAfter: refused.RetryAfter}).write(w)
	case err != nil:
		(&refusal{status: http.StatusInternalServerError, detail: "internal error"}).write(w)
	case req.Service.Config.TopK > 0:
		g.writeCombined(w, req, answer)
	default:
		g.writeWhole(w, answer)
	}
}

// writeWhole hands a leaf's response on. A failure that a leaf stated is handed
// on when there is nothing better.
func (g *Gateway) writeWhole(w http.ResponseWriter, answer *query.Answer) {
	var handed *leafclient.Handed
	if len(answer.Results) == 1 {
		handed, _ = answer.Results[0].Carried.(*leafclient.Handed)
	} else {
		handed, _ = answer.Failure.(*leafclient.Handed)
	}
	if handed == nil {
		failed(answer).write(w)
		return
	}
	copyHeader(w.Header(), handed.Header)
	if handed.Signature != "" {
		w.Header().Set(g.config.Headers.Signature, handed.Signature)
	}
	writeBody(w, handed.Status, handed.Body)
}

// writeCombined writes one body of all parts, with their signatures.
func (g *Gateway) writeCombined(w http.ResponseWriter, req *executor.Request, answer *query.Answer) {
	config := req.Service.Config
	if len(answer.Results) == 0 || answer.Share < config.LeastCoverage {
		failed(answer).write(w)
		return
	}
	bodies := make([][]byte, 0, len(answer.Results))
	signatures := make([]string, 0, len(answer.Results))
	for _, r := range answer.Results {
		handed, ok := r.Carried.(*leafclient.Handed)
		if !ok {
			continue
		}
		bodies = append(bodies, handed.Body)
		signatures = append(signatures, handed.Signature)
	}
	w.Header().Set(g.config.Headers.Signatures, strings.Join(signatures, ", "))
	w.Header().Set(g.config.Headers.Missing, strconv.Itoa(req.Service.Shards-len(signatures)))
	w.Header().Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, g.config.Combiner.Combine(bodies, config.TopK))
}

// failed answers a request that ran or may have run and has no useful result. It
// makes no promise: neither status says that nothing has run.
func failed(answer *query.Answer) *refusal {
	if answer.Reason == query.MissingDeadline {
		return &refusal{status: http.StatusGatewayTimeout, detail: "no answer in time"}
	}
	return &refusal{status: http.StatusBadGateway, detail: "no leaf gave a whole answer: " + answer.Reason}
}

// copyHeader adds the headers of a response that is handed on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// writeBody sends status and body. A status without a body has no length either.
func writeBody(w http.ResponseWriter, status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that has gone reads nothing
}
