package leafclient

import (
	"context"
	"net"
	"testing"
)

// TestTransientConnectionIsNotKept gives connections back whose share is less than one:
// they are closed, also those that were kept under a greater share.
func TestTransientConnectionIsNotKept(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	target := Target{ID: "a", Address: l.Addr().String(), Connections: 1}
	s := newSockets(target)
	defer s.close()
	use := func() {
		t.Helper()
		c, err := s.get(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		s.put(c)
	}
	use()
	use()
	if n := s.dials.Load(); n != 1 || len(s.idle) != 1 {
		t.Fatalf("%d dials and %d idle with a share of one, want 1 and 1", n, len(s.idle))
	}
	target.Transient = true
	s.setShare(target)
	if len(s.idle) != 0 {
		t.Error("a connection is kept after the share has become less than one")
	}
	use()
	use()
	if n := s.dials.Load(); n != 3 || len(s.idle) != 0 {
		t.Errorf("%d dials and %d idle, want 3 and 0", n, len(s.idle))
	}
}
