package hosted

import (
	"github.com/uber-go/tally/v4"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// badEntries reports entries of the store that can't be used: once for each change of
// such an entry, and not with each reading. It is used by one goroutine at a time.
type badEntries struct {
	log   *telemetry.ComponentLog
	scope tally.Scope
	// reported are the entries of the last reading, by name.
	reported map[string]catalog.BadEntry
}

// newBadEntries reports entries of a kind.
func newBadEntries(log *telemetry.ComponentLog, scope tally.Scope, kind string) *badEntries {
	return &badEntries{log: log, scope: scope.SubScope("hosted").Tagged(map[string]string{"kind": kind})}
}

// report takes all bad entries of one reading.
func (b *badEntries) report(list []catalog.BadEntry) {
	if len(list) == 0 && len(b.reported) == 0 {
		return
	}
	next := make(map[string]catalog.BadEntry, len(list))
	for _, e := range list {
		next[e.Name] = e
		if b.reported[e.Name] == e {
			continue
		}
		b.scope.Tagged(map[string]string{"field": e.Field}).Counter("bad_entries").Inc(1)
		b.log.Warn("entry of the store is not used", "entry", e.Name, "revision", e.Revision, "field", e.Field, "why", e.Reason)
	}
	b.scope.Gauge("bad_entries_present").Update(float64(len(next)))
	b.reported = next
}
