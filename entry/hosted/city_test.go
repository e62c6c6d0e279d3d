package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// sharedStore is the platform's store as a fleet sees it. It refuses some instances.
type sharedStore struct {
	mu      sync.Mutex
	version uint64
	// config is the configuration of a version; nil: one that says nothing.
	config    func(version uint64) *catalog.Config
	revision  uint64 // grows all the time, as heartbeats of leaves are written
	announced map[string]fleet.Instance
	refused   func(instance string) bool
	silent    func(instance string) bool // calls hang until their time is over
	reads     int                        // of configuration and leaves
	lists     int                        // of announcements
	probes    int                        // at a tenth of the price of a read
	writes    int
}

// count is the number of calls by kind since the last count, with probes by their price.
func (s *sharedStore) count() (reads, lists, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, lists, writes = s.reads+s.probes/10, s.lists, s.writes
	s.reads, s.lists, s.writes, s.probes = 0, 0, 0, 0
	return reads, lists, writes
}

// set changes the store.
func (s *sharedStore) set(change func(s *sharedStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// storeDelay is the time of a call to the store, and peerDelay that to another instance.
const (
	storeDelay = 4 * time.Millisecond
	peerDelay  = time.Millisecond
)

// storeOf is the store as one instance reaches it. It implements Source.
type storeOf struct {
	*sharedStore
	instance string
}

// call plays one call and counts it.
func (s storeOf) call(ctx context.Context, counter *int, do func()) error {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if s.silent != nil && s.silent(s.instance) {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return ctx.Err()
	}
	if s.refused != nil && s.refused(s.instance) {
		return io.ErrUnexpectedEOF
	}
	do()
	return nil
}

func (s storeOf) Config(ctx context.Context) (out *catalog.Config, err error) {
	err = s.call(ctx, &s.reads, func() {
		out = &catalog.Config{Version: s.version}
		if s.config != nil {
			out = s.config(s.version)
		}
	})
	return out, err
}

func (s storeOf) Leaves(ctx context.Context) (out catalog.Listing, err error) {
	err = s.call(ctx, &s.reads, func() {
		s.revision++
		out = catalog.Listing{Revision: s.revision}
	})
	return out, err
}

func (s storeOf) Instances(ctx context.Context) (out []fleet.Instance, bad []catalog.BadEntry, err error) {
	err = s.call(ctx, &s.lists, func() {
		for _, i := range s.announced {
			out = append(out, i)
		}
	})
	return out, nil, err
}

func (s storeOf) Probe(ctx context.Context) error {
	return s.call(ctx, &s.probes, func() {})
}

func (s storeOf) Announce(ctx context.Context, i fleet.Instance, _ bool) (existed bool, err error) {
	err = s.call(ctx, &s.writes, func() {
		_, existed = s.announced[i.Name]
		s.announced[i.Name] = i
	})
	return existed, err
}

// city is a fleet of instances in virtual time.
type city struct {
	t     *testing.T
	store *sharedStore
	size  int
	zones int
	// far is the time of a call to another zone; 0: peerDelay.
	far time.Duration
	// cut says which calls to other instances get no answer; nil: none.
	cut func(from, to string) bool
	// slow is the time that every second instance takes longer to answer others.
	slow time.Duration
	// width is that of the link of each call, in bytes a second; 0: as good as endless.
	width int
	// sent is the number of bytes of lists and configurations that were sent.
	sent    atomic.Int64
	mu      sync.Mutex
	running map[string]*resident // by address
}

// resident is one running instance of a city.
type resident struct {
	node *Node
	slow bool
	end  func()
}

// zones is the usual number of zones of a city, and seedCount that of its seeds.
const (
	zones     = 5
	seedCount = 3
)

// newCity makes a fleet of which nothing runs yet.
func newCity(t *testing.T, size int) *city {
	return &city{t: t, size: size, zones: zones, store: &sharedStore{version: 1, announced: make(map[string]fleet.Instance)}, running: make(map[string]*resident)}
}

// address is where instance i is reached.
func address(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, 1+i%200) }

// name is that of instance i.
func name(i int) string { return fmt.Sprintf("i-%03d", i) }

// start runs instance i.
func (c *city) start(i int, first bool) {
	seeds := make([]string, 0, seedCount)
	for s := range seedCount {
		seeds = append(seeds, address(s))
	}
	n, err := New(Config{
		Instance: name(i), Zone: fmt.Sprintf("z%d", i%c.zones), Peer: address(i), Seeds: seeds, FirstStart: first, Power: 1,
		Source: storeOf{c.store, name(i)}, PeerKey: []byte("k"), NewLeaves: func(func(string)) Leaves { return noLeaves{} },
		Tunables: Tunables{Bound: bound, Grace: time.Second, Catalog: catalog.Settings{ConfigFreshFor: bound, EntryTTL: bound, ReregisterWithin: time.Second, DroppedSetRetention: time.Second}},
		Log:      telemetry.Options{Level: "error", Format: "json"}, LogSink: io.Discard,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	n.control.peers = peersOf{c, name(i)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = n.control.run(ctx) })
	done.Go(func() { _ = n.fleet.announce(ctx) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[address(i)] = &resident{node: n, slow: i%2 == 0, end: func() {
		cancel()
		done.Wait()
		synctest.Wait()
		n.close()
	}}
}

// startAll runs all instances within 0.3 s.
func (c *city) startAll(first bool) {
	for i := range c.size {
		c.start(i, first)
		time.Sleep(300 * time.Millisecond / time.Duration(c.size))
	}
}

// stop ends the instance at an address.
func (c *city) stop(address string) {
	c.mu.Lock()
	r := c.running[address]
	delete(c.running, address)
	c.mu.Unlock()
	r.end()
}

// stopAll ends all instances at once.
func (c *city) stopAll() {
	c.mu.Lock()
	all := c.running
	c.running = make(map[string]*resident)
	c.mu.Unlock()
	for _, r := range all {
		r.end()
	}
}

// errRefused says that nothing listens at an address.
var errRefused = errors.New("connection refused")

// peersOf are the other instances as one reaches them.
type peersOf struct {
	*city
	instance string
}

// Sync implements syncPeers.
func (c peersOf) Sync(ctx context.Context, to peer.Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error) {
	c.mu.Lock()
	other, own := c.running[to.Address], c.byName(c.instance)
	cut, slow := c.cut, c.slow
	c.mu.Unlock()
	delay := peerDelay
	if other != nil && own != nil && other.node.config.Zone != own.node.config.Zone {
		delay = max(delay, c.far)
	}
	if other != nil && other.slow {
		delay += slow
	}
	time.Sleep(delay)
	if other == nil || ctx.Err() != nil {
		return nil, errRefused
	}
	if cut != nil && cut(c.instance, other.node.config.Instance) {
		select {
		case <-ctx.Done():
		case <-time.After(syncTimeout):
		}
		return nil, context.DeadlineExceeded
	}
	reply := other.node.Sync(c.instance, r)
	size := len(reply.Config) + len(reply.ConfigChange) + len(reply.Leaves) + len(reply.Instances)
	c.sent.Add(int64(size))
	if c.width > 0 {
		time.Sleep(time.Duration(size) * time.Second / time.Duration(c.width))
	}
	return reply, nil
}

// set changes how instances reach each other.
func (c *city) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// byName is a running instance, or nil. The lock is held.
func (c *city) byName(instance string) *resident {
	var i int
	if _, err := fmt.Sscanf(instance, "i-%d", &i); err != nil {
		return nil
	}
	return c.running[address(i)]
}

// behind counts the running instances that don't have a version in force.
func (c *city) behind(want uint64) int {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.size - len(c.running)
	for _, r := range c.running {
		if version(r.node) != want {
			n++
		}
	}
	return n
}

// settle starts the fleet for the first time and waits until all know each other.
func (c *city) settle() {
	c.startAll(true)
	time.Sleep(30 * time.Second)
}

// settled is a fleet that has settled.
func settled(t *testing.T, size int) *city {
	c := newCity(t, size)
	c.settle()
	return c
}

// roles are those of the running instances, by name.
func (c *city) roles() map[string]fleet.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]fleet.Role, len(c.running))
	for _, r := range c.running {
		_, out[r.node.config.Instance] = r.node.fleet.source(time.Now())
	}
	return out
}
