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

// maxClientConnections bounds the open connections of a client, so that an entry in
// a large fleet doesn't hold one to every peer.
const maxClientConnections = 32

// Target identifies a peer as in the platform's list of instances.
type Target struct {
	Instance string
	Address  string // IP:port
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Instance string
	Key      []byte
	TLS      *tls.Config // nil: plain TCP
	// DialTimeout bounds opening a connection; 0 means one second.
	DialTimeout time.Duration
	// SyncIdleTimeout ends a Sync call when no byte has been received for this
	// long. It doesn't bound the whole call, so that a large reply over a slow
	// connection completes. 0 means no timeout.
	SyncIdleTimeout time.Duration
	// Dial opens a connection; nil means TLS if TLS is set, and plain TCP if not.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client calls peers and reuses one connection to each. It is safe for concurrent
// use.
type Client struct {
	config        ClientConfig
	mu            sync.Mutex
	conns         map[Target]*peerConn
	recentlyUsed  []Target // in order of use, the latest last; may include targets without a connection
	lastRequestID atomic.Uint64
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	return &Client{config: c, conns: make(map[Target]*peerConn)}
}

// Digest exchanges digests with a peer.
func (c *Client) Digest(ctx context.Context, t Target, d *peerapi.Digest) (*peerapi.Digest, error) {
	var reply peerapi.Digest
	if err := c.call(ctx, t, peerapi.MethodDigest, d, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Document asks a peer for its document if the generation is higher than above.
func (c *Client) Document(ctx context.Context, t Target, above uint64) (*peerapi.Document, error) {
	var reply peerapi.Document
	if err := c.call(ctx, t, peerapi.MethodDocument, peerapi.DocumentRequest{AboveGeneration: above}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Sync asks a peer for its copy of the state in the platform's store.
func (c *Client) Sync(ctx context.Context, t Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error) {
	conn, err := c.getConn(ctx, t)
	if err != nil {
		return nil, err
	}
	if c.config.SyncIdleTimeout > 0 {
		var release func()
		ctx, release = conn.withIdleTimeout(ctx, c.config.SyncIdleTimeout)
		defer release()
	}
	var reply peerapi.SyncReply
	if err := c.callOn(ctx, conn, t, peerapi.MethodSync, r, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// Connect opens a connection to a peer if there is none, so that the next call
// doesn't wait for it.
func (c *Client) Connect(ctx context.Context, t Target) error {
	_, err := c.getConn(ctx, t)
	return err
}

// CloseExcept closes the connections to all peers that are not in targets.
func (c *Client) CloseExcept(targets []Target) {
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
func (c *Client) Close() { c.CloseExcept(nil) }

// call makes one call. It discards a connection that fails, and the next call opens
// another. It doesn't retry: the calls are idempotent, but a retry is the caller's
// decision.
func (c *Client) call(ctx context.Context, t Target, method string, params, result any) error {
	conn, err := c.getConn(ctx, t)
	if err != nil {
		return err
	}
	return c.callOn(ctx, conn, t, method, params, result)
}

// callOn makes one call on the given connection.
func (c *Client) callOn(ctx context.Context, conn *peerConn, t Target, method string, params, result any) error {
	err := conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	c.discardConn(t, conn)
	var idle *IdleTimeoutError
	if errors.As(context.Cause(ctx), &idle) {
		err = idle
	}
	return &UnreachableError{Address: t.Address, Method: method, Err: err}
}

// getConn returns the open connection to a peer or opens one.
func (c *Client) getConn(ctx context.Context, t Target) (*peerConn, error) {
	c.mu.Lock()
	conn := c.conns[t]
	if conn != nil && conn.isClosed() {
		delete(c.conns, t)
		conn = nil
	}
	if conn != nil {
		c.markUsed(t)
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := c.openConn(ctx, t)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[t]; other != nil && !other.isClosed() {
		_ = conn.Close() // a concurrent call opened one first
		return other, nil
	}
	c.conns[t] = conn
	c.markUsed(t)
	c.evictLeastRecentlyUsed()
	return conn, nil
}

// markUsed makes a target the most recently used. The caller holds c.mu.
func (c *Client) markUsed(t Target) {
	c.recentlyUsed = slices.DeleteFunc(c.recentlyUsed, func(o Target) bool { return o == t })
	c.recentlyUsed = append(c.recentlyUsed, t)
}

// evictLeastRecentlyUsed closes the least recently used connections while more than
// maxClientConnections are open. The caller holds c.mu. A call that is still in
// progress on such a connection fails as if the peer had closed it; this takes a
// call that outlasts uses of all the other connections.
func (c *Client) evictLeastRecentlyUsed() {
	for len(c.conns) > maxClientConnections {
		oldest := c.recentlyUsed[0]
		c.recentlyUsed = c.recentlyUsed[1:]
		if conn := c.conns[oldest]; conn != nil {
			delete(c.conns, oldest)
			_ = conn.Close()
		}
	}
}

// discardConn removes and closes a connection that failed.
func (c *Client) discardConn(t Target, conn *peerConn) {
	c.mu.Lock()
	if c.conns[t] == conn {
		delete(c.conns, t)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// openConn dials a peer and authenticates both sides.
func (c *Client) openConn(ctx context.Context, t Target) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, t.Address)
	if err != nil {
		return nil, &UnreachableError{Address: t.Address, Method: "dial", Err: err}
	}
	counted := &countingConn{Conn: raw}
	// The connection outlives the call that opened it.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(counted, boundedCodec{}), jsonrpc2.HandlerWithError(rejectCalls), discardLogs)
	if err := c.authenticate(ctx, rpc, t); err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return &peerConn{Conn: rpc, counter: counted}, nil
}

// dial opens the network connection.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	if c.config.Dial != nil {
		return c.config.Dial(ctx, address)
	}
	if c.config.TLS != nil {
		return (&tls.Dialer{Config: c.config.TLS}).DialContext(ctx, "tcp", address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// authenticate sends this side's MAC and verifies the server's. It returns an
// AuthError if the server refuses this side's MAC, is another instance than t names or
// sends a wrong MAC, and an UnreachableError if a call fails otherwise.
func (c *Client) authenticate(ctx context.Context, rpc *jsonrpc2.Conn, t Target) error {
	var challenge peerapi.Challenge
	if err := rpc.Call(ctx, peerapi.MethodChallenge, struct{}{}, &challenge); err != nil {
		return &UnreachableError{Address: t.Address, Method: peerapi.MethodChallenge, Err: err}
	}
	own := newNonce()
	hello := peerapi.Hello{Instance: c.config.Instance, Nonce: own, MAC: computeMAC(c.config.Key, roleClient, c.config.Instance, challenge.Nonce, own)}
	var welcome peerapi.Welcome
	if err := rpc.Call(ctx, peerapi.MethodHello, hello, &welcome); err != nil {
		var rpcErr *jsonrpc2.Error
		if !errors.As(err, &rpcErr) {
			return &UnreachableError{Address: t.Address, Method: peerapi.MethodHello, Err: err}
		}
		return &AuthError{Address: t.Address, Reason: "refused this instance's proof"}
	}
	if t.Instance != "" && welcome.Instance != t.Instance {
		return &AuthError{Address: t.Address, Reason: "is instance " + welcome.Instance + ", not " + t.Instance}
	}
	if !verifyMAC(welcome.MAC, c.config.Key, roleServer, welcome.Instance, own, challenge.Nonce) {
		return &AuthError{Address: t.Address, Reason: "did not prove that it knows the key"}
	}
	return nil
}

// rejectCalls handles calls from the server to the client, which the protocol
// doesn't have.
func rejectCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls go the other way"}
}
