// Package callerapi states the protocol between a caller and an entry:
// HTTP/JSON. docs/API.md is its page.
package callerapi

import "github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"

// Paths of an entry, for callers and operators.
const (
	PathQuery        = "/v1/services/:service/query" // POST
	PathRouted       = "/v1/routes/*"                // POST: what follows, and the Host header, choose the route
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
	HeaderDeadlineMS     = "Fuchsiaroad-Deadline-Ms" // most milliseconds the caller waits
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Part is a key range of an upstream.
type Part struct {
	Upstream string         `json:"upstream"`
	Range    keyrange.Range `json:"range"`
}

// MissingPart is a part without data and the reason.
type MissingPart struct {
	Part
	Reason string `json:"reason"`
}

// Result is one shard's reply.
type Result struct {
	Part
	// MoreRanges lists further ranges that the body covers; usually absent.
	MoreRanges []keyrange.Range `json:"more,omitempty"`
	Body       []byte           `json:"body"` // base64 in JSON
}

// Timing is how long the parts of the work took, in microseconds.
type Timing struct {
	TotalUS int64 `json:"total_us"`
}

// Work counts what the query cost upstream.
type Work struct {
	Sent    int `json:"sent"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// Answer is the body of every answered query, of any outcome.
type Answer struct {
	Request string        `json:"request"`
	Outcome string        `json:"outcome"` // complete, partial, not_run, unknown, failed
	Version uint64        `json:"version,omitempty"`
	Share   float64       `json:"share"`
	Covered []Part        `json:"covered"`
	Missing []MissingPart `json:"missing"`
	Results []Result      `json:"results"`
	// Replayed says that this is the recorded outcome of an earlier request
	// with the same Idempotency-Key; results are then absent.
	Replayed bool   `json:"replayed,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// RetryAfterMS says when asking again may tell more, in milliseconds.
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
	// Field names the offending header, parameter or document path.
	Field string `json:"field,omitempty"`
	// Outcome is not_run on every refusal of a query.
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMS says when to come back, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ConfigState is the configuration in force at one instance.
type ConfigState struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	Document   string `json:"document"`
}

// InstanceConfig is one instance's generation in force, as its digest said.
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
