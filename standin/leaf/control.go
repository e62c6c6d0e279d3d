package leaf

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/control"
)

// Paths of a leaf's control interface, below "/control" on its own listener and
// below "/control/leaves/{id}" on a fleet's. They take and return JSON.
const (
	PathSettings = "/settings" // GET, PATCH: Settings
	PathFaults   = "/faults"   // GET, PATCH: Faults
	PathStats    = "/stats"    // GET: Stats
	PathRecord   = "/record"   // GET: Record; DELETE empties it and the counts
	PathCrash    = "/crash"    // POST: crashes the leaf
)

// controlRoutes lays out the control paths on a leaf's own listener.
func (s *Server) controlRoutes(g *echo.Group) {
	self := func(echo.Context) *Server { return s }
	addControl(g, self)
}

// addControl lays out the control paths of a leaf that is found per call; the
// finder returns nil for an unknown one.
func addControl(g *echo.Group, find func(echo.Context) *Server) {
	handle := func(f func(*Server, echo.Context) error) echo.HandlerFunc {
		return func(c echo.Context) error {
			s := find(c)
			if s == nil {
				return c.JSON(http.StatusNotFound, control.Problem{Error: "no such leaf: " + c.Param("id")})
			}
			return f(s, c)
		}
	}
	g.GET(PathSettings, handle(func(s *Server, c echo.Context) error { return c.JSON(http.StatusOK, s.Settings()) }))
	g.PATCH(PathSettings, handle((*Server).patchSettings))
	g.GET(PathFaults, handle(func(s *Server, c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) }))
	g.PATCH(PathFaults, handle((*Server).patchFaults))
	g.GET(PathStats, handle(func(s *Server, c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) }))
	g.GET(PathRecord, handle(func(s *Server, c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) }))
	g.DELETE(PathRecord, handle(func(s *Server, c echo.Context) error {
		s.ResetRecord()
		return c.NoContent(http.StatusNoContent)
	}))
	g.POST(PathCrash, handle(func(s *Server, c echo.Context) error {
		s.Crash()
		return c.NoContent(http.StatusNoContent)
	}))
}

// patchSettings changes the fields that the body names and keeps the rest.
func (s *Server) patchSettings(c echo.Context) error {
	return control.Patch(c, s.Settings, s.SetSettings)
}

// patchFaults changes the fields that the body names and keeps the rest.
func (s *Server) patchFaults(c echo.Context) error {
	return control.Patch(c, s.Faults, s.SetFaults)
}
