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

// reportInterval is how often tally hands counters to the reporter.
const reportInterval = time.Second

// latencyBuckets are the upper bounds of latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 1.5, 20)

// sanitize is Prometheus' own rule for names and keys. Values keep hyphens and
// dots, which names of services have: without them two services could share an
// instrument.
var sanitize = tally.SanitizeOptions{
	NameCharacters: tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the entry's instruments. No instrument has a caller's name in
// it: callers may be rivals.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics makes a root scope whose values are served in Prometheus text form.
func NewMetrics() *Metrics {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fuchsiaroad", CachedReporter: reporter,
		Separator: tallyprom.DefaultSeparator, SanitizeOptions: &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reporting goroutine.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// ServiceMetrics are one query service's instruments.
type ServiceMetrics struct {
	scope           tally.Scope
	latency         tally.Histogram
	SubrequestsSent tally.Counter // sub-requests that reached a leaf
	ShardsCovered   tally.Counter // shards covered by answers
	Hedges          tally.Counter
	Retries         tally.Counter
	RepliesIgnored  tally.Counter // replies that were late, repeated or crossed
	VersionMoves    tally.Counter // changes of the pinned version
	// RepeatsRefused counts repeats for which the shard's limit had no room.
	RepeatsRefused tally.Counter
	queue          tally.Histogram
	// attempts are by outcome.
	attempts [attemptOutcomes]tally.Counter
	groups   map[GroupOutcome]tally.Counter
}

// GroupOutcome is what became of parts that another instance was asked to gather.
type GroupOutcome string

// The outcomes of groups.
const (
	GroupGathered GroupOutcome = "gathered"
	GroupNotTaken GroupOutcome = "not_taken" // nothing ran there; the parts were asked here
	GroupLost     GroupOutcome = "lost"      // the other instance, after it had taken it
)

// CountGroup counts one group.
func (s *ServiceMetrics) CountGroup(outcome GroupOutcome) { s.groups[outcome].Inc(1) }

// AttemptOutcome is how an attempt at a leaf ended.
type AttemptOutcome uint8

// The outcomes of attempts.
const (
	AttemptReply        AttemptOutcome = iota
	AttemptDeclined                    // the leaf says that it did not run it
	AttemptNoConnection                // none was made, or the attempt was recalled
	AttemptBroken                      // lost after it was sent
	AttemptDeadline                    // no reply in time
	AttemptCancelled                   // withdrawn: another answered, or the query ended
	attemptOutcomes
)

// attemptNames are the outcomes' labels.
var attemptNames = [attemptOutcomes]string{"reply", "declined", "no_connection", "broken", "deadline", "cancelled"}

// CountAttempt counts one attempt at a leaf.
func (s *ServiceMetrics) CountAttempt(outcome AttemptOutcome, queued time.Duration) {
	s.attempts[outcome].Inc(1)
	s.queue.RecordDuration(queued)
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
		queue:           s.Histogram("queue_seconds", latencyBuckets),
		groups:          make(map[GroupOutcome]tally.Counter),

		RepeatsRefused: s.Counter("repeats_refused"),
	}
	for _, outcome := range []GroupOutcome{GroupGathered, GroupNotTaken, GroupLost} {
		out.groups[outcome] = s.Tagged(map[string]string{"outcome": string(outcome)}).Counter("groups")
	}
	for i, outcome := range attemptNames {
		out.attempts[i] = s.Tagged(map[string]string{"outcome": outcome}).Counter("attempts")
	}
	return out
}

// CountRefusal counts a request that an instance refused before it found a service for it.
// The reasons are few and fixed.
func (m *Metrics) CountRefusal(reason string) {
	m.Scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}

// ObserveQuery counts one answered query, with the reason for which it is not complete;
// empty where it is. The reasons are the kernel's, few and fixed.
func (s *ServiceMetrics) ObserveQuery(outcome, reason string, took time.Duration) {
	s.scope.Tagged(map[string]string{"outcome": outcome}).Counter("queries").Inc(1)
	if reason != "" {
		s.scope.Tagged(map[string]string{"reason": reason}).Counter("incomplete").Inc(1)
	}
	s.latency.RecordDuration(took)
}
