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
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// sharedStore is a fake of the platform's store for a fleet. It can refuse or not answer some
// instances.
type sharedStore struct {
	mu      sync.Mutex
	version uint64
	// config returns the configuration of a version; nil: all configurations are empty.
	config   func(version uint64) *catalog.Config
	leaves   func() []catalog.Leaf // nil: there are none
	era      uint64
	revision uint64 // grows all the time, as heartbeats of leaves are written
	// heartbeat is the time between two writes of each leaf; 0: each read finds one write.
	heartbeat time.Duration
	// lastBeat is until when heartbeats have been written.
	lastBeat      time.Time
	announcements map[string]fleet.Instance
	quarantine    map[string]QuarantineRecord // by fingerprint
	refuses       func(instance string) bool
	isSilent      func(instance string) bool // calls hang until their context ends
	// replyDelay returns how late the answer to a call is sent; nil: at once.
	replyDelay func() time.Duration
	reads      int // of configuration and leaves
	lists      int // reads of announcements
	probes     int // each costs a tenth of a read
	writes     int
	// quarantineReads and quarantineWrites count the calls for records of requests that crash leaves.
	quarantineReads, quarantineWrites int
}

// takeCounts returns the number of calls of each kind since the last call of takeCounts; ten probes
// count as one read.
func (s *sharedStore) takeCounts() (reads, lists, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, lists, writes = s.reads+s.probes/10, s.lists, s.writes
	s.reads, s.lists, s.writes, s.probes = 0, 0, 0, 0
	return reads, lists, writes
}

