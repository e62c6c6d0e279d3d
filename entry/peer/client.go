package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// maxOpen bounds a client's connections, so that an entry of a large fleet does
// not come to hold one to every peer.
const maxOpen = 32

// Target is a peer as the platform's list names it.
type Target struct {
	Instance string
	Address  string // IP:port
}

// ClientConfig says who the client is.
type ClientConfig struct {
	Instance string
	Key      []byte
	TLS      *tls.Config // nil: plain TCP
	// DialTimeout bounds opening a connection; 0 means one second.
	DialTimeout time.Duration
	// Silence bounds the time in which no byte comes in during Sync, whose reply may be
	// large: one that moves is not cut off. 0 sets no bound.
	Silence time.Duration
	// Dial opens a connection; nil: TCP, or TLS where it is set.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls peers over one kept connection each. It is safe for concurrent use.
type Client struct {
	config    ClientConfig
	mu        sync.Mutex
	conns     map[Target]*link
	used      []Target // of conns, the latest use last
	lastOffer atomic.Uint64
}

// NewClient makes a client.
func NewClient(c ClientConfig) *Client {
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	return &Client{config: c, conns: make(map[Target]*link)}
}

// Digest exchanges digests with a peer.
func (c *Client) Digest(ctx context.Context, t Target, d *peerapi.Digest) (*peerapi.Digest, error) {
	var reply peerapi.Digest
	if err := c.call(ctx, t, peerapi.MethodDigest, d, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Document asks a peer for its document, if newer than above.
func (c *Client) Document(ctx context.Context, t Target, above uint64) (*peerapi.Document, error) {
	var reply peerapi.Document
	if err := c.call(ctx, t, peerapi.MethodDocument, peerapi.DocumentRequest{AboveGeneration: above}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Sync asks a peer what it knows of the platform's store.
func (c *Client) Sync(ctx context.Context, t Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error) {
	conn, err := c.conn(ctx, t)
	if err != nil {
		return nil, err
	}
	if c.config.Silence > 0 {
		var release func()
		ctx, release = conn.untilSilent(ctx, c.config.Silence)
		defer release()
	}
	var reply peerapi.SyncReply
	if err := c.callOn(ctx, conn, t, peerapi.MethodSync, r, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Connect opens a connection to a peer where none is kept, so that the next call does not
// wait for it.
func (c *Client) Connect(ctx context.Context, t Target) error {
	_, err := c.conn(ctx, t)
	return err
}

// Keep closes the connections to peers that are not named.
func (c *Client) Keep(targets []Target) {
	keep := make(map[Target]bool, len(targets))
	for _, t := range targets {
		keep[t] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, conn := range c.conns {
		if !keep[t] {
			delete(c.conns, t)
			_ = conn.Close()
		}
	}
}

// Close closes all connections.
func (c *Client) Close() { c.Keep(nil) }

// call makes one call. A connection that fails is dropped: the next call opens
// another. The calls are idempotent, but the caller decides on a second try.
func (c *Client) call(ctx context.Context, t Target, method string, params, result any) error {
	conn, err := c.conn(ctx, t)
	if err != nil {
		return err
	}
	return c.callOn(ctx, conn, t, method, params, result)
}

// callOn makes one call on a connection.
func (c *Client) callOn(ctx context.Context, conn *link, t Target, method string, params, result any) error {
	err := conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	c.drop(t, conn)
	var silence *SilenceError
	if errors.As(context.Cause(ctx), &silence) {
		err = silence
	}
	return &UnreachableError{Address: t.Address, Method: method, Err: err}
}

// conn returns the kept connection or opens one.
func (c *Client) conn(ctx context.Context, t Target) (*link, error) {
	c.mu.Lock()
	conn := c.conns[t]
	if conn != nil && conn.ended() {
		delete(c.conns, t)
		conn = nil
	}
	if conn != nil {
		c.touch(t)
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := c.open(ctx, t)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[t]; other != nil && !other.ended() {
		_ = conn.Close() // another call was faster
		return other, nil
	}
	c.conns[t] = conn
	c.touch(t)
	c.evict()
	return conn, nil
}

// touch notes a use of a connection.
func (c *Client) touch(t Target) {
	c.used = slices.DeleteFunc(c.used, func(o Target) bool { return o == t })
	c.used = append(c.used, t)
}

// evict closes the connection that was not used for longest when too many are
// open. A call on it, which would have to be slower than the calls to all
// others since, fails like a call to a peer that went away.
func (c *Client) evict() {
	for len(c.conns) > maxOpen {
		oldest := c.used[0]
		c.used = c.used[1:]
		if conn := c.conns[oldest]; conn != nil {
			delete(c.conns, oldest)
			_ = conn.Close()
		}
	}
}

// drop forgets a connection that failed.
func (c *Client) drop(t Target, conn *link) {
	c.mu.Lock()
	if c.conns[t] == conn {
		delete(c.conns, t)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// open dials and proves.
func (c *Client) open(ctx context.Context, t Target) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, t.Address)
	if err != nil {
		return nil, &UnreachableError{Address: t.Address, Method: "dial", Err: err}
	}
	counted := &countedConn{Conn: raw}
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(counted, boundedCodec{}), jsonrpc2.HandlerWithError(refuseCalls), quietly)
	if err := c.prove(ctx, rpc, t); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return &link{Conn: rpc, bytes: counted}, nil
}

// dial opens the connection below.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.config.Dial != nil {
		return c.config.Dial(ctx, address)
	}
	if c.config.TLS != nil {
		return (&tls.Dialer{Config: c.config.TLS}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// prove gives this side's proof and checks the server's.
func (c *Client) prove(ctx context.Context, rpc *jsonrpc2.Conn, t Target) error {
	var challenge peerapi.Challenge
	if err := rpc.Call(ctx, peerapi.MethodChallenge, struct{}{}, &challenge); err != nil {
		return &UnreachableError{Address: t.Address, Method: peerapi.MethodChallenge, Err: err}
	}
	own := newNonce()
	hello := peerapi.Hello{Instance: c.config.Instance, Nonce: own, MAC: proof(c.config.Key, roleClient, c.config.Instance, challenge.Nonce, own)}
	var welcome peerapi.Welcome
	if err := rpc.Call(ctx, peerapi.MethodHello, hello, &welcome); err != nil {
		var answered *jsonrpc2.Error
		if !errors.As(err, &answered) {
			return &UnreachableError{Address: t.Address, Method: peerapi.MethodHello, Err: err}
		}
		return &AuthError{Address: t.Address, Reason: "refused this instance's proof"}
	}
	if t.Instance != "" && welcome.Instance != t.Instance {
		return &AuthError{Address: t.Address, Reason: "is instance " + welcome.Instance + ", not " + t.Instance}
	}
	if !proves(welcome.MAC, c.config.Key, roleServer, welcome.Instance, own, challenge.Nonce) {
		return &AuthError{Address: t.Address, Reason: "did not prove that it knows the key"}
	}
	return nil
}

// refuseCalls answers a server that calls back.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}
