// Package platform is a stand-in for the platform's service: the object API of
// api/platformapi with versions, conditional updates and watches, and the list
// of instances. Its faults are steered in process or over HTTP while it runs.
package platform

import (
	"fmt"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

// HeaderInstance names the calling instance. It is optional; faults that apply
// to some clients only match it or the bearer token.
const HeaderInstance = "Fuchsiaroad-Instance"

// HeaderEra is a header of each answer: the number of the store's era, which rises by one when the
// store is restored from an older copy.
const HeaderEra = "Store-Era"

// Paths of the control interface. Each takes and returns JSON.
const (
	PathFaults    = "/control/faults"      // GET, PATCH: Faults
	PathInstances = "/control/instances"   // GET, PUT: platformapi.Instances, without lag
	PathCounts    = "/control/counts"      // GET: Counts, DELETE
	PathCut       = "/control/cut-watches" // POST: ends all waiting watches without an answer
)

// Settings are fixed when the stand-in starts.
type Settings struct {
	// Token is the bearer token that calls must carry; empty accepts any.
	Token string `json:"token,omitempty"`
	// Seed feeds the share-based faults.
	Seed uint64 `json:"seed"`
	// History is the number of events kept for watches; a watch from before
	// them gets 410. 0 means DefaultHistory.
	History int `json:"history"`
	// Instances is the first list of instances.
	Instances []platformapi.Instance `json:"instances"`
}

// DefaultHistory is the number of events kept for watches.
const DefaultHistory = 1024

// Faults are changed while the stand-in runs. The zero value means none.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// Hang leaves every call without an answer until the fault is lifted.
	Hang bool `json:"hang"`
	// DelayMS delays each call before it takes effect. A write takes effect
	// also when its client has given up meanwhile.
	DelayMS int64 `json:"delay_ms"`
	// ReplyDelayMS delays each reply after the call took effect.
	ReplyDelayMS int64 `json:"reply_delay_ms"`
	// LoseWriteReplies lets the next N writes take effect and breaks their
	// connection instead of answering. It counts down.
	LoseWriteReplies int `json:"lose_write_replies"`
	// LoseWriteShare does the same to a share of the writes, in [0, 1].
	LoseWriteShare float64 `json:"lose_write_share"`
	// Stale answers reads, lists and watches from the state as it was when
	// the fault was set, or at StaleRevision if that is not 0.
	Stale bool `json:"stale"`
	// StaleRevision is the revision that stale answers show; 0 is the current one.
	StaleRevision uint64 `json:"stale_revision"`
	// StaleClients limits Stale to clients with these instance names or
	// tokens; empty means all.
	StaleClients []string `json:"stale_clients"`
	// CutClients names clients that get no answer at all.
	CutClients []string `json:"cut_clients"`
	// InstanceLagMS is the age of the list of instances that is answered.
	InstanceLagMS int64 `json:"instance_lag_ms"`
	// ReadRate and WriteRate limit calls a second; over it they get 429. 0 is no limit.
	ReadRate  float64 `json:"read_rate"`
	WriteRate float64 `json:"write_rate"`
	// RetryAfterS is sent with 429 and 503 when above 0, in seconds.
	RetryAfterS int `json:"retry_after_s"`
}

// FieldError names the control field that is wrong.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("platform stand-in: %s: %s", e.Field, e.Reason)
}

// Validate reports the first field out of its bounds as a *FieldError.
func (f Faults) Validate() error {
	nonNegative := []struct {
		field string
		value float64
	}{
		{"delay_ms", float64(f.DelayMS)},
		{"reply_delay_ms", float64(f.ReplyDelayMS)},
		{"lose_write_replies", float64(f.LoseWriteReplies)},
		{"lose_write_share", f.LoseWriteShare},
		{"instance_lag_ms", float64(f.InstanceLagMS)},
		{"read_rate", f.ReadRate},
		{"write_rate", f.WriteRate},
		{"retry_after_s", float64(f.RetryAfterS)},
	}
	for _, n := range nonNegative {
		if n.value < 0 {
			return &FieldError{Field: n.field, Reason: "must not be negative"}
		}
	}
	if f.LoseWriteShare > 1 {
		return &FieldError{Field: "lose_write_share", Reason: "must be at most 1"}
	}
	return nil
}

// Kind is a kind of call, for counting.
type Kind string

// The kinds of calls.
const (
	KindGet       Kind = "get"
	KindPut       Kind = "put"
	KindDelete    Kind = "delete"
	KindList      Kind = "list"
	KindWatch     Kind = "watch"
	KindInstances Kind = "instances"
)

// CallCount is the number of calls of one kind by one client.
type CallCount struct {
	// Client is the instance header, or empty if the call had none.
	Client string `json:"client"`
	Kind   Kind   `json:"kind"`
	// Calls is the number received; Limited of them got 429.
	Calls   uint64 `json:"calls"`
	Limited uint64 `json:"limited"`
}

// Counts is what the stand-in has counted since its start or the last reset.
type Counts struct {
	Calls []CallCount `json:"calls"`
	// Waiting is the number of watches waiting now.
	Waiting int `json:"waiting"`
	// LostReplies counts writes that took effect without an answer.
	LostReplies uint64 `json:"lost_replies"`
}

// Total sums the calls of one kind by all clients.
func (c Counts) Total(kind Kind) uint64 {
	var n uint64
	for _, call := range c.Calls {
		if call.Kind == kind {
			n += call.Calls
		}
	}
	return n
}
