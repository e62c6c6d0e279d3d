package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// Bounds of a small deployment, as its settings state them.
const (
	graceTime   = 6 * time.Second
	configApply = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
	lossSlack   = 200 * time.Millisecond
)

// rig is one run of a case: the store, the leaves and the processes.
type rig struct {
	binary string
	dir    string // temporary, with settings and logs
	random *rand.Rand
	start  time.Time

	storeServer  *platform.Server
	storeAddress string
	endStore     context.CancelFunc

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	nodes  []*node
	leaves []*leaf
	closed bool
}

// newRig starts the store and opens the record.
func newRig(binary, record string) (*rig, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	seed := seedFromEnv()
	r := &rig{
		binary: binary, dir: dir, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(),
		record: bufio.NewWriter(file), file: file, storeServer: platform.New(platform.Settings{}),
	}
	r.log("seed %d, trouble %v", seed, trouble())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.storeAddress, r.endStore = l.Addr().String(), cancel
	go func() { _ = r.storeServer.Serve(ctx, l) }()
	return r, nil
}

// log writes one line to the record.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins, and closes the record.
func (r *rig) close() {
	r.mu.Lock()
	nodes, leaves := r.nodes, r.leaves
	r.mu.Unlock()
	for _, n := range nodes {
		n.end()
	}
	for _, l := range leaves {
		l.close()
	}
	r.endStore()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// node is one process of the project's program.
type node struct {
	rig      *rig
	name     string
	zone     string
	settings string // path
	clients  string // addresses
	ready    string
	peers    string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// nodeOptions describes a process.
type nodeOptions struct {
	name, zone string
	ip         string
	share      float64 // of a core
	seeds      []string
	store      string // address of the store; empty: the store itself
	first      bool
}

// newNode writes the settings of a process. It does not start it.
func (r *rig) newNode(o nodeOptions) (*node, error) {
	addresses, err := hosted.FreeAddresses(o.ip, 3)
	if err != nil {
		return nil, err
	}
	n := &node{rig: r, name: o.name, zone: o.zone, clients: addresses[0], ready: addresses[1], peers: addresses[2]}
	if o.store == "" {
		o.store = r.storeAddress
	}
	if len(o.seeds) == 0 {
		o.seeds = []string{n.peers}
	}
	file, err := hosted.Settings{
		Name: o.name, Zone: o.zone, Clients: n.clients, Ready: n.ready, Peers: n.peers, Store: o.store, Seeds: o.seeds,
		Grace: graceTime, Bound: configApply, Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Heartbeat: heartbeat, First: o.first,
	}.File()
	if err != nil {
		return nil, err
	}
	file["limits"] = map[string]any{"cpu-share": o.share, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "bandwidth-mbps": 1000.0, "disk-mb": 0}
	data, err := json.Marshal(file)
	if err != nil {
		return nil, err
	}
	n.settings = filepath.Join(r.dir, o.name+".json")
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	return n, nil
}

// startProcess starts the program as the deploy file says.
func (n *node) startProcess() error {
	logs, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command(n.rig.binary, "hosted")
	cmd.Env = append(os.Environ(), hosted.SettingsVariable+"="+n.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	n.rig.log("%s: process started", n.name)
	go func() {
		err := cmd.Wait()
		n.rig.log("%s: process ended (%v)", n.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.rig.log("%s: signal %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// hasEnded returns a channel that is closed when the process has ended.
func (n *node) hasEnded() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// end kills the process and waits for its end.
func (n *node) end() {
	n.mu.Lock()
	cmd, ended := n.cmd, n.ended
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// isReady asks the readiness address once.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func awaitReady(nodes ...*node) error {
	for _, n := range nodes {
		for until := time.Now().Add(15 * time.Second); !n.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("%s did not get ready", n.name)
			}
		}
	}
	return nil
}

// Limits of what clients send, as in a configuration of the small sites.
const idleTimeout = 15 * time.Second

// route is a route of a configuration.
type route struct {
	name, prefix string
	once         bool
	timeout      time.Duration
	goal         time.Duration
	attempts     int
	service      string
	shards       []string
	topK         int
	least        float64
}

// configure writes a version of the configuration, as the operator does.
func (r *rig) configure(version uint64, maxConns int, routes ...route) {
	var list []map[string]any
	services := map[string]bool{}
	for _, o := range routes {
		kind := "idempotent"
		if o.once {
			kind = "non_idempotent"
		}
		m := map[string]any{
			"name": o.name, "host": hosted.Host, "path-prefix": o.prefix, "type": kind, "timeout-ms": o.timeout.Milliseconds(),
			"latency-goal-ms": o.goal.Milliseconds(), "priority": 1, "attempts": o.attempts,
		}
		if o.service != "" {
			m["service"] = o.service
			services[o.service] = true
		} else {
			m["shards"], m["top-k"], m["min-success-share"] = o.shards, o.topK, o.least
			for _, s := range o.shards {
				services[s] = true
			}
		}
		list = append(list, m)
	}
	var described []map[string]any
	for name := range services {
		described = append(described, map[string]any{"name": name, "health-path": "/health", "max-conns": maxConns, "protocol": "h1", "tls": false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": described,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": int(idleTimeout.Milliseconds())},
	})
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	r.storeServer.Set("config", "main", data)
	r.log("operator: configuration %d is in the store", version)
}
