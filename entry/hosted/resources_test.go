package hosted

import "testing"

// TestSharesOfSockets checks that the shares add up to no more than all sockets, and that each part
// gets some.
func TestSharesOfSockets(t *testing.T) {
	for _, sockets := range []int{25, 100, 300, 3900, 20_000} {
		r := Resources{Sockets: sockets}
		leaves := int(LeafSocketsShare * float64(sockets))
		for _, open := range []int{0, leaves / 2, leaves} {
			clients, peers, admin := r.clientConnections(open), r.peerConnections(), r.adminConnections()
			if clients < 1 || peers < 1 || admin < 1 || open+clients+peers+2*admin > sockets {
				t.Errorf("%d sockets: %d leaves, %d clients, %d peers, 2 x %d for the load balancer and metrics", sockets, open, clients, peers, admin)
			}
		}
	}
}

// TestMemoryOfClients checks the memory of clients beside that of the other parts.
func TestMemoryOfClients(t *testing.T) {
	for _, memory := range []int64{32 << 20, 96 << 20, 284 << 20, 2 << 30} {
		got := Resources{MemoryBytes: memory}.clientMemory()
		if got < 3<<20 || got > memory/2 {
			t.Errorf("%d MB for clients, of %d", got>>20, memory>>20)
		}
	}
	if got := (Resources{}).clientMemory(); got <= 0 {
		t.Errorf("%d bytes for clients without a stated limit", got)
	}
}
