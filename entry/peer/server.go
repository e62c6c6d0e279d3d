// Package peer is the client and server of the protocol between entries: JSON-RPC
// 2.0 over TCP or TLS. A connection starts with a handshake in which both sides
// prove that they know the shared key; until then, the server rejects all other
// calls.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// handshakeTimeout bounds the time from accepting a connection to the end of its
// handshake.
const handshakeTimeout = 3 * time.Second

// Bounds of a server.
const (
	// defaultMaxConnections bounds the open connections of a server.
	defaultMaxConnections = 1024
	// maxHandshakes bounds the connections whose client has not authenticated itself, together with
	// handshakeShare. Beyond it, the oldest is closed for a new one after minHandshakeTime.
	maxHandshakes    = 128
	handshakeShare   = 0.5
	minHandshakeTime = 100 * time.Millisecond
	// maxForwardedMemory bounds the memory of all forwarded requests that wait or run, in bytes.
	maxForwardedMemory = 16 << 20
)

// GossipHandler exchanges digests and documents with authenticated peers. It must
// be safe for concurrent use.
type GossipHandler interface {
	// Digest processes the digest of peer from and returns this instance's.
	Digest(from string, d *peerapi.Digest) *peerapi.Digest
	// Document returns the document in force if its generation is higher than above.
	Document(above uint64) *peerapi.Document
}

// SyncHandler returns this instance's copy of the state in the platform's store. It
// must be safe for concurrent use.
type SyncHandler interface {
	Sync(from string, r peerapi.SyncRequest) *peerapi.SyncReply
}

// NextReplyFunc waits for the next reply of a forwarded request that runs, and
// reports whether more replies may follow.
type NextReplyFunc func(ctx context.Context) (reply *peerapi.ForwardReply, more bool)

// ForwardHandler runs requests that other instances forward.
type ForwardHandler interface {
	// Offer returns the reason why this instance declines a request, or "" if it
	// accepts. It doesn't run the request.
	Offer(from string, r *peerapi.ForwardRequest) (declined string)
	// RunOffered runs a request that was accepted by Offer and returns its first
	// reply. A nil next means that the reply is the only one; otherwise the request
	// runs until next reports that no more replies follow, or ctx ends.
	RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (reply *peerapi.ForwardReply, next NextReplyFunc)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Instance string
	Key      []byte // the shared secret of the entries
	// Gossip answers instances that replicate a document among themselves; nil
	// rejects their calls.
	Gossip GossipHandler
	// Sync answers Sync calls; nil rejects them.
	Sync SyncHandler
	// Forward runs forwarded requests; nil rejects them.
	Forward ForwardHandler
	// MaxConnections bounds the open connections; 0: a default.
	MaxConnections int
	// OnReject is called with one of the reasons below when a connection or an offer is rejected to
	// keep within a bound; nil: nothing is. It must not block.
	OnReject func(reason string)
}

// The reasons of ServerConfig.OnReject.
const (
	rejectConnections = "no connection is left for instances"
	rejectHandshakes  = "no handshake while connections are used up"
	rejectForwarded   = "no memory is left for forwarded requests"
)

// Server answers the calls of peers.
type Server struct {
	config    ServerConfig
	forwarded atomic.Int64 // bytes of forwarded requests that wait or run
	mu        sync.Mutex
	conns     map[*jsonrpc2.Conn]struct{}
	// handshakes are the sessions whose client has not authenticated itself, the oldest one first.
	handshakes []*session
}

// NewServer returns a server without connections.
func NewServer(c ServerConfig) *Server {
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
	if c.OnReject == nil {
		c.OnReject = func(string) {}
	}
	return &Server{config: c, conns: make(map[*jsonrpc2.Conn]struct{})}
}

// Serve accepts connections until ctx ends and returns nil then, or an error if the
// listener is closed before. It closes all connections when it returns.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("accept peers: %w", err)
			}
			continue // the failure of one connection, which leaves the listener usable
		}
		s.makeRoom(ctx)
		s.startSession(ctx, conn)
	}
}

// makeRoom closes the oldest connection whose client has not authenticated itself if there are too
// many of them, and waits for it to reach minHandshakeTime before.
func (s *Server) makeRoom(ctx context.Context) {
	limit := max(1, min(maxHandshakes, int(handshakeShare*float64(s.config.MaxConnections))))
	s.mu.Lock()
	var oldest *session
	if len(s.handshakes) >= limit {
		oldest = s.handshakes[0]
	}
	s.mu.Unlock()
	if oldest == nil {
		return
	}
	timer := time.NewTimer(minHandshakeTime - time.Since(oldest.startedAt))
	defer timer.Stop()
	select {
	case <-timer.C:
		if oldest.authenticatedPeer() == "" {
			s.config.OnReject(rejectHandshakes)
			_ = oldest.conn.Close() // the client, or handshakeTimeout, may have closed it already
		}
		s.endHandshake(oldest)
	case <-oldest.conn.DisconnectNotify():
	case <-ctx.Done():
	}
}

