package leafclient

import (
	"io"
	"net/http"
)

// ForwardedRequest is a caller's HTTP request that is forwarded to a leaf unchanged.
type ForwardedRequest struct {
	// ID is the request ID that the caller chose.
	ID     string
	Method string
	// Target is the request target in origin form: path and query.
	Target string
	Host   string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
}

// WriteIdentity writes method, host, target and body to w, usually a hash. Requests
// for which it writes the same bytes count as the same request.
func (p *ForwardedRequest) WriteIdentity(w io.Writer) {
	for _, s := range []string{p.Method, p.Host, p.Target} {
		_, _ = io.WriteString(w, s) // a hash returns no error
		_, _ = w.Write([]byte{0})
	}
	_, _ = w.Write(p.Body)
}

// ForwardedResponse is a leaf's response that is forwarded to the caller, unchanged or
// as a part of a combined answer.
type ForwardedResponse struct {
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Signature is the leaf's signature of this response.
	Signature string
}
