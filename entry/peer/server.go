// Package peer carries the messages between entries: JSON-RPC 2.0 over TCP or
// TLS. A connection is opened by a mutual proof of the shared key; before that,
// no other call is answered.
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

// helloTime bounds the time from accepting a connection to its proof.
const helloTime = 3 * time.Second

// maxConnections bounds the connections that are served at once.
const maxConnections = 1024

// Handler answers the calls of proved peers. It is called by many goroutines.
type Handler interface {
	// Digest takes a peer's digest and gives this instance's.
	Digest(from string, d *peerapi.Digest) *peerapi.Digest
	// Document gives the document in force, if it is newer than above.
	Document(above uint64) *peerapi.Document
}

// SyncHandler tells what this instance knows of the platform's store. It is
// called by many goroutines.
type SyncHandler interface {
	Sync(from string, r peerapi.SyncRequest) *peerapi.SyncReply
}

// Rest waits for the next reply of a run and says whether more may come.
type Rest func(ctx context.Context) (reply *peerapi.ForwardReply, going bool)

// ForwardHandler runs requests that other instances hand over.
type ForwardHandler interface {
	// Offer says why a request would not be run here, "" when it would. It runs
	// nothing.
	Offer(from string, r *peerapi.ForwardRequest) (declined string)
	// RunOffered runs a request that was offered before. Rest, if it is not nil, gives
	// what comes after the reply; the run goes on until Rest says that nothing does, or
	// the context ends.
	RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (reply *peerapi.ForwardReply, rest Rest)
}

// ServerConfig says who the server is.
type ServerConfig struct {
	Instance string
	Key      []byte // the entries' shared secret
	// Handler answers the calls of instances that spread their own document;
	// nil where there is none.
	Handler Handler
	// Sync answers questions about the platform's store; nil where none are.
	Sync SyncHandler
	// Forward runs requests that are handed over; nil where none are.
	Forward ForwardHandler
}

// Server answers peers.
type Server struct {
	config ServerConfig
	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
}

// NewServer makes a server.
func NewServer(c ServerConfig) *Server {
	return &Server{config: c, conns: make(map[*jsonrpc2.Conn]struct{})}
}

// Serve answers on the listener until the context ends.
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
			continue // one connection's fault is not the listener's
		}
		s.open(ctx, conn)
	}
}

// open starts to serve one connection.
func (s *Server) open(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		_ = conn.Close()
		return
	}
	session := &session{server: s, nonce: newNonce(), offers: make(map[uint64]*peerapi.ForwardRequest), running: make(map[uint64]*running)}
	// Calls run beside each other: a request that is handed over takes its time.
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(session.handle))
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, boundedCodec{}), handler, quietly)
	s.conns[rpc] = struct{}{}
	hello := time.AfterFunc(helloTime, func() {
		if session.peer() == "" {
			_ = rpc.Close()
		}
	})
	go func() {
		<-rpc.DisconnectNotify()
		hello.Stop()
		session.cancelAll()
		s.mu.Lock()
		delete(s.conns, rpc)
		s.mu.Unlock()
	}()
}

// closeAll ends all connections.
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

// session is one served connection.
type session struct {
	server *Server
	nonce  string

	mu     sync.Mutex
	proved string // the peer's instance, "" before its proof
	// offers wait for the word to run them; running are those in progress. Both
	// are nil once the connection has ended.
	offers  map[uint64]*peerapi.ForwardRequest
	running map[uint64]*running
}

// peer returns the proved instance, or "".
func (s *session) peer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proved
}

// handle answers one call.
func (s *session) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case peerapi.MethodChallenge:
		return peerapi.Challenge{Nonce: s.nonce}, nil
	case peerapi.MethodHello:
		return s.hello(req)
	}
	from := s.peer()
	if from == "" {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not proved"}
	}
	switch req.Method {
	case peerapi.MethodOffer:
		return s.offer(from, req)
	case peerapi.MethodRun:
		return s.run(ctx, req)
	case peerapi.MethodRest:
		return s.rest(req)
	case peerapi.MethodCancel:
		return s.cancel(req)
	}
	return s.call(from, req)
}

// hello checks the client's proof and gives the server's own.
func (s *session) hello(req *jsonrpc2.Request) (any, error) {
	var h peerapi.Hello
	if err := params(req, &h); err != nil {
		return nil, err
	}
	c := s.server.config
	if h.Instance == "" || !proves(h.MAC, c.Key, roleClient, h.Instance, s.nonce, h.Nonce) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not proved"}
	}
	s.mu.Lock()
	s.proved = h.Instance
	s.mu.Unlock()
	return peerapi.Welcome{Instance: c.Instance, MAC: proof(c.Key, roleServer, c.Instance, h.Nonce, s.nonce)}, nil
}

// call answers a proved peer.
func (s *session) call(from string, req *jsonrpc2.Request) (any, error) {
	handler, sync := s.server.config.Handler, s.server.config.Sync
	switch {
	case req.Method == peerapi.MethodSync && sync != nil:
		var r peerapi.SyncRequest
		if err := params(req, &r); err != nil {
			return nil, err
		}
		return sync.Sync(from, r), nil
	case handler == nil:
	case req.Method == peerapi.MethodDigest:
		var d peerapi.Digest
		if err := params(req, &d); err != nil {
			return nil, err
		}
		if d.Instance != from {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "instance: not the proved one"}
		}
		return handler.Digest(from, &d), nil
	case req.Method == peerapi.MethodDocument:
		var r peerapi.DocumentRequest
		if err := params(req, &r); err != nil {
			return nil, err
		}
		return handler.Document(r.AboveGeneration), nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no such method"}
}

// params decodes a call's parameters.
func params(req *jsonrpc2.Request, v any) error {
	if req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are malformed"}
	}
	return nil
}
