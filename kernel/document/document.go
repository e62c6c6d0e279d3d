// Package document holds the typed configuration document: upstreams, query
// services and callers. It is plain data. Parsing, validation, the canonical
// form and the hash are in the config module.
package document

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Document is the whole configuration. It is immutable once validated.
type Document struct {
	// Site names the installation, for people.
	Site      string
	Upstreams []Upstream
	Services  []Service
	Callers   []Caller
	// Routes lead passed-on requests to services; see Route.
	Routes []Route
}

// Upstream is a set of leaves that serve one key space.
type Upstream struct {
	Name string
	// KeySpace is the number of keys; shards tile [0, KeySpace).
	KeySpace uint64
	// ConnectionLimit is the most connections one leaf accepts, from all entries together.
	ConnectionLimit int
	// Slots is the number of requests one leaf runs at once.
	Slots int
	// DialCost is the usual time of a new connection.
	DialCost time.Duration
	// RepeatLimit bounds the arrivals beyond the first of each request at one shard;
	// nil sets no bound.
	RepeatLimit *RepeatLimit
	Shards  []Shard
}

// Shard is a key range and the leaves that replicate it.
type Shard struct {
	// Name names the shard beyond one upstream, for budgets that upstreams
	// share; empty where none do.
	Name   string
	Range  keyrange.Range
	Leaves []Leaf
}

// Leaf is one upstream server process.
type Leaf struct {
	// ID names one start of the leaf where the leaf registers itself, and the leaf
	// where operators name it.
	ID string
	// Name is what the leaf calls itself; empty: its ID.
	Name    string
	Zone    string
	Address string // IP:port
}

// Service is a query service: a named way of asking across upstreams.
type Service struct {
	Name      string
	Upstreams []string
	// Deadline is the longest time an answer may take; a caller may ask for less.
	Deadline time.Duration
	// LeastCoverage is the share in [0, 1] from which an answer is useful.
	LeastCoverage float64
	// Settle is how long to wait for the rest once LeastCoverage is met; 0 waits until the deadline.
	Settle time.Duration
	// Idempotent says that running a request twice does no harm.
	Idempotent bool
	// HedgeBudget is the share of sub-requests that may be hedged, in [0, 1].
	HedgeBudget float64
	// HedgeQuantile is the latency quantile after which a hedge starts, in (0, 1).
	HedgeQuantile float64
	// RetryBudget is the share of sub-requests that may be retried, in [0, 1].
	RetryBudget float64
	// CanaryAbove is the number of shards above which an unknown fingerprint
	// first runs on one leaf; 0 means never.
	CanaryAbove int
	// KeyRequired refuses requests without an Idempotency-Key. It defaults to
	// true when Idempotent is false.
	KeyRequired bool
	// Objective is the time within which an answer has its full value; 0 means
	// that only the deadline counts.
	Objective time.Duration
	// Priority ranks services under overload; 0 is the most urgent.
	Priority int
	// Attempts is the most leaves of one shard that may run one request; 0
	// leaves it to the kernel's own bound.
	Attempts int
	// TopK is the number of records that a combined answer keeps; 0 keeps all
	// results apart.
	TopK int
}

// RepeatLimit bounds the arrivals at one shard beyond the first of each
// request, in any span of Window and over all instances: Ratio times the
// requests of the span, and Slack more.
type RepeatLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Route leads requests of one host and path prefix to a service, or to several
// in proportion to their weights. The longest prefix of a path wins.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Targets []RouteTarget
}

// RouteTarget is a service of a route and its weight, at least 0.
type RouteTarget struct {
	Service string
	Weight  float64
}

// Caller is an authenticated user of services.
type Caller struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the caller's bearer token.
	TokenSHA256 string
	// Share weighs the caller's part of a contended queue; at least 1.
	Share int
	// Services names the services the caller may use.
	Services []string
	// Operator allows the configuration API and the console.
	Operator bool
}
