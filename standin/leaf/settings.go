// Package leaf is a stand-in for an upstream's leaf: a server of api/leafapi
// with slots, a bounded queue, a connection limit, a straggler tail, and faults
// that are steered in process or over HTTP while it runs. It keeps its own
// record of every execution, which tests check the entries against.
package leaf

import (
	"fmt"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Settings are a leaf's size, data and service time. All but ID, Seed and
// RecordLimit may be changed while it runs.
type Settings struct {
	// ID names the leaf; Upstream is the data set that it serves.
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Upstream string `json:"upstream"`
	// Ranges are the key ranges held; Versions the index versions served.
	Ranges   []keyrange.Range `json:"ranges"`
	Versions []uint64         `json:"versions"`
	// Slots is the number of requests run at once; Queue how many more wait.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// ConnectionLimit is the most connections open at once; one over it is
	// closed as soon as it is accepted. 0 is no limit.
	ConnectionLimit int `json:"connection_limit"`
	// DialCostUS is how long a new connection stays unread, in microseconds.
	DialCostUS int64 `json:"dial_cost_us"`
	// NetworkUS delays each request before it is queued and each reply after
	// its slot is free, in microseconds: the network's one-way delay.
	NetworkUS int64   `json:"network_us"`
	Service   Service `json:"service"`
	// BodyBytes pads each reply's body to at least this size.
	BodyBytes int `json:"body_bytes"`
	// Poison is the text in a request's body that crashes the leaf.
	Poison string `json:"poison"`
	// RestartMS is how long a crashed leaf refuses connections.
	RestartMS int64 `json:"restart_ms"`
	// Seed feeds service times and share-based faults.
	Seed uint64 `json:"seed"`
	// RecordLimit is the most request ids that the record holds; further ones
	// are counted only. 0 means DefaultRecordLimit.
	RecordLimit int `json:"record_limit"`
}

// DefaultRecordLimit is the most request ids held by a record.
const DefaultRecordLimit = 200_000

// Distribution is the shape of the service time.
type Distribution string

// The distributions of the service time.
const (
	Exponential Distribution = "exponential"
	Fixed       Distribution = "fixed"
)

// Service is how long a request holds its slot.
type Service struct {
	// MeanUS is the mean of requests that do not straggle, in microseconds.
	MeanUS       int64        `json:"mean_us"`
	Distribution Distribution `json:"distribution"` // empty means exponential
	// StragglerShare of the requests take StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// ColdMS is how long after a start or crash the leaf is cold; requests
	// then take up to ColdFactor times as long, falling to 1 over the time.
	ColdMS     int64   `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
}

// Trigger says when a fault hits: the next Next chances, then a share of them.
type Trigger struct {
	Next  int     `json:"next"`
	Share float64 `json:"share"`
}

// Replies are faults of replies. The request has run whenever one hits.
type Replies struct {
	// Late holds the reply back for LateMS, outside the slot.
	Late   Trigger `json:"late"`
	LateMS int64   `json:"late_ms"`
	// Repeated answers with the reply before, which has another attempt's id.
	Repeated Trigger `json:"repeated"`
	// Crossed swaps the reply with the next one that is ready.
	Crossed Trigger `json:"crossed"`
	// Truncated breaks the connection after half of the body.
	Truncated Trigger `json:"truncated"`
	// WrongChecksum states a checksum that is not the body's.
	WrongChecksum Trigger `json:"wrong_checksum"`
	// Overlapping states ranges that overlap each other.
	Overlapping Trigger `json:"overlapping"`
}

// Faults are changed while the leaf runs. The zero value means none.
type Faults struct {
	// Draining marks every reply; after DeclineAfterMS new requests are declined.
	Draining       bool  `json:"draining"`
	DeclineAfterMS int64 `json:"decline_after_ms"`
	// Shed declines this share of the requests as overloaded, in [0, 1].
	Shed float64 `json:"shed"`
	// Frozen stops everything but the control interface: nothing is read,
	// started, finished or answered.
	Frozen bool `json:"frozen"`
	// Down refuses connections and breaks the open ones.
	Down bool `json:"down"`
	// IgnoreCancel and IgnoreDeadline let work run on that nobody waits for.
	IgnoreCancel   bool `json:"ignore_cancel"`
	IgnoreDeadline bool `json:"ignore_deadline"`
	// Health and Load are answered in place of the truth when set.
	Health *leafapi.Health `json:"health"`
	Load   *leafapi.Load   `json:"load"`
	// LagMS is how long the health and load endpoints repeat an answer before
	// they look again.
	LagMS   int64   `json:"lag_ms"`
	Replies Replies `json:"replies"`
}

// clone copies the faults with what they point at.
func (f Faults) clone() Faults {
	if f.Health != nil {
		health := *f.Health
		health.Versions = slices.Clone(health.Versions)
		f.Health = &health
	}
	if f.Load != nil {
		load := *f.Load
		f.Load = &load
	}
	return f
}

// FieldError names the setting that is wrong.
type FieldError struct {
	Leaf   string
	Field  string
	Reason string
}

// Error returns the leaf, the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("leaf stand-in %q: %s: %s", e.Leaf, e.Field, e.Reason)
}
