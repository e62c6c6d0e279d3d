package peer

import (
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// countingHandler is a GossipHandler that counts calls and keeps the last digest's
// sender.
type countingHandler struct {
	calls   int
	from    string // the authenticated peer
	claimed string // the instance in the digest
}

// Digest implements GossipHandler.
func (c *countingHandler) Digest(from string, d *peerapi.Digest) *peerapi.Digest {
	c.calls++
	c.from, c.claimed = from, d.Instance
	return &peerapi.Digest{Instance: "server"}
}

// Document implements GossipHandler.
func (c *countingHandler) Document(uint64) *peerapi.Document {
	c.calls++
	return &peerapi.Document{}
}

// FuzzCall makes arbitrary calls on a session. A peer that isn't authenticated never
// reaches the handler, an authenticated one reaches it under its own instance id
// only, and no call authenticates a peer that doesn't know the key.
func FuzzCall(f *testing.F) {
	f.Add(peerapi.MethodDigest, []byte(`{"instance":"client","generation":4}`), true)
	f.Add(peerapi.MethodDigest, []byte(`{"instance":"other"}`), true)
	f.Add(peerapi.MethodDigest, []byte(`{"instance":"client","leaving":[{"leaf":"x","age_ms":-9223372036854775808}]}`), false)
	f.Add(peerapi.MethodDocument, []byte(`{"above":18446744073709551615}`), true)
	f.Add(peerapi.MethodDocument, []byte(`null`), true)
	f.Add(peerapi.MethodDocument, []byte(`{"above":0}`), false)
	f.Add(peerapi.MethodDigest, []byte(`{"instance":""}`), false)
	f.Add(peerapi.MethodHello, []byte(`{"instance":"client","nonce":"","mac":""}`), false)
	f.Add(peerapi.MethodChallenge, []byte(`{}`), false)
	f.Add("shutdown", []byte(`[]`), true)
	f.Fuzz(func(t *testing.T, method string, params []byte, authenticated bool) {
		handler := &countingHandler{}
		server := NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Gossip: handler})
		s := &session{server: server, nonce: newNonce()}
		if authenticated {
			s.peerInstance = "client"
		}
		raw := json.RawMessage(params)
		_, err := s.handle(t.Context(), nil, &jsonrpc2.Request{Method: method, Params: &raw})
		if !authenticated && (handler.calls > 0 || s.authenticatedPeer() != "") {
			t.Fatalf("%s of an unauthenticated peer: %d calls, authenticated as %q", method, handler.calls, s.authenticatedPeer())
		}
		if handler.calls > 0 && (err != nil || handler.claimed != handler.from) {
			t.Fatalf("%s: a digest of %q was taken from %q, error %v", method, handler.claimed, handler.from, err)
		}
	})
}
