package leaf

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// hintsSnapshot is what the health and load endpoints say for a while.
type hintsSnapshot struct {
	at     time.Time
	health leafapi.Health
	load   leafapi.Load
}

// hint returns what the endpoints say now.
func (s *Server) hint() hintsSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lag := time.Duration(s.faults.LagMS) * time.Millisecond
	if s.hints.at.IsZero() || !now.Before(s.hints.at.Add(lag)) {
		s.hints = s.look(now)
	}
	hints := s.hints
	if s.faults.Health != nil {
		hints.health = *s.faults.Health
	}
	if s.faults.Load != nil {
		hints.load = *s.faults.Load
	}
	return hints
}

// look takes the truth. The lock is held.
func (s *Server) look(now time.Time) hintsSnapshot {
	return hintsSnapshot{
		at: now,
		health: leafapi.Health{
			ID:          s.id,
			Ready:       !s.declining(now),
			Draining:    s.faults.Draining,
			Versions:    slices.Clone(s.settings.Versions),
			StartMillis: s.born.UnixMilli(),
		},
		load: leafapi.Load{InFlight: s.slots.running, Queued: len(s.slots.waiting)},
	}
}

func (s *Server) health(c echo.Context) error {
	s.thawNow()
	return c.JSON(http.StatusOK, s.hint().health)
}

func (s *Server) load(c echo.Context) error {
	s.thawNow()
	return c.JSON(http.StatusOK, s.hint().load)
}

// thawNow waits while the leaf is frozen.
func (s *Server) thawNow() {
	s.mu.Lock()
	life := s.life
	s.mu.Unlock()
	s.thaw(life)
}
