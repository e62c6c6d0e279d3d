package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// listeners holds the listening sockets of a node.
type listeners struct {
	callers, peers net.Listener
	operators      net.Listener // nil when operators share the callers' address
}

// listen opens all sockets; on an error it closes those already open.
func (n *Node) listen(ctx context.Context) (l listeners, err error) {
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	queue := ingress.QueueFor(n.settings.Limits.MemoryBytes)
	clients := ingress.ListenOptions{ReceiveBuffer: ingress.ClientReceiveBuffer, Queue: queue}
	peers := ingress.ListenOptions{ReceiveBuffer: ingress.PeerReceiveBuffer, Queue: queue}
	if l.callers, err = ingress.ListenTCP(ctx, n.settings.Listen.Callers, clients); err != nil {
		return l, fmt.Errorf("listen for callers: %w", err)
	}
	if l.peers, err = ingress.ListenTCP(ctx, n.settings.Listen.Peers, peers); err != nil {
		return l, fmt.Errorf("listen for peers: %w", err)
	}
	if n.peerTLS != nil {
		l.peers = tls.NewListener(l.peers, n.peerTLS)
	}
	if n.operators == nil {
		return l, nil
	}
	if l.operators, err = ingress.ListenTCP(ctx, n.settings.Listen.Operators, clients); err != nil {
		return l, fmt.Errorf("listen for operators: %w", err)
	}
	return l, nil
}

// close closes the sockets that are open.
func (l listeners) close() {
	for _, s := range []net.Listener{l.callers, l.peers, l.operators} {
		if s != nil {
			_ = s.Close()
		}
	}
}
