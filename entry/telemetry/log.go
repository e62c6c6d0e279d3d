// Package telemetry gives the entry its logs and metrics. Log records are
// queued and written by one goroutine, so that traffic never waits on a slow
// sink; records that find the queue full are dropped and counted.
package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// timestampFormat is RFC 3339 with microseconds.
const timestampFormat = "2006-01-02T15:04:05.000000Z07:00"

// queueLength is the maximum number of records that wait to be written.
const queueLength = 8192

// Decision is a log record of one routing or placement decision. It contains no
// caller names, request bodies or keys.
type Decision struct {
	Component string // the log prefix: "dispatch", "query", "placement"
	Event     string // "dispatch", "refuse", "hedge", "move", ...
	Query     uint64 // the query's number, assigned at admission
	Shard     string // upstream and range
	Leaf      string
	Reason    string
	Duration  time.Duration // a waiting time or a latency; 0 if there is none
	// Request is the caller's request ID; empty if it sent none.
	Request string
	// Extra holds further alternating keys and values.
	Extra []any
	// Class selects the rate budget that the line counts against.
	Class Class
}

// Class is a kind of decision line with a rate budget of its own.
type Class uint8

// The classes, the most important first. The budgets are separate so that
// routine lines can't crowd out the lines that explain a failure.
const (
	Failure Class = iota // refusals, failures, partial answers, changes of a leaf's assumed state
	Outcome              // complete answers within the deadline
	Routine              // each step of each sub-request
	Send                 // each request that is about to be written to a leaf
	classCount
)

// Budgets holds the maximum number of decision lines per second, indexed by
// Class; 0 means unlimited.
type Budgets [classCount]int

// Options configures a Log.
type Options struct {
	Level string // debug, info, warn, error
	// Format is "text", "logfmt" or "json".
	Format string
	// LogDecisions enables the lines for routing and placement decisions.
	LogDecisions bool
	// DecisionBudgets limits the rate of decision lines.
	DecisionBudgets Budgets
}

// formatters maps Options.Format to the formatters of the log library. An unknown
// format gives text, the zero value.
var formatters = map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}

// Log is an asynchronous logger. Close flushes it.
type Log struct {
	queue        chan *record
	done         chan struct{}
	drops        atomic.Int64
	limits       [classCount]*rate.Limiter
	overBudget   [classCount]atomic.Int64 // lines over budget since the last report
	lastReport   atomic.Int64             // time of the last report, in Unix seconds
	logDecisions bool
	level        log.Level
	formatter    log.Formatter
	closeOnce    sync.Once
	mu           sync.RWMutex
	closed       bool
}

// record is a queued line: a decision if its Event is set, otherwise a message, or
// a formatted line in raw.
type record struct {
	at        time.Time
	level     log.Level
	component string
	msg       string
	pairs     []any
	decision  Decision
	raw       []byte // a formatted line; nil if the other fields hold the record
}

// NewLog returns a Log and starts the goroutine that writes to sink. It returns an
// error if the level is unknown.
func NewLog(sink io.Writer, o Options) (*Log, error) {
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", o.Level, err)
	}
	l := &Log{queue: make(chan *record, queueLength), done: make(chan struct{}), logDecisions: o.LogDecisions, level: level, formatter: formatters[o.Format]}
	for i, perSecond := range o.DecisionBudgets {
		l.limits[i] = rate.NewLimiter(rate.Inf, 0)
		if perSecond > 0 {
			l.limits[i] = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		}
	}
	go l.writeRecords(newRecordWriter(sink, o, level))
	return l, nil
}

// recordWriter formats records and writes them to the sink, with one logger per
// component.
type recordWriter struct {
	sink       io.Writer
	base       *log.Logger
	components map[string]*log.Logger
	recordTime time.Time
}

// newRecordWriter returns a recordWriter whose timestamps are those of the records,
// not of the time of writing.
func newRecordWriter(sink io.Writer, o Options, level log.Level) *recordWriter {
	w := &recordWriter{sink: sink, components: make(map[string]*log.Logger)}
	w.base = log.NewWithOptions(sink, log.Options{
		Level: level, Formatter: formatters[o.Format], ReportTimestamp: true,
		TimeFormat:   timestampFormat,
		TimeFunction: func(time.Time) time.Time { return w.recordTime },
	})
	return w
}

// component returns the logger that prefixes lines with the component's name.
func (w *recordWriter) component(name string) *log.Logger {
	p, ok := w.components[name]
	if !ok {
		p = w.base.WithPrefix(name)
		w.components[name] = p
	}
	return p
}

// writeRecords writes queued records until the queue is closed.
func (l *Log) writeRecords(w *recordWriter) {
	defer close(l.done)
	for r := range l.queue {
		w.recordTime = r.at
		if r.raw != nil {
			_, _ = w.sink.Write(r.raw) // there is nowhere to report a failed log write
			continue
		}
		if r.decision.Event == "" {
			w.component(r.component).Log(r.level, r.msg, joinLines(r.pairs)...)
			continue
		}
		w.component(r.decision.Component).Log(r.level, r.decision.Event, r.decision.pairs()...)
	}
}

// lineBreaks matches line breaks and the white space around them. A record has to
// stay on one line even if a value, such as a list of errors or the reply of another
// program, spans several.
var lineBreaks = regexp.MustCompile(`\s*[\r\n]+\s*`)

