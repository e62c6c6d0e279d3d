package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// Times of a site, as its settings state them.
const (
	graceTime = 4 * time.Second
	heartbeat = time.Second
	// ratio is the number of repeats per request that a service may get in any window, beside
	// the slack of the profile.
	ratio        = 0.2
	repeatWindow = 10 * time.Second
)

// instance is one real process of the product.
type instance struct {
	name     string
	settings string // path
	content  hosted.Settings
	log      string // path
	address  string // where it listens for clients
	clients  *proxy // before it
	store    *proxy // between it and the store

	mu sync.Mutex
	// cmd is the running process, nil between an end and the next start.
	cmd *exec.Cmd
	// incarnation counts starts; startedAt is when the last one was.
	incarnation int
	startedAt   time.Time
	// disturbed is until when a fault other than a planned stop may show.
	disturbed time.Time
	// disturbances are the times in which something other than clients and leaves was wrong there,
	// without those after which it may still show.
	disturbances []span
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
	seed      uint64
	profile   *loadProfile
	report    func(what, request, leaf string) // notes a broken promise
	binary    string
	server    *platform.Server
	address   string // of the store
	store     *storeProxy
	end       context.CancelFunc
	ledger    *ledger
	instances []*instance
	seeds     []string // addresses of the first instances, for the others

	mu      sync.Mutex
	leaves  map[string]*fakeLeaf
	started int // leaves so far
	shards  []string
	sets    [][]string // all sets of shards that a configuration named
	setOf   [][]string // the set of each version, the first one first
	version uint64
	// changed holds when each version was written, the first one first.
	changed []time.Time
	// storeDisturbed is until when a fault of the store may show.
	storeDisturbed time.Time
	// storeDisturbances are the faults of the store themselves.
	storeDisturbances []span
	// departures holds when leaves left, by ID.
	departures map[string]departure
	// silent says that leaves write no heartbeats.
	silent bool
}

// due is the newest version that has been written for the bound at a moment, and when it was
// written; 0 for none. The caller holds the lock.
func (s *site) due(at time.Time) (version uint64, written time.Time) {
	for i, w := range s.changed {
		if at.After(w.Add(s.profile.bound + rollbackSlack)) {
			version, written = uint64(i+1), w
		}
	}
	return version, written
}

// settleTime is for how long after the end of a fault its effects are allowed.
const settleTime = 8 * time.Second

// newSite starts the store and the first leaves; no instance runs yet.
func newSite(o Options, report func(what, request, leaf string)) (*site, error) {
	profile, err := o.profile()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{
		dir: o.Dir, seed: o.Seed, profile: profile, report: report, binary: o.Binary, server: platform.New(platform.Settings{}), address: l.Addr().String(), end: cancel,
		ledger: &ledger{}, leaves: make(map[string]*fakeLeaf), departures: make(map[string]departure),
	}
	go func() { _ = s.server.Serve(ctx, l) }()
	if s.store, err = newStoreProxy(s.address); err != nil {
		return nil, err
	}
	for range profile.leavesEach {
		if err := s.addLeaf("alone", 10*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err := s.newSet(profile.shards); err != nil {
		return nil, err
	}
	if err := s.configure(); err != nil {
		return nil, err
	}
	for i := range o.Instances {
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
	s.store.close()
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leaves {
		l.close()
	}
}

// addLeaf starts a leaf of a service and registers it.
func (s *site) addLeaf(service string, work time.Duration) error {
	_, err := s.startLeaf(service, work)
	return err
}

// startLeaf starts a leaf of a service, registers it and returns it.
func (s *site) startLeaf(service string, work time.Duration) (*fakeLeaf, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("%s-%d", service, s.started)
	l, err := newLeaf(id, service, zoneName(s.started%leafZones), s.leafIP(s.started), work, s.profile.leaf, s.ledger)
	if err != nil {
		return nil, err
	}
	s.started++
	l.started = time.Now()
	l.crash, l.report = s.replaceCrashed, s.report
	s.leaves[id] = l
	s.register(l)
	return l, nil
}

// register writes a leaf's entry. The lock is held.
func (s *site) register(l *fakeLeaf) { hosted.Register(s.server, l.entry()) }

// entry returns what the leaf says of itself. The site's lock is held.
func (f *fakeLeaf) entry() hosted.Leaf {
	return hosted.Leaf{
		ID: f.id, Service: f.service, Zone: f.zone, Address: f.proxy.address(),
		Draining: !f.draining.IsZero(), WarmUp: f.warmUp(), Sequence: time.Now().UnixNano(),
	}
}

// entryOf returns what a leaf says of itself now.
func (s *site) entryOf(l *fakeLeaf) hosted.Leaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.entry()
}

// warmUpTime is for how long a leaf's entry tells of a slow start.
const warmUpTime = 3 * time.Second

// warmUp returns the rest of the leaf's slow start.
func (f *fakeLeaf) warmUp() time.Duration { return max(0, warmUpTime-time.Since(f.started)) }

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
			switch {
			case !l.draining.IsZero() || s.silent:
			case time.Since(l.started) < warmUpTime+heartbeat:
				s.register(l) // the rest of the slow start is a change
			default:
				hosted.Beat(s.server, l.entry())
			}
		}
		s.mu.Unlock()
	}
}

