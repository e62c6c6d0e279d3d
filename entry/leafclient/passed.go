package leafclient

import (
	"io"
	"net/http"
)

// ForwardedRequest is a caller's request that is handed on to a leaf unchanged.
type ForwardedRequest struct {
	// ID is the caller's own name of the request.
	ID     string
	Method string
	// Target is the request line's target, as it came.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
}

// WriteIdentity writes what makes two requests the same request: everything but the ID.
func (p *ForwardedRequest) WriteIdentity(w io.Writer) {
	for _, s := range []string{p.Method, p.Host, p.Target} {
		_, _ = io.WriteString(w, s) // a hash takes all
		_, _ = w.Write([]byte{0})
	}
	_, _ = w.Write(p.Body)
}

// ForwardedResponse is a leaf's response that is handed on to the caller, as a whole or as
// a part of a combined answer.
type ForwardedResponse struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Signature is the leaf's proof of this response.
	Signature string
}