// joinLines replaces line breaks in keys and values by "; ". It doesn't modify the
// slice, which belongs to the caller.
func joinLines(pairs []any) []any {
	out := pairs
	for i, p := range pairs {
		var text string
		switch p := p.(type) {
		case string:
			text = p
		case error:
			text = p.Error()
		case fmt.Stringer:
			text = p.String()
		}
		if !strings.ContainsAny(text, "\r\n") {
			continue
		}
		if &out[0] == &pairs[0] {
			out = slices.Clone(pairs)
		}
		out[i] = lineBreaks.ReplaceAllString(strings.TrimSpace(text), "; ")
	}
	return out
}

// pairs returns the fields that are set, and always the query, as alternating keys
// and values.
func (d *Decision) pairs() []any {
	out := make([]any, 0, 10)
	if d.Request != "" {
		out = append(out, "request", d.Request)
	}
	out = append(out, "query", strconv.FormatUint(d.Query, 10))
	if d.Shard != "" {
		out = append(out, "shard", d.Shard)
	}
	if d.Leaf != "" {
		out = append(out, "leaf", d.Leaf)
	}
	if d.Reason != "" {
		out = append(out, "why", d.Reason)
	}
	if d.Duration != 0 {
		out = append(out, "took", d.Duration)
	}
	return append(out, d.Extra...)
}

// enqueue queues a record. It drops the record, and counts it, if the queue is full.
// After Close it does nothing.
func (l *Log) enqueue(r record) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed {
		return
	}
	select {
	case l.queue <- &r:
	default:
		l.drops.Add(1)
	}
}

// LogDecision logs a decision if decision logging is enabled and the budget
// of its class allows it.
func (l *Log) LogDecision(d Decision) {
	if !l.DecisionsEnabled() {
		return
	}
	now := time.Now()
	l.reportOverBudget(now)
	if !l.limits[d.Class].AllowN(now, 1) {
		l.overBudget[d.Class].Add(1)
		return
	}
	l.enqueue(record{at: now, level: log.InfoLevel, decision: d})
}

// reportOverBudget logs, at most once a second, how many lines were suppressed by
// the budgets since the last report.
func (l *Log) reportOverBudget(now time.Time) {
	second := now.Unix()
	last := l.lastReport.Load()
	if second == last || !l.lastReport.CompareAndSwap(last, second) {
		return
	}
	failures, outcomes := l.overBudget[Failure].Swap(0), l.overBudget[Outcome].Swap(0)
	routine, sends := l.overBudget[Routine].Swap(0), l.overBudget[Send].Swap(0)
	if failures+outcomes+routine+sends == 0 {
		return
	}
	l.enqueue(record{at: now, level: log.WarnLevel, component: "log", msg: "lines left out", pairs: []any{
		"failures", failures, "outcomes", outcomes, "routine", routine, "sends", sends, "dropped", l.Dropped(),
	}})
}

// DecisionsEnabled reports whether decisions are logged, so that callers can skip
// building them.
func (l *Log) DecisionsEnabled() bool { return l.logDecisions && l.level <= log.InfoLevel }

// Dropped returns the number of records dropped because the queue was full.
func (l *Log) Dropped() int64 { return l.drops.Load() }

// Close writes the queued records and stops the writing goroutine.
func (l *Log) Close() {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		close(l.queue)
		l.mu.Unlock()
	})
	<-l.done
}

// Logger returns a logger of the log library for a component that needs that type.
// Its lines are formatted in the calling goroutine and queued like all others.
func (l *Log) Logger(component string) *log.Logger {
	return log.NewWithOptions(lineEnqueuer{l}, log.Options{Prefix: component, Level: l.level, Formatter: l.formatter, ReportTimestamp: true, TimeFormat: timestampFormat})
}

// lineEnqueuer is an io.Writer that queues formatted lines.
type lineEnqueuer struct{ log *Log }

// Write implements io.Writer.
func (q lineEnqueuer) Write(line []byte) (int, error) {
	q.log.enqueue(record{raw: bytes.Clone(line)})
	return len(line), nil
}

// Component returns a logger that prefixes its lines with the component's name.
func (l *Log) Component(name string) *ComponentLog { return &ComponentLog{log: l, name: name} }

// ComponentLog logs messages with a fixed prefix.
type ComponentLog struct {
	log  *Log
	name string
}

// Debug logs a message for developers. Pairs are alternating keys and values.
func (c *ComponentLog) Debug(msg string, pairs ...any) { c.enqueue(log.DebugLevel, msg, pairs) }

// Info logs an expected event.
func (c *ComponentLog) Info(msg string, pairs ...any) { c.enqueue(log.InfoLevel, msg, pairs) }

// Warn logs an event that operators may want to look at.
func (c *ComponentLog) Warn(msg string, pairs ...any) { c.enqueue(log.WarnLevel, msg, pairs) }

// Error logs an event that operators must look at.
func (c *ComponentLog) Error(msg string, pairs ...any) { c.enqueue(log.ErrorLevel, msg, pairs) }

// enqueue queues a message if its level is enabled.
func (c *ComponentLog) enqueue(level log.Level, msg string, pairs []any) {
	if level < c.log.level {
		return
	}
	c.log.enqueue(record{at: time.Now(), level: level, component: c.name, msg: msg, pairs: pairs})
}
