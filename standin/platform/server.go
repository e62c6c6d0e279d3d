package platform

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/httpserve"
)

// Server is one platform stand-in. Its methods may be called at any time from
// any goroutine.
type Server struct {
	token   string
	handler http.Handler
	life    context.Context // ends with Serve
	end     context.CancelFunc

	mu        sync.Mutex
	store     *store
	era       uint64 // of store; each Restore begins another one
	frozen    *store // what stale clients see, or nil
	faults    Faults
	changed   chan struct{} // closed and replaced on each write and change of faults
	cuts      chan struct{} // closed and replaced to cut the waiting watches
	random    *rand.Rand
	reads     *rate.Limiter
	writes    *rate.Limiter
	instances []instanceList // oldest first
	shown     int            // index of the newest list that a client has seen
	calls     map[callKey]*CallCount
	waiting   int
	lost      uint64
}

// callKey groups calls for counting.
type callKey struct {
	client string
	kind   Kind
}

// instanceList is the list of instances from a time on.
type instanceList struct {
	from      time.Time
	instances []platformapi.Instance
}

// New returns a stand-in with an empty store.
func New(s Settings) *Server {
	if s.History <= 0 {
		s.History = DefaultHistory
	}
	life, end := context.WithCancel(context.Background())
	srv := &Server{
		token:     s.Token,
		life:      life,
		end:       end,
		store:     newStore(s.History),
		era:       1,
		changed:   make(chan struct{}),
		cuts:      make(chan struct{}),
		random:    rand.New(rand.NewPCG(s.Seed, s.Seed)),
		reads:     rate.NewLimiter(rate.Inf, 0),
		writes:    rate.NewLimiter(rate.Inf, 0),
		instances: []instanceList{{instances: slices.Clone(s.Instances)}},
		calls:     map[callKey]*CallCount{},
	}
	srv.handler = srv.routes()
	return srv
}

// ServeHTTP answers the object API and the control interface.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Serve answers on a listener until the context ends. Calls that wait then are
// broken off. It may be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, s.end)
	defer stop()
	if err := httpserve.Serve(ctx, listener, s); err != nil {
		return fmt.Errorf("platform stand-in: serve: %w", err)
	}
	return nil
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	faults.StaleClients = slices.Clone(faults.StaleClients)
	faults.CutClients = slices.Clone(faults.CutClients)
	return faults
}

// SetFaults replaces the faults. It fails on a value out of its bounds or a
// stale revision that is no longer kept.
func (s *Server) SetFaults(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.freeze(f); err != nil {
		return err
	}
	if f.ReadRate != s.faults.ReadRate {
		s.reads = newLimiter(f.ReadRate)
	}
	if f.WriteRate != s.faults.WriteRate {
		s.writes = newLimiter(f.WriteRate)
	}
	s.faults = f
	s.wake()
	return nil
}

// freeze takes or drops the frozen copy that stale clients see.
func (s *Server) freeze(f Faults) error {
	if !f.Stale {
		s.frozen = nil
		return nil
	}
	if s.frozen != nil && f.StaleRevision == s.faults.StaleRevision {
		return nil
	}
	revision := f.StaleRevision
	if revision == 0 {
		revision = s.store.revision
	}
	frozen, ok := s.store.asOf(revision)
	if !ok {
		return &FieldError{Field: "stale_revision", Reason: "is older than the events kept"}
	}
	s.frozen = frozen
	return nil
}

// newLimiter allows a rate with a burst of a tenth of a second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// wake lets waiting calls look at the state again. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// CutWatches breaks off all waiting watches without an answer.
func (s *Server) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cuts)
	s.cuts = make(chan struct{})
}

// Restore replaces the store by a copy of it as it was at an earlier revision, from which on
// revisions are given out again, and begins another era. Waiting watches are cut.
func (s *Server) Restore(revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored, ok := s.store.asOf(revision)
	if !ok {
		return &FieldError{Field: "revision", Reason: "is older than the events kept"}
	}
	s.store = restored
	s.era++
	close(s.cuts)
	s.cuts = make(chan struct{})
	s.wake()
	return nil
}

// Revision returns the store's revision.
func (s *Server) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.revision
}

// SetInstances replaces the list of instances. Clients see it once
// Faults.InstanceLagMS has passed.
func (s *Server) SetInstances(list []platformapi.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceList{from: time.Now(), instances: slices.Clone(list)})
}

// Instances returns the list of instances without lag.
func (s *Server) Instances() []platformapi.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.instances[len(s.instances)-1].instances)
}

// laggedInstances is the list as clients see it. A longer lag does not bring an
// older list back: what lags is late, and does not go back.
func (s *Server) laggedInstances() []platformapi.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	shown := time.Now().Add(-time.Duration(s.faults.InstanceLagMS) * time.Millisecond)
	for i, list := range slices.Backward(s.instances) {
		if i <= s.shown || !list.from.After(shown) {
			s.shown = i
			break
		}
	}
	return slices.Clone(s.instances[s.shown].instances)
}

// Counts returns the calls counted, ordered by client and kind.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Calls: []CallCount{}, Waiting: s.waiting, LostReplies: s.lost}
	for _, c := range s.calls {
		counts.Calls = append(counts.Calls, *c)
	}
	slices.SortFunc(counts.Calls, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Client, b.Client), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}

// ResetCounts sets all counts to zero.
func (s *Server) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.calls)
	s.lost = 0
}

// Object returns an object without the faults, for tests.
func (s *Server) Object(kind, name string) (platformapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.get(kind, name)
}

// routes lays out the paths.
func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	object := platformapi.PathObjects + "/:kind/:name"
	e.GET(object, s.call(KindGet, s.get))
	e.PUT(object, s.call(KindPut, s.put))
	e.DELETE(object, s.call(KindDelete, s.remove))
	e.GET(platformapi.PathObjects+"/:kind", s.call(KindList, s.list))
	e.GET(platformapi.PathWatch+"/:kind", s.call(KindWatch, s.watch))
	e.GET(platformapi.PathInstances, s.call(KindInstances, s.listInstances))
	s.hostedRoutes(e)
	s.controlRoutes(e)
	return e
}
