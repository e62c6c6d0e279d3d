package leaf

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/httpserve"
)

// Paths of a fleet's control listener. The control paths of one leaf are below
// PathLeaves + "/{id}".
const (
	PathLeaves  = "/control/leaves"  // GET: []Member
	PathSummary = "/control/summary" // GET?upstream=NAME: Summary
)

// Member is one leaf of a fleet with the address it serves on.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Summary adds up the records of a fleet's leaves.
type Summary struct {
	Leaves    int    `json:"leaves"`
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Abandoned uint64 `json:"abandoned"`
	Broken    uint64 `json:"broken"`
	Declined  uint64 `json:"declined"`
	Crashes   uint64 `json:"crashes"`
	// Bodies is the number of distinct request bodies; MaxPerBody the most
	// executions of one of them over all leaves.
	Bodies     int `json:"bodies"`
	MaxPerBody int `json:"max_per_body"`
	// Unrecorded executions are missing from Bodies and MaxPerBody.
	Unrecorded uint64 `json:"unrecorded"`
	// ConnectionPeak is the highest peak of one leaf; Refused are all leaves'
	// refused connections.
	ConnectionPeak int    `json:"connection_peak"`
	Refused        uint64 `json:"refused"`
}

// Fleet is many leaves in one process with one control listener that no
// connection limit and no fault touches.
type Fleet struct {
	handler   http.Handler
	leaves    []*Server
	listeners []net.Listener
	byID      map[string]int
}

// NewFleet returns a fleet without leaves.
func NewFleet() *Fleet {
	f := &Fleet{byID: map[string]int{}}
	f.handler = f.routes()
	return f
}

// Add puts a leaf on a listener into the fleet, before Serve.
func (f *Fleet) Add(s *Server, listener net.Listener) error {
	if _, twice := f.byID[s.ID()]; twice {
		return &FieldError{Leaf: s.ID(), Field: "id", Reason: "is used twice"}
	}
	f.byID[s.ID()] = len(f.leaves)
	f.leaves = append(f.leaves, s)
	f.listeners = append(f.listeners, listener)
	return nil
}

// Members returns the leaves in the order they were added.
func (f *Fleet) Members() []Member {
	members := make([]Member, len(f.leaves))
	for i, s := range f.leaves {
		members[i] = Member{ID: s.ID(), Address: f.listeners[i].Addr().String()}
	}
	return members
}

// Leaf returns a leaf by its id, or nil.
func (f *Fleet) Leaf(id string) *Server {
	i, ok := f.byID[id]
	if !ok {
		return nil
	}
	return f.leaves[i]
}

// Serve answers on the leaves' listeners and the control listener until the
// context ends.
func (f *Fleet) Serve(ctx context.Context, control net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error)
	for i, s := range f.leaves {
		go func() { ended <- s.Serve(ctx, f.listeners[i]) }()
	}
	go func() { ended <- httpserve.Serve(ctx, control, f) }()
	var errs []error
	for range len(f.leaves) + 1 {
		errs = append(errs, <-ended)
		cancel() // one end ends all
	}
	return errors.Join(errs...)
}

// ServeHTTP answers the control interface.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.handler.ServeHTTP(w, r) }

// Close closes the listeners, for a fleet that is not served.
func (f *Fleet) Close() error {
	var errs []error
	for _, l := range f.listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// Summary adds up the leaves of one upstream; an empty name means all.
func (f *Fleet) Summary(upstream string) Summary {
	var sum Summary
	perBody := map[string]int{}
	for _, s := range f.leaves {
		stats := s.Stats()
		if upstream != "" && stats.Upstream != upstream {
			continue
		}
		sum.add(stats)
		record := s.Record()
		sum.Unrecorded += record.Unrecorded
		for _, e := range record.Bodies {
			perBody[e.Key] += e.Started
		}
	}
	sum.Bodies = len(perBody)
	for _, n := range perBody {
		sum.MaxPerBody = max(sum.MaxPerBody, n)
	}
	return sum
}

// add counts one leaf.
func (sum *Summary) add(s Stats) {
	sum.Leaves++
	sum.Started += s.Started
	sum.Completed += s.Completed
	sum.Abandoned += s.Abandoned
	sum.Broken += s.Broken
	sum.Crashes += s.Crashes
	for _, d := range s.Declined {
		sum.Declined += d.Count
	}
	sum.ConnectionPeak = max(sum.ConnectionPeak, s.Connections.Peak)
	sum.Refused += s.Connections.Refused
}

// Upstreams returns the names of the upstreams served, sorted.
func (f *Fleet) Upstreams() []string {
	var names []string
	for _, s := range f.leaves {
		names = append(names, s.Settings().Upstream)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// routes lays out the control paths.
func (f *Fleet) routes() http.Handler {
	e := echo.New()
	e.GET(PathLeaves, func(c echo.Context) error { return c.JSON(http.StatusOK, f.Members()) })
	e.GET(PathSummary, func(c echo.Context) error {
		return c.JSON(http.StatusOK, f.Summary(c.QueryParam("upstream")))
	})
	addControl(e.Group(PathLeaves+"/:id"), func(c echo.Context) *Server { return f.Leaf(c.Param("id")) })
	return e
}
