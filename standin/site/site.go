// Package site runs a whole installation as separate processes on the loopback
// address, for demonstrations, scenarios and measurements: the platform
// stand-in, the leaf stand-ins, and entries. It steers their faults and signals
// the entries. It is no part of the product: a process of the product starts no
// other.
package site

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
)

// PlatformToken is the bearer token of the site's platform.
const PlatformToken = "site-platform-token"

// peerKey is the secret that the site's entries share.
const peerKey = "site-peer-key-0123456789abcdef00"

// Binaries are the paths of the two programs.
type Binaries struct{ Fuchsiaroad, Fuchsiactl string }

// Options say what a site consists of.
type Options struct {
	// Dir holds settings and logs; it must exist.
	Dir      string
	Binaries Binaries
	// Document names the leaves with their addresses; ports must be free.
	Document *document.Document
	// Leaf is the template of every leaf's settings. What the document says of
	// a leaf goes before it.
	Leaf leaf.Settings
	// Entries is the number of entries, spread over Zones.
	Entries int
	Zones   []string
	// ExtraSettings is TOML that is added to every entry's settings; it may
	// hold tables other than instance, listen, platform and peer.
	ExtraSettings string
}

// Site is a running installation.
type Site struct {
	options  Options
	platform *process
	leaves   *process
	client   *client

	// PlatformURL and LeafControlURL are where the stand-ins are steered.
	PlatformURL    string
	LeafControlURL string

	starts  atomic.Int64 // numbers the entries
	mu      sync.Mutex
	entries []*Entry
	leaving map[string]bool // instances that the platform's list calls leaving
	tellMu  sync.Mutex      // lists reach the platform in the order they were made
}

// Start starts the stand-ins and the entries, and waits until the entries are
// ready if the document was put into the store. On an error all that was
// started is ended.
func Start(o Options) (*Site, error) {
	s := &Site{options: o, client: newClient(), leaving: make(map[string]bool)}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start() error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startLeaves(); err != nil {
		return err
	}
	if err := s.putDocument(s.options.Document); err != nil {
		return err
	}
	for i := range s.options.Entries {
		e, err := s.newEntry(i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	if err := s.tellInstances(); err != nil {
		return err
	}
	for _, e := range s.Entries() {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range s.Entries() {
		if err := e.WaitReady(readyTime); err != nil {
			return err
		}
	}
	return nil
}

// readyTime bounds the wait for an entry.
const readyTime = 30 * time.Second

// startPlatform starts the platform stand-in.
func (s *Site) startPlatform() error {
	read := readLines(func(key, value string) bool {
		s.PlatformURL = "http://" + value
		return key == "listening"
	})
	p, err := startProcess("platform", s.path("platform.log"), s.options.Binaries.Fuchsiactl,
		[]string{"standin", "platform", "--platform-token", PlatformToken}, read)
	s.platform = p
	return err
}

// startLeaves starts all leaves in one process.
func (s *Site) startLeaves() error {
	path := s.path("leaves.json")
	if err := writeJSON(path, s.members()); err != nil {
		return err
	}
	read := readLines(func(key, value string) bool {
		if key != "control" {
			return false
		}
		s.LeafControlURL = "http://" + value
		return true
	})
	p, err := startProcess("leaves", s.path("leaves.log"), s.options.Binaries.Fuchsiactl, []string{"standin", "leaf", "--fleet", path}, read)
	s.leaves = p
	return err
}

// member is one leaf of the fleet file.
type member struct {
	leaf.Settings
	Listen string `json:"listen"`
}

// members lists the document's leaves; one that serves several shards once.
func (s *Site) members() []member {
	var out []member
	index := make(map[string]int)
	for _, u := range s.options.Document.Upstreams {
		for _, sh := range u.Shards {
			for _, l := range sh.Leaves {
				i, ok := index[l.ID]
				if !ok {
					i = len(out)
					index[l.ID] = i
					out = append(out, member{Settings: s.leafSettings(&u, l, uint64(i)), Listen: l.Address})
				}
				out[i].Ranges = append(out[i].Ranges, sh.Range)
			}
		}
	}
	return out
}

// leafSettings fills the template from the document.
func (s *Site) leafSettings(u *document.Upstream, l document.Leaf, number uint64) leaf.Settings {
	set := s.options.Leaf
	set.ID, set.Zone, set.Upstream = l.ID, l.Zone, u.Name
	set.Slots = u.Slots
	set.ConnectionLimit = u.ConnectionLimit
	set.DialCostUS = u.DialCost.Microseconds()
	set.Seed += number
	set.Ranges = []keyrange.Range{}
	if len(set.Versions) == 0 {
		set.Versions = []uint64{1}
	}
	return set
}

// Entries lists the entries that were started and not removed.
func (s *Site) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Entry(nil), s.entries...)
}

// BalancerLag is how long the balancer goes on sending to an entry that is
// marked as leaving.
const BalancerLag = 300 * time.Millisecond

// Balanced lists the entries that the platform's balancer sends to: those that
// said that they are ready. A killed entry is among them until Forget, since the
// balancer learns of it late.
func (s *Site) Balanced() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*Entry
	for _, e := range s.entries {
		if !e.ready {
			continue
		}
		if e.leftAt.IsZero() || time.Since(e.leftAt) < BalancerLag {
			out = append(out, e)
		}
	}
	return out
}

