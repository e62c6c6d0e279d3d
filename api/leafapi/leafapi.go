// Package leafapi defines the protocol between an entry, which is the project's query
// server, and a leaf: HTTP/1.1 with the headers below. docs/LEAF-PROTOCOL.md describes it.
package leafapi

import (
	"strconv"
	"strings"
)

// Paths of a leaf.
const (
	PathRun    = "/v1/run"    // POST: run one sub-request
	PathHealth = "/v1/health" // GET: Health
	PathLoad   = "/v1/load"   // GET: Load, a hint that may be outdated or wrong
)

// Request headers.
const (
	HeaderRequest    = "Fuchsiaroad-Request"     // the query's ID, the same for all its attempts
	HeaderAttempt    = "Fuchsiaroad-Attempt"     // unguessable ID of this attempt; the reply repeats it
	HeaderVersion    = "Fuchsiaroad-Version"     // request: index version wanted, 0 for any; reply: version served
	HeaderRange      = "Fuchsiaroad-Range"       // key range from-to, decimal, end excluded
	HeaderDeadlineMS = "Fuchsiaroad-Deadline-Ms" // milliseconds remaining when the request was sent
)

// Reply headers.
const (
	HeaderRanges      = "Fuchsiaroad-Ranges"     // ranges covered by a reply, or held by a leaf that declines
	HeaderVersions    = "Fuchsiaroad-Versions"   // index versions that the leaf serves, comma-separated
	HeaderDraining    = "Fuchsiaroad-Draining"   // "1": the leaf is leaving
	HeaderStartMillis = "Fuchsiaroad-Born"       // Unix ms of the leaf's start by its own clock; absent: not reported
	HeaderNotRun      = "Fuchsiaroad-Not-Run"    // a Decline: the request certainly did not run
	HeaderChecksum    = "Fuchsiaroad-Checksum"   // xxhash64 of the body, 16 hex digits
	HeaderServiceUS   = "Fuchsiaroad-Service-Us" // microseconds the request held a slot
)

// Decline is a leaf's reason for not running a request, the value of HeaderNotRun.
type Decline string

// The reasons for which a leaf declines.
const (
	DeclineOverloaded   Decline = "overloaded"
	DeclineWrongVersion Decline = "wrong_version"
	DeclineWrongRange   Decline = "wrong_range"
	DeclineDraining     Decline = "draining"
	DeclineDeadline     Decline = "deadline"
)

// Health is the response body of PathHealth. It may be outdated or wrong.
type Health struct {
	ID       string   `json:"id"`
	Ready    bool     `json:"ready"`
	Draining bool     `json:"draining"`
	Versions []uint64 `json:"versions"`
	// StartMillis is the Unix millisecond of the leaf's start by its own clock; 0: not reported.
	StartMillis int64 `json:"born,omitempty"`
}

// Load is the response body of PathLoad. It may be outdated or wrong.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// ParseStartMillis parses a HeaderStartMillis value. It returns 0 for an absent or malformed
// value, since start times are only compared with each other.
func ParseStartMillis(s string) int64 {
	born, err := strconv.ParseInt(s, 10, 64)
	if err != nil || born < 0 {
		return 0
	}
	return born
}

// FormatVersions returns a HeaderVersions value.
func FormatVersions(vs []uint64) string {
	parts := make([]string, len(vs))
	for i, v := range vs {
		parts[i] = strconv.FormatUint(v, 10)
	}
	return strings.Join(parts, ",")
}

// ParseVersions parses a HeaderVersions value. It returns nil for "" and an error for a
// malformed value.
func ParseVersions(s string) ([]uint64, error) {
	if s == "" {
		return nil, nil
	}
	var out []uint64
	for part := range strings.SplitSeq(s, ",") {
		v, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	return out, nil
}
