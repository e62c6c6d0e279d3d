package leaf

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// Execution says how the executions under one key went.
type Execution struct {
	// Key is a request id, or the Hash of a request's body.
	Key       string `json:"key"`
	Started   int    `json:"started"`
	Completed int    `json:"completed"`
	// Abandoned were given up on cancellation or deadline, with the slot held.
	Abandoned int `json:"abandoned"`
	Crashed   int `json:"crashed"`
	// Versions are the index versions used, each once, in order of use.
	Versions []uint64 `json:"versions"`
}

// DeclineCount is how often a leaf declined for a reason.
type DeclineCount struct {
	Reason leafapi.Decline `json:"reason"`
	Count  uint64          `json:"count"`
}

// Stats are a leaf's counts since its start or the last reset of its record.
type Stats struct {
	ID          string      `json:"id"`
	Upstream    string      `json:"upstream"`
	Running     int         `json:"running"`
	Queued      int         `json:"queued"`
	Connections Connections `json:"connections"`
	Started     uint64      `json:"started"`
	Completed   uint64      `json:"completed"`
	Abandoned   uint64      `json:"abandoned"`
	// Broken executions were in a slot when the leaf crashed or went down.
	Broken uint64 `json:"broken"`
	// Left counts requests cancelled while they waited for a slot.
	Left     uint64         `json:"left"`
	Declined []DeclineCount `json:"declined"`
	// Crashes counts crashes by a poisoned request.
	Crashes uint64 `json:"crashes"`
	// BusyUS is the time that slots were held, in microseconds.
	BusyUS int64 `json:"busy_us"`
	// LastStarted is when new work last took a slot.
	LastStarted time.Time `json:"last_started"`
}

// Record is every execution, by request id and by the request's body.
type Record struct {
	Requests []Execution `json:"requests"`
	Bodies   []Execution `json:"bodies"`
	// Unrecorded counts executions left out because the record was full.
	Unrecorded uint64 `json:"unrecorded"`
}

// ending is how an execution ended.
type ending int

const (
	completed ending = iota
	abandoned
	crashed
)

// ledger collects executions. It has no lock.
type ledger struct {
	limit      int
	requests   map[string]*Execution
	bodies     map[string]*Execution
	unrecorded uint64
	stats      Stats
	declined   map[leafapi.Decline]uint64
}

func newLedger(limit int) *ledger {
	if limit <= 0 {
		limit = DefaultRecordLimit
	}
	return &ledger{
		limit:    limit,
		requests: map[string]*Execution{},
		bodies:   map[string]*Execution{},
		declined: map[leafapi.Decline]uint64{},
	}
}

// start records that work began. It returns the records to end.
func (l *ledger) start(request, body string, version uint64, now time.Time) []*Execution {
	l.stats.Started++
	l.stats.LastStarted = now
	var out []*Execution
	for _, e := range []*Execution{l.find(l.requests, request), l.find(l.bodies, body)} {
		if e == nil {
			continue
		}
		e.Started++
		if !slices.Contains(e.Versions, version) {
			e.Versions = append(e.Versions, version)
		}
		out = append(out, e)
	}
	if len(out) < 2 {
		l.unrecorded++
	}
	return out
}

// find returns the record of a key, or nil if there is no room for it.
func (l *ledger) find(in map[string]*Execution, key string) *Execution {
	e, ok := in[key]
	if ok {
		return e
	}
	if len(in) >= l.limit {
		return nil
	}
	e = &Execution{Key: key}
	in[key] = e
	return e
}

// end records how work ended and how long it held its slot.
func (l *ledger) end(records []*Execution, how ending, held time.Duration) {
	l.stats.BusyUS += held.Microseconds()
	switch how {
	case completed:
		l.stats.Completed++
	case abandoned:
		l.stats.Abandoned++
	case crashed:
		l.stats.Broken++
	}
	for _, e := range records {
		switch how {
		case completed:
			e.Completed++
		case abandoned:
			e.Abandoned++
		case crashed:
			e.Crashed++
		}
	}
}

// snapshot copies the record in the order of the keys.
func (l *ledger) snapshot() Record {
	return Record{
		Requests:   sorted(l.requests),
		Bodies:     sorted(l.bodies),
		Unrecorded: l.unrecorded,
	}
}

func sorted(in map[string]*Execution) []Execution {
	out := make([]Execution, 0, len(in))
	for _, key := range slices.Sorted(maps.Keys(in)) {
		e := *in[key]
		e.Versions = slices.Clone(e.Versions)
		out = append(out, e)
	}
	return out
}

// counts copies the counts.
func (l *ledger) counts() Stats {
	stats := l.stats
	stats.Declined = []DeclineCount{}
	for reason, n := range l.declined {
		stats.Declined = append(stats.Declined, DeclineCount{Reason: reason, Count: n})
	}
	slices.SortFunc(stats.Declined, func(a, b DeclineCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return stats
}
