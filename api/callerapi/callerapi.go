// Package callerapi defines the HTTP/JSON protocol between callers and entries, the
// project's query servers: paths, headers and bodies. docs/API.md describes it.
package callerapi

import "github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"

// Paths of an entry, for callers and operators.
const (
	PathQuery        = "/v1/services/:service/query" // POST
	PathRouted       = "/v1/routes/*"                // POST: the rest of the path and the Host header select the route
	PathConfig       = "/v1/config"                  // GET: ConfigState; PUT?if_version=N: the TOML document
	PathConfigStatus = "/v1/config/status"           // GET: ConfigStatus over all instances
	PathInstances    = "/v1/instances"               // GET
	PathQuarantine   = "/v1/quarantine"              // GET, DELETE
	PathStatus       = "/status"
	PathHealthz      = "/healthz"
	PathReadyz       = "/readyz"
	PathMetrics      = "/metrics"
)

// Request headers of a query.
const (
	HeaderDeadlineMS     = "Fuchsiaroad-Deadline-Ms" // maximum time in milliseconds that the caller waits
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Part is a key range of an upstream.
type Part struct {
	Upstream string         `json:"upstream"`
	Range    keyrange.Range `json:"range"`
}

// MissingPart is a part that the answer lacks, with the reason.
type MissingPart struct {
	Part
	Reason string `json:"reason"`
}

// Result is one shard's reply.
type Result struct {
	Part
	// MoreRanges lists further key ranges that the body covers; usually absent.
	MoreRanges []keyrange.Range `json:"more,omitempty"`
	Body       []byte           `json:"body"` // base64 in JSON
}

// Timing is the time that the query took, in microseconds.
type Timing struct {
	TotalUS int64 `json:"total_us"`
}

// Work counts the sub-requests that the query sent to leaves.
type Work struct {
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// Answer is the response body of every query that was not refused, whatever its outcome.
type Answer struct {
	Request string        `json:"request"`
	Outcome string        `json:"outcome"` // complete, partial, not_run, unknown, failed
	Version uint64        `json:"version,omitempty"`
	Share   float64       `json:"share"`
	Covered []Part        `json:"covered"`
	Missing []MissingPart `json:"missing"`
	Results []Result      `json:"results"`
	// Replayed is true if this is the recorded outcome of an earlier request with the same
	// Idempotency-Key; results are then absent.
	Replayed bool   `json:"replayed,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a retry may return more.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Timing       Timing `json:"timing"`
	Work         Work   `json:"work"`
}

// Problem is an RFC 9457 problem detail.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Field names the invalid header, parameter or document path.
	Field string `json:"field,omitempty"`
	// Outcome is not_run on every refusal of a query.
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMS is the time in milliseconds after which to retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ConfigState is the configuration in force at one instance.
type ConfigState struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	Document   string `json:"document"`
}

// InstanceConfig is one instance's generation in force, as its last gossip digest stated it.
type InstanceConfig struct {
	Instance   string `json:"instance"`
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash,omitempty"`
	AgeMS      int64  `json:"age_ms"`
}

// ConfigStatus is the generation in force per instance.
type ConfigStatus struct {
	Highest   uint64           `json:"highest"`
	Instances []InstanceConfig `json:"instances"`
}
