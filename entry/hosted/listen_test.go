package hosted

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// TestListenRetriesAddressInUse frees an address that is in use while listen retries it.
func TestListenRetriesAddressInUse(t *testing.T) {
	log, err := telemetry.NewLog(io.Discard, telemetry.Options{Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	n := &Node{log: log}
	n.tunables.Store(&Tunables{})
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	time.AfterFunc(3*listenRetryInterval/2, func() { _ = first.Close() })
	l, err := n.listen(t.Context(), address, ingress.ClientReceiveBuffer)
	if err != nil {
		t.Fatalf("an address that was given up after a moment: %v", err)
	}
	_ = l.Close()
}
