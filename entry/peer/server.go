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
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
)

// handshakeTimeout bounds the time from accepting a connection to the end of its
// handshake.
const handshakeTimeout = 3 * time.Second

// maxServerConnections bounds the open connections of a server.
const maxServerConnections = 1024

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
}

// Server answers the calls of peers.
type Server struct {
	config ServerConfig
	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server without connections.
func NewServer(c ServerConfig) *Server {
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
		s.startSession(ctx, conn)
	}
}

// startSession starts to serve a connection. It closes the connection if the server
// has maxServerConnections.
func (s *Server) startSession(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxServerConnections {
		_ = conn.Close()
		return
	}
	session := &session{server: s, nonce: newNonce(), offers: make(map[uint64]*peerapi.ForwardRequest), running: make(map[uint64]*activeRun)}
	// Calls of one connection run concurrently, as a forwarded request may take long.
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handle))
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, boundedCodec{}), handler, discardLogs)
	s.conns[rpc] = struct{}{}
	handshakeTimer := time.AfterFunc(handshakeTimeout, func() {
		if session.authenticatedPeer() == "" {
			_ = rpc.Close()
		}
	})
	go func() {
		<-rpc.DisconnectNotify()
		handshakeTimer.Stop()
		session.cancelAll()
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
	server *Server
	nonce  string

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
