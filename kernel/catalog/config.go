package catalog

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Config is one version of the operator's configuration. It is immutable, because versions share
// pointers to equal routes.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits

	// hashes holds the hash of each route; nil unless Apply derived this version.
	hashes []uint64
}

// Route sends the requests of a host and path prefix to one set of shards, or to
// one of several services chosen by weight.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Objective  time.Duration // latency objective; 0: none
	Attempts   int
	Priority   int
	// Shards names the services of a route that queries all of them; if empty, Targets is set.
	Shards        []string
	TopK          int
	LeastCoverage float64
	Targets       []document.RouteTarget
}

// Service holds the settings of a service.
type Service struct {
	Name string
	// ConnectionLimit is the maximum number of connections that a leaf accepts from all
	// instances together.
	ConnectionLimit int
}

// Limits bounds what a client may send, in size and time. A zero field sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
