package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// Times of a site, as its settings state them.
const (
	bound     = 3 * time.Second // for a configuration, and for a drain
	graceTime = 4 * time.Second
	heartbeat = time.Second
	// slack and ratio bound repeats over all instances in any window.
	slack        = 60
	ratio        = 0.2
	repeatWindow = 10 * time.Second
)

// instance is one real process of the product.
type instance struct {
	name     string
	settings string // path
	log      string // path
	address  string // where it listens for clients
	clients  *proxy // before it
	store    *proxy // between it and the store

	mu sync.Mutex
	// cmd is the running process, nil between an end and the next start.
	cmd *exec.Cmd
	// incarnation counts starts.
	incarnation int
	// disturbed is until when a fault other than a planned stop may show.
	disturbed time.Time
	// stopping is when it was asked to stop, zero while it was not.
	stopping time.Time
	// seen is the newest version seen in this incarnation, and when.
	seen   uint64
	seenAt time.Time

	// busy is held by the fault that signals the process.
	busy sync.Mutex
}

// site is the store, the leaves and the instances of one soak.
type site struct {
	dir       string
	binary    string
	server    *platform.Server
	address   string // of the store
	end       context.CancelFunc
	ledger    *ledger
	instances []*instance

	mu      sync.Mutex
	leaves  map[string]*fakeLeaf
	shards  []string
	sets    [][]string // all sets of shards that a configuration named
	version uint64
	changed time.Time // when the version was written
	// storeDisturbed is until when a fault of the store may show.
	storeDisturbed time.Time
}

// settleTime is for how long after the end of a fault its effects are allowed.
const settleTime = 8 * time.Second

// newSite starts the store and the first leaves; no instance runs yet.
func newSite(dir, binary string, instances int) (*site, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		dir: dir, binary: binary, server: platform.New(platform.Settings{}), address: l.Addr().String(), end: cancel,
		ledger: &ledger{}, leaves: make(map[string]*fakeLeaf),
	}
	go func() { _ = s.server.Serve(ctx, l) }()
	for range 2 {
		if err := s.addLeaf("alone", 10*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := s.newSet(6); err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	for i := range instances {
		n, err := s.newInstance(i)
		if err != nil {
			return nil, err
		}
		s.instances = append(s.instances, n)
		if err := s.startInstance(n); err != nil {
			return nil, err
		}
	}
	go s.beat(ctx)
	return s, nil
}

// close ends everything that the site started.
func (s *site) close() {
	for _, n := range s.instances {
		_ = n.signal(syscall.SIGCONT)
		_ = n.signal(syscall.SIGKILL)
		_ = n.await() // it was killed
		n.clients.close()
		n.store.close()
	}
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leaves {
		l.close()
	}
}

// addLeaf starts a leaf of a service and registers it.
func (s *site) addLeaf(service string, work time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("%s-%d", service, len(s.leaves))
	l, err := newLeaf(id, service, work, s.ledger)
	if err != nil {
		return err
	}
	s.leaves[id] = l
	s.register(l)
	return nil
}

// register writes a leaf's entry. The lock is held.
func (s *site) register(l *fakeLeaf) {
	phase := "ready"
	if !l.draining.IsZero() {
		phase = "draining"
	}
	s.server.Set("servers", l.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z%d","concurrency":%d,"phase":%q,"sequence":%d}`, l.service, l.proxy.address(), len(l.id)%2, slotsEach, phase, time.Now().UnixNano()))
}

// beat writes the leaves' heartbeats.
func (s *site) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for _, l := range s.leaves {
			if l.draining.IsZero() {
				s.register(l)
			}
		}
		s.mu.Unlock()
	}
}

// newSet starts another set of shards, two leaves each.
func (s *site) newSet(n int) error {
	var set []string
	for i := range n {
		name := fmt.Sprintf("s%dx%d", len(s.sets), i)
		set = append(set, name)
		for range 2 {
			if err := s.addLeaf(name, 8*time.Millisecond); err != nil {
				return err
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = set
	s.sets = append(s.sets, set)
	return nil
}

// configure writes the next version. Its probe route leads to a service of its own.
func (s *site) configure() error {
	next := s.version + 1
	if err := s.addLeaf(fmt.Sprintf("p%d", next), time.Millisecond); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	route := func(name, prefix, kind, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":"site","path-prefix":%q,"type":%q,"timeout-ms":1500,"latency-goal-ms":300,"attempts":2,%s}`, name, prefix, kind, rest)
	}
	shards, err := json.Marshal(s.shards)
	if err != nil {
		return err
	}
	routes := []string{
		route("one", "/one/", "idempotent", `"service":"alone"`),
		route("once", "/once/", "non_idempotent", `"service":"alone"`),
		route("probe", "/probe/", "idempotent", fmt.Sprintf(`"service":"p%d"`, next)),
		route("search", "/search/", "idempotent", fmt.Sprintf(`"shards":%s,"top-k":%d,"min-success-share":0.5`, shards, topK)),
	}
	s.version = next
	s.changed = time.Now()
	s.server.Set("config", "main", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[],"limits":{"max-body-bytes":100000}}`, next, strings.Join(routes, ",")))
	return nil
}

// topK is the number of records of a combined answer.
const topK = 5

// newInstance lays out an instance's files and proxies.
func (s *site) newInstance(i int) (*instance, error) {
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%d", i)
	n := &instance{name: name, settings: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log"), address: ports[0]}
	if n.clients, err = newProxy(n.address); err != nil {
		return nil, err
	}
	if n.store, err = newProxy(s.address); err != nil {
		return nil, err
	}
	_, peerPort, err := net.SplitHostPort(ports[2])
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{
		"node-name": name, "zone": fmt.Sprintf("z%d", i%2), "ip": "127.0.0.1", "internal-ports": []int{port, port},
		"listen-addrs": map[string]string{"front": ports[0], "ready-addr": ports[1]}, "heartbeat-ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpu-share": 0.5, "cpu-cores": 1, "memory-mb": 256},
		"parameters": map[string]any{
			"grace-period-s": graceTime.Seconds(), "config-apply-ms": bound.Milliseconds(), "drain-timeout-ms": bound.Milliseconds(),
			"retry-budget-ratio": ratio, "retry-slack": slack, "retry-window-s": repeatWindow.Seconds(),
		},
		"platform": map[string]string{"address": n.store.address()},
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, data, 0o600)
}

// freePorts finds loopback addresses on which nothing listens.
func freePorts(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // all at the end: a port that is given back could come again
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startInstance starts an instance's process.
func (s *site) startInstance(n *instance) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.binary, "hosted")
	cmd.Env = append(os.Environ(), "FUCHSIAROAD_NODE_FILE="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.stopping, n.seen = cmd, time.Time{}, 0
	n.incarnation++
	return nil
}

// signal sends a signal to the instance's own process, if one runs.
func (n *instance) signal(sig syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil
	}
	if err := n.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", n.name, err)
	}
	return nil
}

// await waits for the end of the instance's process and returns how it ended.
func (n *instance) await() error {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return nil
	}
	err := cmd.Wait()
	n.mu.Lock()
	n.cmd = nil
	n.mu.Unlock()
	return err
}

// disturb notes that a fault may show until some time after the given one.
func (n *instance) disturb(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at := until.Add(settleTime); at.After(n.disturbed) {
		n.disturbed = at
	}
}
