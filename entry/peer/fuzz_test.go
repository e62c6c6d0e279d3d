package peer

import (
	"encoding/json"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// countingHandler notes what it was asked.
type countingHandler struct {
	calls int
	from  string
	said  string
}

// Digest notes the peer that spoke and the name that it gave.
func (c *countingHandler) Digest(from string, d *peerapi.Digest) *peerapi.Digest {
	c.calls++
	c.from, c.said = from, d.Instance
	return &peerapi.Digest{Instance: "server"}
}

// Document notes the question.
func (c *countingHandler) Document(uint64) *peerapi.Document {
	c.calls++
	return &peerapi.Document{}
}

// FuzzCall gives a session any call: before its proof a peer gets nothing from
// the handler, after it none but its own name, and no call proves a peer that
// does not know the key.
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
	f.Fuzz(func(t *testing.T, method string, params []byte, proved bool) {
		handler := &countingHandler{}
		server := NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Gossip: handler})
		s := &session{server: server, nonce: newNonce()}
		if proved {
			s.proved = "client"
		}
		raw := json.RawMessage(params)
		_, err := s.handle(t.Context(), nil, &jsonrpc2.Request{Method: method, Params: &raw})
		if !proved && (handler.calls > 0 || s.peer() != "") {
			t.Fatalf("%s of a peer without proof: %d calls, proved as %q", method, handler.calls, s.peer())
		}
		if handler.calls > 0 && (err != nil || handler.said != handler.from) {
			t.Fatalf("%s: a digest of %q was taken from %q, error %v", method, handler.said, handler.from, err)
		}
	})
}
