package leaf

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/httpserve"
)

// Server is one leaf stand-in. Its methods may be called at any time from any
// goroutine.
type Server struct {
	id      string
	handler http.Handler
	accept  *listener

	mu       sync.Mutex
	settings Settings
	faults   Faults
	changed  chan struct{} // closed and replaced when settings or faults change
	drainAt  time.Time     // when Faults.Draining was set
	life     context.Context
	end      context.CancelFunc // ends this life: crash, or down
	born     time.Time
	upFrom   time.Time // a crashed leaf is down until then
	slots    slots
	ledger   *ledger
	random   *rand.Rand
	previous *reply        // the last reply sent, for Replies.Repeated
	crossing *crossing     // a reply that waits to be swapped
	hints    hintsSnapshot // what the health and load endpoints last said
}

// New returns a leaf with the given settings and no faults.
func New(s Settings) (*Server, error) {
	if s.ID == "" {
		return nil, &FieldError{Field: "id", Reason: "is empty"}
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	life, end := context.WithCancel(context.Background())
	srv := &Server{
		id:       s.ID,
		settings: s,
		changed:  make(chan struct{}),
		life:     life,
		end:      end,
		born:     time.Now(),
		ledger:   newLedger(s.RecordLimit),
		random:   rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
	}
	srv.accept = &listener{gate: srv.gate, open: map[*conn]struct{}{}}
	srv.handler = srv.routes()
	return srv, nil
}

// ID returns the leaf's id.
func (s *Server) ID() string { return s.id }

// ServeHTTP answers the leaf protocol and the control interface, without the
// limits on connections.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Serve answers on a listener until the context ends. It may be called once.
func (s *Server) Serve(ctx context.Context, inner net.Listener) error {
	s.accept.use(inner)
	stop := context.AfterFunc(ctx, s.stop)
	defer stop()
	if err := httpserve.Serve(ctx, s.accept, s); err != nil {
		return fmt.Errorf("leaf stand-in %s: serve: %w", s.id, err)
	}
	return nil
}

// stop ends all work, also what ignores cancellation.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
}

// Settings returns the settings in force.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	settings := s.settings
	settings.Ranges = slices.Clone(settings.Ranges)
	settings.Versions = slices.Clone(settings.Versions)
	return settings
}

// SetSettings replaces the settings; ID, Seed and RecordLimit stay as they are.
func (s *Server) SetSettings(next Settings) error {
	next.ID = s.id
	if err := next.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next.Seed = s.settings.Seed
	next.RecordLimit = s.settings.RecordLimit
	next.Ranges = slices.Clone(next.Ranges)
	next.Versions = slices.Clone(next.Versions)
	s.settings = next
	s.slots.fill(next.Slots)
	s.wake()
	return nil
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.clone()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(next Faults) error {
	if err := next.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	if next.Draining && !s.faults.Draining {
		s.drainAt = time.Now()
	}
	goesDown := next.Down && !s.faults.Down
	comesUp := !next.Down && s.faults.Down
	s.faults = next.clone()
	if goesDown || comesUp {
		s.rebirth(time.Now())
	}
	s.wake()
	s.mu.Unlock()
	if goesDown {
		s.accept.shutPort()
		s.accept.closeOpen()
	}
	return nil
}

// wake lets waiting requests look at the state again. The lock is held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rebirth ends all work under way and starts cold at a time. The lock is held.
func (s *Server) rebirth(from time.Time) {
	s.end()
	s.life, s.end = context.WithCancel(context.Background())
	s.upFrom = from
	s.born = from
	s.previous = nil
}

// Crash breaks all connections, drops the work and the queue, and refuses
// connections for the restart time.
func (s *Server) Crash() {
	s.mu.Lock()
	restart := time.Duration(s.settings.RestartMS) * time.Millisecond
	s.rebirth(time.Now().Add(restart))
	s.mu.Unlock()
	if restart > 0 {
		s.accept.shutPort()
	}
	s.accept.closeOpen()
}

// gate says what becomes of a connection that arrives now.
func (s *Server) gate() gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return gate{
		limit:    s.settings.ConnectionLimit,
		dialCost: time.Duration(s.settings.DialCostUS) * time.Microsecond,
		down:     s.faults.Down || time.Now().Before(s.upFrom),
	}
}

// Stats returns the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.ledger.counts()
	stats.ID = s.id
	stats.Upstream = s.settings.Upstream
	stats.Running = s.slots.running
	stats.Queued = len(s.slots.waiting)
	stats.Connections = s.accept.connections()
	return stats
}

// Record returns every execution since the start or the last reset.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.snapshot()
}

// ResetRecord empties the record and sets the counts to zero, but for those of
// connections.
func (s *Server) ResetRecord() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = newLedger(s.settings.RecordLimit)
}

// routes lays out the paths.
func (s *Server) routes() http.Handler {
	e := echo.New()
	e.POST(leafapi.PathRun, s.run)
	e.GET(leafapi.PathHealth, s.health)
	e.GET(leafapi.PathLoad, s.load)
	s.controlRoutes(e.Group("/control"))
	return e
}
