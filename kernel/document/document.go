// Package document defines the typed configuration document: upstreams, query
// services, routes and callers. It is plain data. Parsing, validation, the canonical
// form and the hash are in the config module.
package document

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Document is the whole configuration. It is immutable once validated.
type Document struct {
	// Site names the installation for operators.
	Site      string
	Upstreams []Upstream
	Services  []Service
	Callers   []Caller
	// Routes maps the requests that the gateway forwards to services; see Route.
	Routes []Route
}

// Upstream is a set of leaves that serve one key space.
type Upstream struct {
	Name string
	// KeySpace is the number of keys. The shards cover [0, KeySpace) without gaps or overlaps.
	KeySpace uint64
	// ConnectionLimit is the maximum number of connections that one leaf accepts, from all
	// instances together.
	ConnectionLimit int
	// Slots is the number of requests that one leaf runs concurrently.
	Slots int
	// DialCost is the typical time to open a connection.
	DialCost time.Duration
	// RepeatLimit bounds the arrivals at one shard beyond the first of each request; nil
	// sets no bound.
	RepeatLimit *RepeatLimit
	Shards      []Shard
}

// Shard is a key range and the leaves that replicate it.
type Shard struct {
	// Name identifies the shard across upstreams that share its budgets; empty if
	// none do.
	Name   string
	Range  keyrange.Range
	Leaves []Leaf
}

// Leaf is one server process of an upstream.
type Leaf struct {
	// ID identifies one incarnation of a leaf that registers itself, or a leaf that
	// operators have configured.
	ID string
	// Name is the name under which the leaf registers itself; empty: the same as ID.
	Name    string
	Zone    string
	Address string // IP:port
}

// Service is a query service: a named set of upstreams that are queried together, and
// how to query them.
type Service struct {
	Name      string
	Upstreams []string
	// Deadline is the maximum time until the answer; a caller may ask for less.
	Deadline time.Duration
	// LeastCoverage is the minimum coverage of a useful answer, as a share in [0, 1].
	LeastCoverage float64
	// Settle is how long to wait for the remaining shards once LeastCoverage is met; 0
	// waits until the deadline.
	Settle time.Duration
	// Idempotent tells that running a request twice does no harm.
	Idempotent bool
	// HedgeBudget is the share of sub-requests that may be hedged, in [0, 1].
	HedgeBudget float64
	// HedgeQuantile is the latency quantile after which a hedge starts, in (0, 1).
	HedgeQuantile float64
	// RetryBudget is the share of sub-requests that may be retried, in [0, 1].
	RetryBudget float64
	// CanaryAbove is the number of shards above which a request with an unknown fingerprint
	// runs on one leaf first; 0 disables canaries.
	CanaryAbove int
	// KeyRequired refuses requests without an Idempotency-Key. It defaults to true if
	// Idempotent is false.
	KeyRequired bool
	// Objective is the latency objective: the time within which an answer has its full
	// value; 0 means that only the deadline counts.
	Objective time.Duration
	// Priority ranks services under overload; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of leaves of one shard that may run one request; 0
	// leaves it to the kernel's own bound.
	Attempts int
	// TopK is the number of records that a combined answer keeps; 0 keeps the results of
	// the shards apart.
	TopK int
}

// RepeatLimit bounds the arrivals at one shard beyond the first of each request, in any
// time span of length Window and over all instances: Ratio times the number of requests
// in the span, plus Slack.
type RepeatLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Route sends the requests of a host and path prefix to a service, or to one of several
// in proportion to their weights. The longest matching prefix wins.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Targets []RouteTarget
}

// RouteTarget is a service of a route with its weight, which is at least 0.
type RouteTarget struct {
	Service string
	Weight  float64
}

// Caller is an authenticated client of services.
type Caller struct {
	Name string
	// TokenSHA256 is the lower-case hex SHA-256 of the caller's bearer token.
	TokenSHA256 string
	// Share is the caller's weight in a contended queue; at least 1.
	Share int
	// Services names the services the caller may use.
	Services []string
	// Operator allows the use of the configuration API and the console.
	Operator bool
}
