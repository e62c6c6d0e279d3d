package platform

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/control"
)

// controlRoutes lays out the control paths. They take no token and no fault
// touches them.
func (s *Server) controlRoutes(e *echo.Echo) {
	e.GET(PathFaults, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	e.PATCH(PathFaults, s.patchFaults)
	e.GET(PathInstances, func(c echo.Context) error {
		return c.JSON(http.StatusOK, platformapi.Instances{Instances: s.Instances()})
	})
	e.PUT(PathInstances, s.putInstances)
	e.GET(PathCounts, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counts()) })
	e.DELETE(PathCounts, func(c echo.Context) error {
		s.ResetCounts()
		return c.NoContent(http.StatusNoContent)
	})
	e.POST(PathCut, func(c echo.Context) error {
		s.CutWatches()
		return c.NoContent(http.StatusNoContent)
	})
}

// patchFaults changes the fields that the body names and keeps the rest.
func (s *Server) patchFaults(c echo.Context) error {
	return control.Patch(c, s.Faults, s.SetFaults)
}

// putInstances replaces the list of instances.
func (s *Server) putInstances(c echo.Context) error {
	var list platformapi.Instances
	if err := control.Decode(c, &list); err != nil {
		return control.BadRequest(c, err)
	}
	s.SetInstances(list.Instances)
	return c.NoContent(http.StatusNoContent)
}