// Entry returns an entry by its number, or nil.
func (s *Site) Entry(number int) *Entry {
	for _, e := range s.Entries() {
		if e.Number == number {
			return e
		}
	}
	return nil
}

// SetLeaving marks an instance, an entry or a leaf, as leaving in the platform's list.
func (s *Site) SetLeaving(id string, leaving bool) error {
	s.mu.Lock()
	s.leaving[id] = leaving
	s.mu.Unlock()
	return s.tellInstances()
}

// tellInstances gives the platform stand-in the list of instances.
func (s *Site) tellInstances() error {
	s.tellMu.Lock()
	defer s.tellMu.Unlock()
	var list platformapi.Instances
	s.mu.Lock()
	for _, e := range s.entries {
		list.Instances = append(list.Instances, platformapi.Instance{
			ID: e.ID, Role: platformapi.RoleEntry, Zone: e.Zone, Address: e.Address, PeerAddress: e.PeerAddress, State: s.state(e.ID),
		})
	}
	for _, m := range s.members() {
		list.Instances = append(list.Instances, platformapi.Instance{
			ID: m.ID, Role: platformapi.RoleLeaf, Zone: m.Zone, Address: m.Listen, State: s.state(m.ID),
		})
	}
	s.mu.Unlock()
	return s.client.put(s.PlatformURL+"/control/instances", list)
}

// state is the list's word on an instance. The lock is held.
func (s *Site) state(id string) platformapi.InstanceState {
	if s.leaving[id] {
		return platformapi.StateLeaving
	}
	return platformapi.StateLive
}

// Close ends every process of the site.
func (s *Site) Close() error {
	for _, e := range s.Entries() {
		if e.process != nil {
			e.process.kill()
		}
	}
	for _, p := range []*process{s.leaves, s.platform} {
		if p != nil {
			p.kill()
		}
	}
	return nil
}

// path is a file of the site's folder.
func (s *Site) path(name string) string { return filepath.Join(s.options.Dir, name) }

// freeAddress finds a free port of the loopback address for an entry.
func freeAddress() (string, error) {
	port, err := FreePorts(1)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.0.1:%d", port), nil
}

// Ports are given out upwards from a start that differs from process
// to process, below the range that the system gives out by itself.
const (
	firstPort = 20000
	lastPort  = 32000
)

var (
	portMu   sync.Mutex
	nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)
)

// FreePorts finds n consecutive free ports of the loopback address and returns
// the first. No two calls of a process get the same.
func FreePorts(n int) (int, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		if nextPort+n > lastPort {
			nextPort = firstPort
		}
		start := nextPort
		nextPort += n
		if portsFree(start, n) {
			return start, nil
		}
	}
	return 0, errors.New("no run of free ports was found")
}

// portsFree reports whether n ports from first on can be listened on.
func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
