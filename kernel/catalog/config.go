package catalog

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Config is one version of the operator's configuration. It is immutable: versions share the
// routes in which they agree.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits

	// sums holds the hashes of Routes; nil until the version is derived by Apply.
	sums []uint64
}

// Route leads requests of a host and path prefix to one set of shards, or to
// services by weight.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Idempotent bool
	Timeout    time.Duration
	Objective  time.Duration // 0: none
	Attempts   int
	Priority   int
	// Shards lists the services of a route that asks all of them; else Targets is set.
	Shards        []string
	TopK          int
	LeastCoverage float64
	Targets       []document.RouteTarget
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// ConnectionLimit is the most connections a leaf takes from all instances.
	ConnectionLimit int
}

// Limits bound what a client may send. A zero field sets no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
