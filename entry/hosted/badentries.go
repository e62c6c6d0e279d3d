package hosted

import (
	"github.com/uber-go/tally/v4"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// badEntryReporter reports entries of the store that can't be used: once for each change of
// such an entry rather than at each read. It is not safe for concurrent use.
type badEntryReporter struct {
	log   *telemetry.ComponentLog
	scope tally.Scope
	// reported holds the bad entries of the last read, by name.
	reported map[string]catalog.BadEntry
}

// newBadEntryReporter makes a reporter of bad entries of one kind.
func newBadEntryReporter(log *telemetry.ComponentLog, scope tally.Scope, kind string) *badEntryReporter {
	return &badEntryReporter{log: log, scope: scope.SubScope("hosted").Tagged(map[string]string{"kind": kind})}
}

// report logs and counts the bad entries of one read that are new or differ.
func (b *badEntryReporter) report(entries []catalog.BadEntry) {
	if len(entries) == 0 && len(b.reported) == 0 {
		return
	}
	next := make(map[string]catalog.BadEntry, len(entries))
	for _, e := range entries {
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