// setBeating lets the leaves write heartbeats, or stops them.
func (s *site) setBeating(beating bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = !beating
}

// runningLeaves returns the leaves that have not ended, in order.
func (s *site) runningLeaves() []*fakeLeaf {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*fakeLeaf, 0, len(s.leaves))
	for _, id := range slices.Sorted(maps.Keys(s.leaves)) {
		out = append(out, s.leaves[id])
	}
	return out
}

// newSet starts another set of shards with their leaves.
func (s *site) newSet(n int) error {
	var set []string
	for i := range n {
		name := fmt.Sprintf("s%dx%d", len(s.sets), i)
		set = append(set, name)
		for range s.profile.leavesEach {
			if err := s.addLeaf(name, s.profile.leaf.work); err != nil {
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
	if err := s.addLeaf(probeService(next), time.Millisecond); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = next
	s.changed = append(s.changed, time.Now())
	s.setOf = append(s.setOf, s.shards)
	route := hosted.Route{Timeout: maxClientTime, Objective: objective, Attempts: mostAttempts}
	one, once, probe, search := route, route, route, route
	one.Name, one.Prefix, one.Service = "one", "/one/", "alone"
	once.Name, once.Prefix, once.Service, once.Once = "once", "/once/", "alone", true
	probe.Name, probe.Prefix, probe.Service = "probe", "/probe/", probeService(next)
	search.Timeout, search.Objective = s.profile.clientTime, s.profile.objective
	search.Name, search.Prefix, search.Shards, search.TopK, search.LeastShare = "search", "/search/", s.shards, topK, leastShare
	return hosted.Configure(s.server, next, one, once, probe, search)
}

// What routes say.
const (
	objective  = 300 * time.Millisecond
	topK       = 5
	leastShare = 0.5
)

// ip is an address of the instance's own: on that of all others its ports could be
// taken, between an end and the next start, by connections that go out.
func (s *site) ip(i int) string { return fmt.Sprintf("127.3.%d.%d", s.seed%250, 1+i) }

// loopback is the IP of what need not be told apart by its address.
const loopback = "127.0.0.1"

// leafIP is an address of a leaf's own, so that no leaf gets the address of one that has ended.
func (s *site) leafIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+s.seed%128, i/250, 1+i%250)
}

// leafZones is the number of availability zones with leaves: one of a shard's two is in each.
const leafZones = 2

// zoneName is the name of an availability zone.
func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// mostSeeds is the number of instances that the settings name to the others.
const mostSeeds = 3

// newInstance lays out an instance's files and proxies.
func (s *site) newInstance(i int) (*instance, error) {
	addresses, err := hosted.FreeAddresses(s.ip(i), 3)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%d", i)
	n := &instance{name: name, settings: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log"), address: addresses[0]}
	if n.clients, err = newProxy(loopback, n.address); err != nil {
		return nil, err
	}
	n.store = s.store.linkOf(name)
	if len(s.seeds) < mostSeeds {
		s.seeds = append(s.seeds, addresses[2])
	}
	n.content = hosted.Settings{
		Name: name, Zone: zoneName(i % s.profile.zones), Clients: addresses[0], Ready: addresses[1], Peers: addresses[2], Store: s.store.address(),
		Seeds: slices.Clone(s.seeds),
		Grace: graceTime, Bound: s.profile.bound, Ratio: ratio, Slack: s.profile.slack, Window: repeatWindow, Heartbeat: heartbeat,
		Descriptors: s.profile.descriptors,
	}
	return n, nil
}

// writeSettings writes the settings file of the instance's next start.
func (n *instance) writeSettings() error {
	n.mu.Lock()
	content := n.content
	content.First = n.incarnation == 0
	n.mu.Unlock()
	file, err := content.File()
	if err != nil {
		return err
	}
	data, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, data, 0o600)
}

// probeService is the name of the service of a version's probe route.
func probeService(version uint64) string { return fmt.Sprintf("p%d", version) }

// startInstance starts an instance's process.
func (s *site) startInstance(n *instance) error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(s.binary, "hosted")
	cmd.Env = append(os.Environ(), hosted.SettingsVariable+"="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.stopping, n.seen, n.startedAt = cmd, time.Time{}, 0, time.Now()
	n.disturbances = append(n.disturbances, span{n.startedAt, n.startedAt})
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
	n.disturbances = append(n.disturbances, span{time.Now(), until})
	if at := until.Add(settleTime); at.After(n.disturbed) {
		n.disturbed = at
	}
}
