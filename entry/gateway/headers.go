package gateway

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// hopByHop holds the headers of a single connection (RFC 9110, 7.6.1), and those that are
// set anew for each message.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// endToEndHeaders returns the headers to forward: not those in hopByHop, nor those that
// the Connection header names.
func endToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// readBody reads a request's complete body until the deadline, at most limit bytes if limit is
// above 0. A request whose body is longer, incomplete, late or without memory is refused.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(deadline) // not supported by writers without a connection
	body, err := ingress.ReadBody(r, limit)
	var tooLong *ingress.BodyTooLongError
	switch {
	case err == nil:
		_ = connection.SetReadDeadline(time.Time{})
		return body, nil
	case errors.As(err, &tooLong):
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, detail: "the body is over the limit"}
	case errors.Is(err, ingress.ErrNoMemory):
		return nil, newUnavailable(err.Error())
	case errors.Is(err, ingress.ErrBodyTimeout):
		return nil, &refusal{status: http.StatusRequestTimeout, detail: err.Error()}
	default:
		return nil, &refusal{status: http.StatusBadRequest, detail: "the body did not come whole"}
	}
}
