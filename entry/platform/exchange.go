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

// send builds the HTTP request and sends it. The transport doesn't retry a PUT or
// DELETE once it has written bytes of it.
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

// unusableReplyError returns the error of a call without a usable reply. The effect
// of a write that may have reached the store is unknown; any other call is
// unavailable.
func unusableReplyError(r Request, sent bool, retryAfter time.Duration, err error) error {
	if r.Write && sent {
		return &UnknownEffectError{Call: r.Call, RetryAfter: retryAfter, Err: err}
	}
	return &UnavailableError{Call: r.Call, RetryAfter: retryAfter, Err: err}
}

// decodeReply decodes a successful reply into dst and converts any other reply to
// an error.
func decodeReply(r Request, resp *http.Response, dst any) error {
	body, err := readBody(resp)
	if err != nil {
		return unusableReplyError(r, true, 0, err)
	}
	retryAfter := parseRetryAfter(resp.Header.Get("Retry-After"))
	switch {
	case resp.StatusCode == http.StatusNoContent:
		return nil
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		if raw, ok := dst.(*[]byte); ok {
			*raw = body
			return nil
		}
		if dst == nil {
			return nil
		}
		if err := json.Unmarshal(body, dst); err != nil {
			return unusableReplyError(r, true, 0, err)
		}
		return nil
	case resp.StatusCode == http.StatusConflict:
		var conflict platformapi.Conflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			return unusableReplyError(r, true, 0, err)
		}
		return &ConflictError{Kind: r.Kind, Name: r.Name, Version: conflict.Version, Body: body}
	case resp.StatusCode == http.StatusNotFound && r.Name != "":
		return &NotFoundError{Kind: r.Kind, Name: r.Name}
	case resp.StatusCode == http.StatusGone && r.Call == CallWatch:
		return &GoneError{Kind: r.Kind, Since: r.Since}
	case resp.StatusCode == http.StatusTooManyRequests:
		return &RateLimitedError{Call: r.Call, RetryAfter: retryAfter}
	case resp.StatusCode >= 500:
		return unusableReplyError(r, true, retryAfter, &statusError{resp.StatusCode})
	default:
		return &RejectedError{Call: r.Call, Status: resp.StatusCode, Detail: errorDetail(body)}
	}
}

// readBody reads the body of a reply. It allocates the exact size if the reply has a
// Content-Length.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength <= 0 || resp.ContentLength > maxReplyBytes {
		return io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// maxDetailBytes bounds how much of the body of an error reply a RejectedError quotes.
const maxDetailBytes = 200

// errorDetail returns the start of the body of an error reply.
func errorDetail(body []byte) string {
	text := strings.TrimSpace(string(body))
	return text[:min(len(text), maxDetailBytes)]
}

// parseRetryAfter parses a Retry-After header in seconds, which may have a fraction.
// It returns 0 for values that are malformed, not positive, or an hour or more.
func parseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(seconds > 0 && seconds < float64(time.Hour/time.Second)) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
