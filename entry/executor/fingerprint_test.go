package executor

import (
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
)

// TestFingerprintOfForwardedRequestOutlivesChangeOfRoute computes the fingerprint of a forwarded
// request whose route is led to another service, and of other requests.
func TestFingerprintOfForwardedRequestOutlivesChangeOfRoute(t *testing.T) {
	e := newTestExecutor(t, 2)
	defer e.close()
	fingerprint := func(service, target string) string {
		r := e.request(service)
		r.Body, r.Forwarded = nil, &leafclient.ForwardedRequest{Method: "GET", Host: "h", Target: target}
		return e.executor.quarantine.fingerprint(r)
	}
	if fingerprint("ask", "/a") != fingerprint("note", "/a") {
		t.Error("another service of the route makes another request")
	}
	if fingerprint("ask", "/a") == fingerprint("ask", "/b") {
		t.Error("another target makes the same request")
	}
}
