package leafclient

import (
	"errors"
	"sync"
)

// errNoSocket means that no socket is left for a connection to a leaf.
var errNoSocket = errors.New("no socket is left for connections to leaves")

// sockets counts the open sockets of all connection pools. The zero value has no limit.
type sockets struct {
	mu      sync.Mutex
	open    int
	maxOpen int // 0: no limit
	// makeRoom closes an idle connection, and reports false if there is none.
	makeRoom func() bool
}

// limit sets the limit.
func (s *sockets) limit(maxOpen int, makeRoom func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxOpen, s.makeRoom = maxOpen, makeRoom
}

// acquire counts a socket that is about to be opened.
func (s *sockets) acquire() error {
	for {
		s.mu.Lock()
		hasRoom := s.maxOpen == 0 || s.open < s.maxOpen
		if hasRoom {
			s.open++
		}
		makeRoom := s.makeRoom
		s.mu.Unlock()
		if hasRoom {
			return nil
		}
		if !makeRoom() {
			return errNoSocket
		}
	}
}

// release counts a socket that has been closed.
func (s *sockets) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// count returns the number of open sockets.
func (s *sockets) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
