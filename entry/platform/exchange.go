package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

// send builds the HTTP request and sends it. A PUT or DELETE is not repeated
// by the transport once bytes of it were written.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.cfg.URL+r.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderInstance, c.cfg.Instance)
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	if r.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(req)
}

// lost classes a call without a usable reply. A write that may have reached
// the store has an unknown effect; all else is merely unavailable.
func lost(r Request, sent bool, retryAfter time.Duration, err error) error {
	if r.Write && sent {
		return &UnknownEffectError{Call: r.Call, RetryAfter: retryAfter, Err: err}
	}
	return &UnavailableError{Call: r.Call, RetryAfter: retryAfter, Err: err}
}

// finish turns a reply into a value or an error.
func finish(r Request, resp *http.Response, into any) error {
	body, err := readBody(resp)
	if err != nil {
		return lost(r, true, 0, err)
	}
	retryAfter := parseRetryAfter(resp.Header.Get("Retry-After"))
	switch {
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		if raw, ok := into.(*[]byte); ok {
			*raw = body
			return nil
		}
		if into == nil {
			return nil
		}
		if err := json.Unmarshal(body, into); err != nil {
			return lost(r, true, 0, err)
		}
		return nil
	case resp.StatusCode == http.StatusConflict:
		var conflict platformapi.Conflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return lost(r, true, 0, err)
		}
		return &ConflictError{Kind: r.Kind, Name: r.Name, Version: conflict.Version}
	case resp.StatusCode == http.StatusNotFound && r.Name != "":
		return &NotFoundError{Kind: r.Kind, Name: r.Name}
	case resp.StatusCode == http.StatusGone && r.Call == CallWatch:
		return &GoneError{Kind: r.Kind, Since: r.Since}
	case resp.StatusCode == http.StatusTooManyRequests:
		return &RateLimitedError{Call: r.Call, RetryAfter: retryAfter}
	case resp.StatusCode >= 500:
		return lost(r, true, retryAfter, &statusError{resp.StatusCode})
	default:
		return &RejectedError{Call: r.Call, Status: resp.StatusCode, Detail: detail(body)}
	}
}

// readBody reads a reply's body, into memory of its length where the reply tells it.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength <= 0 || resp.ContentLength > maxReply {
		return io.ReadAll(io.LimitReader(resp.Body, maxReply))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// detailLimit bounds how much of a refusal's body an error repeats.
const detailLimit = 200

// detail is the start of a refusal's body.
func detail(body []byte) string {
	text := strings.TrimSpace(string(body))
	return text[:min(len(text), detailLimit)]
}

// parseRetryAfter reads a Retry-After header in seconds; a fraction is taken too.
func parseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds > 0 && seconds < float64(time.Hour/time.Second)) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
