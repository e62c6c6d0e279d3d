package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoHandler is a GossipHandler that replies with values from the call.
type echoHandler struct{}

func (echoHandler) Digest(from string, d *peerapi.Digest) *peerapi.Digest {
	return &peerapi.Digest{Instance: "server", Generation: d.Generation + 1, Hash: from}
}

func (echoHandler) Document(above uint64) *peerapi.Document {
	return &peerapi.Document{Generation: above + 1, TOML: bytes.Repeat([]byte("x"), 700<<10)}
}

// startServer starts a server and returns its address and the function that stops it.
func startServer(t *testing.T, key string) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(ServerConfig{Instance: "server", Key: []byte(key), Gossip: echoHandler{}}).Serve(ctx, l)
	}()
	return l.Addr().String(), func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// TestDigestAndDocument calls both methods over one connection.
func TestDigestAndDocument(t *testing.T) {
	address, stop := startServer(t, "key")
	defer stop()
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	defer c.Close()
	target := Target{Instance: "server", Address: address}
	d, err := c.Digest(t.Context(), target, &peerapi.Digest{Instance: "client", Generation: 4})
	if err != nil || d.Generation != 5 || d.Hash != "client" {
		t.Fatalf("digest %+v, %v", d, err)
	}
	doc, err := c.Document(t.Context(), target, 8)
	if err != nil || doc.Generation != 9 || len(doc.TOML) != 700<<10 {
		t.Fatalf("document of %d bytes, %v", len(doc.TOML), err)
	}
	if _, err := c.Digest(t.Context(), target, &peerapi.Digest{Instance: "someone else"}); err == nil {
		t.Error("a digest in another instance's name was taken")
	}
}

// TestUnauthenticatedPeerIsRefused tries a wrong key, a wrong instance id and calls
// without a handshake.
func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	address, stop := startServer(t, "key")
	defer stop()
	var auth *AuthError
	wrongKey := NewClient(ClientConfig{Instance: "client", Key: []byte("other")})
	defer wrongKey.Close()
	if _, err := wrongKey.Digest(t.Context(), Target{"server", address}, &peerapi.Digest{Instance: "client"}); !errors.As(err, &auth) {
		t.Errorf("wrong key: %v, want an AuthError", err)
	}
	wrongName := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	defer wrongName.Close()
	if _, err := wrongName.Digest(t.Context(), Target{"another", address}, &peerapi.Digest{Instance: "client"}); !errors.As(err, &auth) {
		t.Errorf("wrong name: %v, want an AuthError", err)
	}
	raw, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	rpc := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, boundedCodec{}), jsonrpc2.HandlerWithError(rejectCalls))
	defer func() { _ = rpc.Close() }()
	for _, method := range []string{peerapi.MethodDigest, peerapi.MethodDocument} {
		var reply peerapi.Digest
		if err := rpc.Call(t.Context(), method, peerapi.Digest{Instance: "x"}, &reply); err == nil {
			t.Errorf("%s was answered without authentication", method)
		}
	}
}

// TestImpostorServerIsRefused connects to a server that does not know the key.
func TestImpostorServerIsRefused(t *testing.T) {
	// The impostor answers Hello with the client's own MAC.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go reflectMAC(t, l)
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	defer c.Close()
	var auth *AuthError
	if _, err := c.Digest(t.Context(), Target{"server", l.Addr().String()}, &peerapi.Digest{Instance: "client"}); !errors.As(err, &auth) {
		t.Errorf("impostor: %v, want an AuthError", err)
	}
}

// reflectMAC accepts a connection and answers Hello with the MAC that it received.
func reflectMAC(t *testing.T, l net.Listener) {
	raw, err := l.Accept()
	if err != nil {
		return
	}
	handle := func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		if req.Method == peerapi.MethodChallenge {
			return peerapi.Challenge{Nonce: newNonce()}, nil
		}
		var h peerapi.Hello
		if err := decodeParams(req, &h); err != nil {
			return nil, err
		}
		return peerapi.Welcome{Instance: "server", MAC: h.MAC}, nil
	}
	rpc := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewBufferedStream(raw, boundedCodec{}), jsonrpc2.HandlerWithError(handle))
	<-rpc.DisconnectNotify()
}

// TestMessagesAreBounded checks that a frame with too large a length is refused
// before its body is read, and that too long a message isn't written.
func TestMessagesAreBounded(t *testing.T) {
	var size *SizeError
	frame := binary.BigEndian.AppendUint32(nil, maxMessageBytes+1)
	var v any
	if err := (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), &v); !errors.As(err, &size) {
		t.Errorf("read: %v, want a SizeError", err)
	}
	if err := (boundedCodec{}).WriteObject(&bytes.Buffer{}, bytes.Repeat([]byte("x"), maxMessageBytes)); !errors.As(err, &size) {
		t.Errorf("write: %v, want a SizeError", err)
	}
}

// TestStoppedPeerIsUnreachable calls a peer twice after it has stopped: once on the
// open connection, once with a new dial.
func TestStoppedPeerIsUnreachable(t *testing.T) {
	address, stop := startServer(t, "key")
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key"), DialTimeout: 200 * time.Millisecond})
	defer c.Close()
	target := Target{Instance: "server", Address: address}
	if _, err := c.Document(t.Context(), target, 1); err != nil {
		t.Fatal(err)
	}
	stop()
	var unreachable *UnreachableError
	if _, err := c.Document(t.Context(), target, 1); !errors.As(err, &unreachable) {
		t.Errorf("a stopped peer: %v, want an UnreachableError", err)
	}
	if _, err := c.Document(t.Context(), target, 1); !errors.As(err, &unreachable) {
		t.Errorf("a stopped peer, again: %v, want an UnreachableError", err)
	}
}

// FuzzReadObject feeds frames to the codec, which must neither panic nor accept more
// than maxMessageBytes, and must be able to write each digest that it has read.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, '{', '"', 'a'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var d peerapi.Digest
		if err := (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &d); err != nil {
			return
		}
		var out bytes.Buffer
		if err := (boundedCodec{}).WriteObject(&out, d); err != nil {
			t.Errorf("a digest that was read can't be written: %v", err)
		}
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	defer c.Close()
	var targets []Target
	for range maxClientConnections + 5 {
		address, stop := startServer(t, "key")
		defer stop()
		targets = append(targets, Target{Instance: "server", Address: address})
	}
	for _, target := range append(targets, targets[0]) {
		if _, err := c.Digest(t.Context(), target, &peerapi.Digest{Instance: "client"}); err != nil {
			t.Fatal(err)
		}
	}
	if len(c.conns) != maxClientConnections || c.conns[targets[1]] != nil || c.conns[targets[0]] == nil {
		t.Errorf("%d connections are open, want the %d latest", len(c.conns), maxClientConnections)
	}
}

// TestClosedConnectionIsNotReused restarts the peer between two calls.
func TestClosedConnectionIsNotReused(t *testing.T) {
	address, stop := startServer(t, "key")
	c := NewClient(ClientConfig{Instance: "client", Key: []byte("key")})
	defer c.Close()
	target := Target{Instance: "server", Address: address}
	if _, err := c.Digest(t.Context(), target, &peerapi.Digest{Instance: "client"}); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	kept := c.conns[target]
	c.mu.Unlock()
	stop()
	<-kept.DisconnectNotify()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(ServerConfig{Instance: "server", Key: []byte("key"), Gossip: echoHandler{}}).Serve(ctx, l)
	}()
	if _, err := c.Digest(t.Context(), target, &peerapi.Digest{Instance: "client"}); err != nil {
		t.Errorf("the call after the restart of the peer: %v", err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