// update changes the store.
func (s *sharedStore) update(change func(s *sharedStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// storeDelay is the time that a call to the store takes, and peerDelay that of one to a peer.
const (
	storeDelay = 4 * time.Millisecond
	peerDelay  = time.Millisecond
)

// storeClient is one instance's access to the shared store. It implements Source.
type storeClient struct {
	*sharedStore
	instance string
}

// call simulates one call and counts it. The answer shows the store as it was when the call came.
func (s storeClient) call(ctx context.Context, counter *int, answer func()) error {
	time.Sleep(storeDelay)
	delay, err := s.evaluate(ctx, counter, answer)
	if err != nil || delay == 0 {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

// evaluate counts a call and evaluates its answer, and returns how late the answer is sent.
func (s storeClient) evaluate(ctx context.Context, counter *int, answer func()) (delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if s.isSilent != nil && s.isSilent(s.instance) {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return 0, ctx.Err()
	}
	if s.refuses != nil && s.refuses(s.instance) {
		return 0, io.ErrUnexpectedEOF
	}
	answer()
	if s.replyDelay != nil {
		delay = s.replyDelay()
	}
	return delay, nil
}

func (s storeClient) Config(ctx context.Context) (out *catalog.Config, err error) {
	err = s.call(ctx, &s.reads, func() {
		out = &catalog.Config{Version: s.version}
		if s.config != nil {
			out = s.config(s.version)
		}
	})
	return out, err
}

func (s storeClient) Leaves(ctx context.Context) (out catalog.Listing, err error) {
	err = s.call(ctx, &s.reads, func() {
		if s.leaves != nil {
			out.Leaves = s.leaves()
		}
		s.writeHeartbeats(len(out.Leaves))
		out.Era, out.Revision = s.era, s.revision
	})
	return out, err
}

// writeHeartbeats advances the revision by the heartbeats since the last call.
func (s *sharedStore) writeHeartbeats(leaves int) {
	if s.heartbeat == 0 {
		s.revision++
		return
	}
	now := time.Now()
	if s.lastBeat.IsZero() {
		s.lastBeat = now
	}
	n := uint64(now.Sub(s.lastBeat) * time.Duration(leaves) / s.heartbeat)
	s.revision += n
	if n > 0 {
		s.lastBeat = now
	}
}

func (s storeClient) Instances(ctx context.Context, _ bool) (out []fleet.Instance, bad []catalog.BadEntry, err error) {
	err = s.call(ctx, &s.lists, func() {
		for _, i := range s.announcements {
			out = append(out, i)
		}
	})
	return out, nil, err
}

func (s storeClient) Probe(ctx context.Context) error {
	return s.call(ctx, &s.probes, func() {})
}

func (s storeClient) Announce(ctx context.Context, i fleet.Instance, _ bool) (existed bool, err error) {
	err = s.call(ctx, &s.writes, func() {
		_, existed = s.announcements[i.Name]
		s.announcements[i.Name] = i
	})
	return existed, err
}

func (s storeClient) QuarantineRecords(ctx context.Context) (out []QuarantineRecord, err error) {
	err = s.call(ctx, &s.quarantineReads, func() {
		for _, r := range s.quarantine {
			out = append(out, r)
		}
	})
	return out, err
}

func (s storeClient) WriteQuarantineRecord(ctx context.Context, r QuarantineRecord) (revision uint64, err error) {
	conflict := false
	err = s.call(ctx, &s.quarantineWrites, func() {
		if conflict = s.quarantine[r.Fingerprint].Revision != r.Revision; conflict {
			r = s.quarantine[r.Fingerprint]
			return
		}
		s.revision++
		r.Revision = s.revision
		s.quarantine[r.Fingerprint] = r
	})
	if err == nil && conflict {
		err = &QuarantineConflictError{Stored: r}
	}
	return r.Revision, err
}

func (s storeClient) DeleteQuarantineRecord(ctx context.Context, fingerprint string, revision uint64) error {
	return s.call(ctx, &s.quarantineWrites, func() {
		if s.quarantine[fingerprint].Revision == revision {
			delete(s.quarantine, fingerprint)
		}
	})
}

// testFleet is a fleet of instances that run in virtual time.
type testFleet struct {
	t     *testing.T
	store *sharedStore
	size  int
	zones int
	// tunables are those of all instances.
	tunables Tunables
	// crossZoneDelay is the time that a call to another zone takes; 0: peerDelay.
	crossZoneDelay time.Duration
	// newLeaves makes an instance's client of the leaves; nil: it reaches none.
	newLeaves func() Leaves
	// dropsReplies reports whether a call from one instance to another gets no answer; nil: all do.
	dropsReplies func(from, to string) bool
	// slowReplyDelay is added to the time that every second instance takes to answer others.
	slowReplyDelay time.Duration
	// bandwidth is that of the link of each call, in bytes a second; 0: unlimited.
	bandwidth int
	// sentBytes is the number of bytes of lists and configurations sent between instances.
	sentBytes atomic.Int64
	mu        sync.Mutex
	running   map[string]*testInstance // by address
}

// testInstance is one running instance of a test fleet.
type testInstance struct {
	node        *Node
	slowReplies bool
	// stopLoops ends the loops of the instance, stop the instance itself.
	stopLoops, stop func()
}

// defaultZones is the number of zones of a test fleet unless a test sets it, and seedCount that of
// its seeds.
const (
	defaultZones = 5
	seedCount    = 3
)

// testTunables are the tunables of a test fleet unless a test sets them.
var testTunables = Tunables{FreshnessBound: testBound, GracePeriod: time.Second, Catalog: catalog.Settings{
	ConfigFreshFor: testBound, EntryTTL: testBound, ReregisterWithin: time.Second, DroppedSetRetention: time.Second,
	RepeatLimit: document.RepeatLimit{Ratio: 0.2, Slack: 56, Window: testRepeatWindow},
}}

// newTestFleet makes a fleet of which no instance runs yet.
func newTestFleet(t *testing.T, size int) *testFleet {
	return &testFleet{t: t, size: size, zones: defaultZones, tunables: testTunables, store: &sharedStore{version: 1, announcements: make(map[string]fleet.Instance), quarantine: make(map[string]QuarantineRecord)}, running: make(map[string]*testInstance)}
}

// testRepeatWindow is the window of the limit on repeats.
const testRepeatWindow = 10 * time.Second

// peerAddress is the address at which peers reach instance i.
func peerAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:1", i/200, 1+i%200) }

// instanceName is the name of instance i.
func instanceName(i int) string { return fmt.Sprintf("i-%03d", i) }

// start runs instance i.
func (f *testFleet) start(i int, bootstrap bool) {
	seeds := make([]string, 0, seedCount)
	for s := range seedCount {
		seeds = append(seeds, peerAddress(s))
	}
	newLeaves := f.newLeaves
	if newLeaves == nil {
		newLeaves = func() Leaves { return noLeaves{} }
	}
	n, err := New(Config{
		Instance: instanceName(i), Zone: fmt.Sprintf("z%d", i%f.zones), PeerAddress: peerAddress(i), Seeds: seeds, Bootstrap: bootstrap, CPUs: 1,
		Source: storeClient{f.store, instanceName(i)}, PeerKey: []byte("k"), NewLeaves: func(func(string)) Leaves { return newLeaves() },
		Tunables: f.tunables,
		Log:      telemetry.Options{Level: "error", Format: "json"}, LogSink: io.Discard,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	n.control.peers = peerCalls{f, instanceName(i)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = n.control.run(ctx) })
	done.Go(func() { _ = n.membership.keepAnnounced(ctx) })
	done.Go(func() { _ = n.probeStore.run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[peerAddress(i)] = &testInstance{node: n, slowReplies: i%2 == 0, stopLoops: func() {
		cancel()
		done.Wait()
	}, stop: func() {
		cancel()
		done.Wait()
		synctest.Wait()
		n.close()
	}}
}

// startAll starts all instances within 0.3 s.
func (f *testFleet) startAll(bootstrap bool) {
	for i := range f.size {
		f.start(i, bootstrap)
		time.Sleep(300 * time.Millisecond / time.Duration(f.size))
	}
}

// stop ends the instance at an address.
func (f *testFleet) stop(address string) {
	f.mu.Lock()
	r := f.running[address]
	delete(f.running, address)
	f.mu.Unlock()
	r.stop()
}

// stopAll ends all instances at once.
func (f *testFleet) stopAll() {
	f.mu.Lock()
	all := f.running
	f.running = make(map[string]*testInstance)
	f.mu.Unlock()
	for _, r := range all {
		r.stop()
	}
}

// errRefused says that no instance listens at an address.
var errRefused = errors.New("connection refused")

// peerCalls is one instance's access to its peers.
type peerCalls struct {
	*testFleet
	instance string
}

// Sync implements syncPeers.
func (p peerCalls) Sync(ctx context.Context, to peer.Target, r peerapi.SyncRequest) (*peerapi.SyncReply, error) {
	p.mu.Lock()
	other, own := p.running[to.Address], p.findRunning(p.instance)
	dropsReplies, slowReplyDelay := p.dropsReplies, p.slowReplyDelay
	p.mu.Unlock()
	delay := peerDelay
	if other != nil && own != nil && other.node.config.Zone != own.node.config.Zone {
		delay = max(delay, p.crossZoneDelay)
	}
	if other != nil && other.slowReplies {
		delay += slowReplyDelay
	}
	time.Sleep(delay)
	if other == nil || ctx.Err() != nil {
		return nil, errRefused
	}
	if dropsReplies != nil && dropsReplies(p.instance, other.node.config.Instance) {
		select {
		case <-ctx.Done():
		case <-time.After(peerSilenceTimeout):
		}
		return nil, context.DeadlineExceeded
	}
	reply := other.node.Sync(p.instance, r)
	size := len(reply.Config) + len(reply.ConfigChange) + len(reply.Leaves) + len(reply.Instances)
	p.sentBytes.Add(int64(size))
	if p.bandwidth > 0 {
		time.Sleep(time.Duration(size) * time.Second / time.Duration(p.bandwidth))
	}
	return reply, nil
}

// update changes how instances reach each other.
func (f *testFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// findRunning returns a running instance by its name, or nil. The caller holds the lock.
func (f *testFleet) findRunning(instance string) *testInstance {
	var i int
	if _, err := fmt.Sscanf(instance, "i-%d", &i); err != nil {
		return nil
	}
	return f.running[peerAddress(i)]
}

// countNotInForce counts the instances that don't have a version in force, including those that
// don't run.
func (f *testFleet) countNotInForce(want uint64) int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.size - len(f.running)
	for _, r := range f.running {
		if configVersion(r.node) != want {
			n++
		}
	}
	return n
}

// settle bootstraps the fleet and waits until all instances know each other.
func (f *testFleet) settle() {
	f.startAll(true)
	time.Sleep(30 * time.Second)
}

// newSettledFleet makes a fleet and lets it settle.
func newSettledFleet(t *testing.T, size int) *testFleet {
	f := newTestFleet(t, size)
	f.settle()
	return f
}

// roles returns the roles of the running instances, by name.
func (f *testFleet) roles() map[string]fleet.Role {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]fleet.Role, len(f.running))
	for _, r := range f.running {
		_, out[r.node.config.Instance] = r.node.membership.syncSource(time.Now())
	}
	return out
}
