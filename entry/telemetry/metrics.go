package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally passes values to the Prometheus
// reporter.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.5, 20)

// sanitizeOptions applies the Prometheus rules to metric names and label keys. Label
// values keep hyphens and dots: service names contain them, and without them two
// services could share an instrument.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the entry's instruments. No metric name or label contains a caller's
// name, because callers may be competitors.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics creates the root scope, which Handler serves in the Prometheus text
// format.
func NewMetrics() *Metrics {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fuchsiaroad", CachedReporter: reporter,
		Separator: tallyprom.DefaultSeparator, SanitizeOptions: &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting goroutine.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// ServiceMetrics holds the instruments of one query service.
type ServiceMetrics struct {
	scope           tally.Scope
	latency         tally.Histogram
	SubrequestsSent tally.Counter // sub-requests that reached a leaf
	ShardsCovered   tally.Counter // shards covered by answers
	Hedges          tally.Counter
	Retries         tally.Counter
	RepliesIgnored  tally.Counter // replies that were late, duplicate, invalid or for another attempt
	VersionMoves    tally.Counter // changes of a query's pinned version
	// RepeatsRefused counts hedges and retries refused by the shard's repeat limit.
	RepeatsRefused tally.Counter
	queueTime      tally.Histogram
	// attempts is indexed by AttemptOutcome.
	attempts [attemptOutcomeCount]tally.Counter
	groups   map[GroupOutcome]tally.Counter
}

// GroupOutcome is the outcome of delegating a group of sub-requests to another
// instance, which gathers their replies.
type GroupOutcome string

// The outcomes of delegated groups.
const (
	GroupGathered GroupOutcome = "gathered"
	GroupNotTaken GroupOutcome = "not_taken" // the other instance ran nothing; this instance sent the sub-requests
	GroupLost     GroupOutcome = "lost"      // the other instance was lost after it had accepted the group
)

// CountGroup counts one delegated group.
func (s *ServiceMetrics) CountGroup(outcome GroupOutcome) { s.groups[outcome].Inc(1) }

// AttemptOutcome is the outcome of one attempt to query a leaf.
type AttemptOutcome uint8

// The attempt outcomes.
const (
	AttemptReply        AttemptOutcome = iota
	AttemptDeclined                    // the leaf replied that it did not run the query
	AttemptNoConnection                // no connection was made, or the attempt was withdrawn before it was sent
	AttemptBroken                      // the connection was lost after the query was sent
	AttemptDeadline                    // no reply before the deadline
	AttemptCancelled                   // another attempt was answered, or the query ended
	attemptOutcomeCount
)

// attemptLabels holds the values of the outcome label, indexed by AttemptOutcome.
var attemptLabels = [attemptOutcomeCount]string{"reply", "declined", "no_connection", "broken", "deadline", "cancelled"}

// CountAttempt counts one attempt to query a leaf and records how long it was queued.
func (s *ServiceMetrics) CountAttempt(outcome AttemptOutcome, queued time.Duration) {
	s.attempts[outcome].Inc(1)
	s.queueTime.RecordDuration(queued)
}

// Service returns the instruments of a service.
func (m *Metrics) Service(name string) *ServiceMetrics {
	s := m.Scope.Tagged(map[string]string{"service": name})
	out := &ServiceMetrics{
		scope:           s,
		latency:         s.Histogram("query_seconds", latencyBuckets),
		SubrequestsSent: s.Counter("subrequests_sent"),
		ShardsCovered:   s.Counter("shards_covered"),
		Hedges:          s.Counter("hedges"),
		Retries:         s.Counter("retries"),
		RepliesIgnored:  s.Counter("replies_ignored"),
		VersionMoves:    s.Counter("version_moves"),
		queueTime:       s.Histogram("queue_seconds", latencyBuckets),
		groups:          make(map[GroupOutcome]tally.Counter),

		RepeatsRefused: s.Counter("repeats_refused"),
	}
	for _, outcome := range []GroupOutcome{GroupGathered, GroupNotTaken, GroupLost} {
		out.groups[outcome] = s.Tagged(map[string]string{"outcome": string(outcome)}).Counter("groups")
	}
	for i, outcome := range attemptLabels {
		out.attempts[i] = s.Tagged(map[string]string{"outcome": outcome}).Counter("attempts")
	}
	return out
}

// CountRefusal counts a request that was refused before its service was known.
// Reason is a label value, so it has to come from a small fixed set.
func (m *Metrics) CountRefusal(reason string) {
	m.Scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}

// ReportRejection counts and logs a connection or a request that was rejected to keep within a bound.
// Reason is a label value, from a small fixed set.
func ReportRejection(m *Metrics, l *Log, component, reason string) {
	m.CountRefusal(reason)
	l.LogDecision(Decision{Component: component, Event: "reject", Reason: reason, Class: Routine})
}

// CountQuarantine counts an event of a request that is suspected of crashing leaves: a change
// of its phase, a refusal or a run alone. Both arguments are label values, from small fixed sets.
func (m *Metrics) CountQuarantine(event, source string) {
	m.Scope.Tagged(map[string]string{"event": event, "source": source}).Counter("quarantine").Inc(1)
}

// CountWithheld counts an attempt that was not sent to the leaf that had been chosen for it. The
// reason is a label value, from a small fixed set.
func (m *Metrics) CountWithheld(reason string) {
	m.Scope.Tagged(map[string]string{"reason": reason}).Counter("withheld").Inc(1)
}

// ObserveQuery counts one answered query and records its latency. Reason says why
// the answer is incomplete and is empty if it is complete; it is a label value, from
// the kernel's small fixed set.
func (s *ServiceMetrics) ObserveQuery(outcome, reason string, took time.Duration) {
	s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("queries").Inc(1)
	if reason != "" {
		s.scope.Tagged(map[string]string{"reason": reason}).Counter("incomplete").Inc(1)
	}
	s.latency.RecordDuration(took)
}
