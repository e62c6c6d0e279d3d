// Command rig plays the scripted cases of the review. It starts the hosted program as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// leaves, the balancer and the clients, and checks one rule by what these have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// Bounds of the small sites' pages.
const (
	gracePeriod  = 6 * time.Second
	contactTime  = 4 * time.Second
	lossSlack    = 200 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	readyPeriod  = time.Second
	missesToDrop = 2
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// site is a store with instances; leaves register in it.
type site struct {
	dir       string
	record    *record
	store     *platform.Server
	storeAt   string
	end       context.CancelFunc
	instances []*instance
	leaves    []*leaf
	seen      *ledger

	mu     sync.Mutex
	closed bool // no process starts any more
}

// newSite starts the store.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{dir: dir, record: r, store: platform.New(platform.Settings{}), storeAt: l.Addr().String(), end: cancel, seen: newLedger(r)}
	go func() { _ = s.store.Serve(ctx, l) }()
	return s, nil
}

// close ends all that the site started.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, n := range s.instances {
		n.kill()
	}
	for _, l := range s.leaves {
		l.close()
	}
	s.end()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// instance is one process of the product.
type instance struct {
	site                  *site
	name, zone            string
	clients, ready, peers string
	share                 float64

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	started time.Time
	terms   []time.Time // when SIGTERM was sent
	misses  int         // failed readiness checks in a row
	inTurn  bool        // in rotation
	// peak is the most resident memory seen, and overMemory how often the platform ended the process
	// because of it.
	peak       int64
	overMemory int
}

// addInstance lays out an instance; start starts it.
func (s *site) addInstance(name, zone string, cpuShare float64) (*instance, error) {
	ip := fmt.Sprintf("127.81.%d.%d", os.Getpid()%250, 1+len(s.instances))
	addresses, err := hosted.FreeAddresses(ip, 3)
	if err != nil {
		return nil, err
	}
	n := &instance{site: s, name: name, zone: zone, clients: addresses[0], ready: addresses[1], peers: addresses[2], share: cpuShare}
	s.instances = append(s.instances, n)
	return n, nil
}

// settings returns the settings file of an instance, as on a machine of the pages.
func (n *instance) settings(first bool) ([]byte, error) {
	host, port, err := net.SplitHostPort(n.peers)
	if err != nil {
		return nil, err
	}
	var portNumber int
	if _, err := fmt.Sscan(port, &portNumber); err != nil {
		return nil, err
	}
	var seeds []string
	for _, other := range n.site.instances[:min(3, len(n.site.instances))] {
		seeds = append(seeds, other.peers)
	}
	return json.Marshal(map[string]any{
		"node-name": n.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
		"ip": host, "zone": n.zone, "region": "nabeul", "internal-ports": []int{portNumber, portNumber},
		"listen-addrs": map[string]string{"front": n.clients, "ready-addr": n.ready, "control": n.peers},
		"seeds":        seeds, "bootstrap": first, "heartbeat-ms": heartbeat.Milliseconds(), "discovery": "platform",
		"limits": map[string]any{"cpu-share": n.share, "cpu-cores": 1, "memory-mb": 284, "max-fds": 4100, "bandwidth-mbps": 1000.0, "disk-mb": 0},
		"parameters": map[string]any{
			"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-timeout-ms": 3000,
			"grace-period-s": 6, "loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-stretch-ms": 12000,
			"retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-slack": 56, "recovery-s": 12,
		},
		"platform": map[string]any{"address": n.site.storeAt, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576},
	})
}

// start starts the process by the command of the deploy file.
func (n *instance) start(first bool) error {
	data, err := n.settings(first)
	if err != nil {
		return err
	}
	path := filepath.Join(n.site.dir, n.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/fuchsiaroad", "hosted")
	cmd.Env = append(os.Environ(), hosted.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	n.site.mu.Lock()
	defer n.site.mu.Unlock()
	if n.site.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.site.record.add("instance %s starts, process %d", n.name, cmd.Process.Pid)
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.started = cmd, done, time.Now()
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.site.record.add("instance %s has ended: %v", n.name, err)
		close(done)
	}()
	return nil
}

// term sends SIGTERM, and SIGKILL after the grace period, and returns when the process has ended.
func (n *instance) term() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.terms = append(n.terms, time.Now())
	n.mu.Unlock()
	n.site.record.add("instance %s gets SIGTERM", n.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(gracePeriod):
		n.site.record.add("instance %s gets SIGKILL", n.name)
		_ = cmd.Process.Kill()
		<-done
	}
}

// kill ends the process at once, if one runs.
func (n *instance) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// termBefore returns the last SIGTERM before a moment whose planned work lasts until then.
func (n *instance) termBefore(at time.Time) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := len(n.terms) - 1; i >= 0; i-- {
		if t := n.terms[i]; !t.After(at) && at.Sub(t) <= gracePeriod+time.Second {
			return t, true
		}
	}
	return time.Time{}, false
}

// checkReady asks GET /ready once a second, as the platform's balancer does: two misses in a
// row take an instance out of rotation, one 200 brings it back.
func (n *instance) checkReady(ctx context.Context) {
	client := http.Client{Timeout: readyPeriod}
	tick := time.NewTicker(readyPeriod)
	defer tick.Stop()
	for ctx.Err() == nil {
		resp, err := client.Get("http://" + n.ready + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		n.mu.Lock()
		if ok {
			n.misses = 0
		} else {
			n.misses++
		}
		was := n.inTurn
		n.inTurn = ok || n.inTurn && n.misses < missesToDrop
		is := n.inTurn
		n.mu.Unlock()
		if was != is {
			n.site.record.add("balancer: %s in rotation: %v", n.name, is)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// pick returns the instance for a new connection of a client of the zone: one in rotation, any of the
// zone's if fewer than half are in rotation, or one in rotation of another zone if none is.
func (s *site) pick(zone string, hash int) *instance {
	var all, in, elsewhere []*instance
	for _, n := range s.instances {
		n.mu.Lock()
		inTurn := n.inTurn
		n.mu.Unlock()
		switch {
		case n.zone != zone && inTurn:
			elsewhere = append(elsewhere, n)
		case n.zone == zone:
			all = append(all, n)
			if inTurn {
				in = append(in, n)
			}
		}
	}
	switch {
	case len(in) == 0 && len(elsewhere) > 0:
		in = elsewhere
	case 2*len(in) < len(all):
		in = all
	}
	return in[hash%len(in)]
}

// awaitReady waits until all instances are in rotation.
func (s *site) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.instances {
			n.mu.Lock()
			if n.inTurn {
				ready++
			}
			n.mu.Unlock()
		}
		if ready == len(s.instances) {
			return nil
		}
	}
	return fmt.Errorf("not all instances were ready within %v", limit)
}

// beat writes the leaves' heartbeats until the context ends.
func (s *site) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for sequence := int64(1); ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, l := range s.leaves {
			hosted.Beat(s.store, l.entry(sequence))
		}
	}
}