// endHandshake removes a session from the list of handshakes.
func (s *Server) endHandshake(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.handshakes, ended); i >= 0 {
		s.handshakes = slices.Delete(s.handshakes, i, i+1)
	}
}

// startSession starts to serve a connection. It closes the connection if the server
// has the maximum number of them.
func (s *Server) startSession(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.config.MaxConnections {
		s.config.OnReject(rejectConnections)
		_ = conn.Close()
		return
	}
	session := &session{server: s, nonce: newNonce(), startedAt: time.Now(), offers: make(map[uint64]*peerapi.ForwardRequest), running: make(map[uint64]*activeRun)}
	// Calls of one connection run concurrently, as a forwarded request may take long.
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handle))
	codec := boundedCodec{isTrusted: func() bool { return session.authenticatedPeer() != "" }}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec), handler, discardLogs)
	session.conn = rpc
	s.conns[rpc] = struct{}{}
	s.handshakes = append(s.handshakes, session)
	handshakeTimer := time.AfterFunc(handshakeTimeout, func() {
		if session.authenticatedPeer() == "" {
			_ = rpc.Close()
		}
	})
	go func() {
		<-rpc.DisconnectNotify()
		handshakeTimer.Stop()
		session.cancelAll()
		s.endHandshake(session)
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// closeAll closes all connections and waits until they are closed.
func (s *Server) closeAll() {
	s.mu.Lock()
	conns := make([]*jsonrpc2.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		<-c.DisconnectNotify()
	}
}

// session is the server side of one connection.
type session struct {
	server    *Server
	nonce     string
	startedAt time.Time
	conn      *jsonrpc2.Conn

	mu           sync.Mutex
	peerInstance string // "" before authentication
	// offers are the accepted requests that wait for the Run call, running those in
	// progress, both by id. Both are nil once the connection is closed.
	offers  map[uint64]*peerapi.ForwardRequest
	running map[uint64]*activeRun
}

// authenticatedPeer returns the instance id of the peer, or "" before authentication.
func (s *session) authenticatedPeer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerInstance
}

// handle answers one call.
func (s *session) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case peerapi.MethodChallenge:
		return peerapi.Challenge{Nonce: s.nonce}, nil
	case peerapi.MethodHello:
		return s.hello(req)
	}
	from := s.authenticatedPeer()
	if from == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not proved"}
	}
	switch req.Method {
	case peerapi.MethodOffer:
		return s.offer(from, req)
	case peerapi.MethodRun:
		return s.runOffered(ctx, req)
	case peerapi.MethodRest:
		return s.nextReply(req)
	case peerapi.MethodCancel:
		return s.cancelRequest(req)
	}
	return s.call(from, req)
}

// hello verifies the client's MAC and returns the server's own.
func (s *session) hello(req *jsonrpc2.Request) (any, error) {
	var h peerapi.Hello
	if err := decodeParams(req, &h); err != nil {
		return nil, err
	}
	c := s.server.config
	if h.Instance == "" || !verifyMAC(h.MAC, c.Key, roleClient, h.Instance, s.nonce, h.Nonce) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not proved"}
	}
	s.mu.Lock()
	s.peerInstance = h.Instance
	s.mu.Unlock()
	s.server.endHandshake(s)
	return peerapi.Welcome{Instance: c.Instance, MAC: computeMAC(c.Key, roleServer, c.Instance, h.Nonce, s.nonce)}, nil
}

// call answers the calls of an authenticated peer that concern no forwarded request.
func (s *session) call(from string, req *jsonrpc2.Request) (any, error) {
	handler, sync := s.server.config.Gossip, s.server.config.Sync
	switch {
	case req.Method == peerapi.MethodSync && sync != nil:
		var r peerapi.SyncRequest
		if err := decodeParams(req, &r); err != nil {
			return nil, err
		}
		return sync.Sync(from, r), nil
	case handler == nil:
	case req.Method == peerapi.MethodDigest:
		var d peerapi.Digest
		if err := decodeParams(req, &d); err != nil {
			return nil, err
		}
		if d.Instance != from {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "instance: not the proved one"}
		}
		return handler.Digest(from, &d), nil
	case req.Method == peerapi.MethodDocument:
		var r peerapi.DocumentRequest
		if err := decodeParams(req, &r); err != nil {
			return nil, err
		}
		return handler.Document(r.AboveGeneration), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
}

// decodeParams decodes the parameters of a call into v.
func decodeParams(req *jsonrpc2.Request, v any) error {
	if req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are malformed"}
	}
	return nil
}
