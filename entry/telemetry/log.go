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

// timeFormat is RFC 3339 with microseconds.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// queueLength bounds the records that wait for the sink.
const queueLength = 8192

// Decision is one routing or placement decision. It names no caller, body or key.
type Decision struct {
	Component string // the log prefix: "dispatch", "query", "placement"
	Event     string // "dispatch", "refuse", "hedge", "move", ...
	Query     uint64 // admission stamp
	Shard     string // upstream and range
	Leaf      string
	Reason    string
	Duration  time.Duration // a wait or a latency; 0 for none
	// Request is the caller's own name of the request, "" if it gave none.
	Request string
	// Extra are further keys and values.
	Extra []any
	// Class says which budget the line is taken from.
	Class Class
}

// Class ranks lines by what they are worth when not all can be written.
type Class uint8

// The classes. Each has a budget of its own, so that routine never keeps out
// what explains a failure.
const (
	Failure Class = iota // refusals, failures, partial answers, changes of belief
	Outcome              // answers that are complete and in time
	Routine              // what happens to each part of each query
	classes
)

// Budgets are the most lines a second of each class, in the order of the
// classes; 0 sets no bound.
type Budgets [classes]int

// Options say how logs are written.
type Options struct {
	Level string // debug, info, warn, error
	// Format is "text", "logfmt" or "json".
	Format string
	// LogDecisions turns the lines of routing and placement decisions on.
	LogDecisions bool
	// DecisionBudgets bound the lines of decisions.
	DecisionBudgets Budgets
}

// formatters are the library's, by the names of Options.Format; text is the
// default.
var formatters = map[string]log.Formatter{"text": log.TextFormatter, "logfmt": log.LogfmtFormatter, "json": log.JSONFormatter}

// Log is the queued logger. Close it to flush.
type Log struct {
	queue      chan *record
	done       chan struct{}
	drops      atomic.Int64
	limits     [classes]*rate.Limiter
	leftOut    [classes]atomic.Int64 // since the last line that reported them
	reportedAt atomic.Int64          // second in which that was
	decisions  bool
	level      log.Level
	formatter  log.Formatter
	closeOnce  sync.Once
	mu         sync.RWMutex
	closed     bool
}

// record is a line before it is formatted.
type record struct {
	at       time.Time
	level    log.Level
	part     string
	msg      string
	pairs    []any
	decision Decision
	raw      []byte // a line that is formatted already
}

// NewLog starts the writing goroutine on the sink.
func NewLog(sink io.Writer, o Options) (*Log, error) {
	level, err := log.ParseLevel(o.Level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", o.Level, err)
	}
	l := &Log{queue: make(chan *record, queueLength), done: make(chan struct{}), decisions: o.LogDecisions, level: level, formatter: formatters[o.Format]}
	for i, perSecond := range o.DecisionBudgets {
		l.limits[i] = rate.NewLimiter(rate.Inf, 0)
		if perSecond > 0 {
			l.limits[i] = rate.NewLimiter(rate.Limit(perSecond), perSecond)
		}
	}
	go l.write(newWriter(sink, o, level))
	return l, nil
}

// writer formats records with one logger per part.
type writer struct {
	sink  io.Writer
	base  *log.Logger
	parts map[string]*log.Logger
	now   time.Time
}

// newWriter makes the library's logger; its clock is the record's own time.
func newWriter(sink io.Writer, o Options, level log.Level) *writer {
	w := &writer{sink: sink, parts: make(map[string]*log.Logger)}
	w.base = log.NewWithOptions(sink, log.Options{
		Level: level, Formatter: formatters[o.Format], ReportTimestamp: true,
		TimeFormat:   timeFormat,
		TimeFunction: func(time.Time) time.Time { return w.now },
	})
	return w
}

// part returns the logger with the part's prefix.
func (w *writer) part(name string) *log.Logger {
	p, ok := w.parts[name]
	if !ok {
		p = w.base.WithPrefix(name)
		w.parts[name] = p
	}
	return p
}

// write is the writing goroutine.
func (l *Log) write(w *writer) {
	defer close(l.done)
	for r := range l.queue {
		w.now = r.at
		if r.raw != nil {
			_, _ = w.sink.Write(r.raw) // a log that can't be written has nowhere to say so
			continue
		}
		if r.decision.Event == "" {
			w.part(r.part).Log(r.level, r.msg, oneLine(r.pairs)...)
			continue
		}
		w.part(r.decision.Component).Log(r.level, r.decision.Event, r.decision.pairs()...)
	}
}

// lineBreaks joins the lines of a value, such as a list of faults. A record is
// one line, whatever an error or another program's answer holds.
var lineBreaks = regexp.MustCompile(`\s*[\r\n]+\s*`)

// oneLine takes the line breaks out of keys and values. The slice is the
// caller's and stays as it is.
func oneLine(pairs []any) []any {
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

// pairs lists the fields that are set.
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

// put queues a record or drops it.
func (l *Log) put(r record) {
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

// LogDecision logs one decision, if decisions are on.
func (l *Log) LogDecision(d Decision) {
	if !l.DecisionsEnabled() {
		return
	}
	now := time.Now()
	l.tellLeftOut(now)
	if !l.limits[d.Class].AllowN(now, 1) {
		l.leftOut[d.Class].Add(1)
		return
	}
	l.put(record{at: now, level: log.InfoLevel, decision: d})
}

// tellLeftOut logs, at most once a second, how many lines were over the budgets.
func (l *Log) tellLeftOut(now time.Time) {
	second := now.Unix()
	last := l.reportedAt.Load()
	if second == last || !l.reportedAt.CompareAndSwap(last, second) {
		return
	}
	failures, outcomes, routine := l.leftOut[Failure].Swap(0), l.leftOut[Outcome].Swap(0), l.leftOut[Routine].Swap(0)
	if failures+outcomes+routine == 0 {
		return
	}
	l.put(record{at: now, level: log.WarnLevel, part: "log", msg: "lines left out", pairs: []any{
		"failures", failures, "outcomes", outcomes, "routine", routine, "dropped", l.Dropped(),
	}})
}

// DecisionsEnabled reports whether decisions are logged, to save building them.
func (l *Log) DecisionsEnabled() bool { return l.decisions && l.level <= log.InfoLevel }

// Dropped is the number of records that found the queue full.
func (l *Log) Dropped() int64 { return l.drops.Load() }

// Close writes what is queued and ends the goroutine.
func (l *Log) Close() {
	l.closeOnce.Do(func() {
		l.mu.Lock()
		l.closed = true
		close(l.queue)
		l.mu.Unlock()
	})
	<-l.done
}

// Logger returns a logger of the library for a part that wants one. Its lines
// are formatted by the caller's goroutine and queued like all others.
func (l *Log) Logger(part string) *log.Logger {
	return log.NewWithOptions(lineQueue{l}, log.Options{Prefix: part, Level: l.level, Formatter: l.formatter, ReportTimestamp: true, TimeFormat: timeFormat})
}

// lineQueue queues formatted lines.
type lineQueue struct{ log *Log }

// Write implements io.Writer.
func (q lineQueue) Write(line []byte) (int, error) {
	q.log.put(record{raw: bytes.Clone(line)})
	return len(line), nil
}

// Component returns the logger of one part, whose name prefixes its lines.
func (l *Log) Component(name string) *ComponentLog { return &ComponentLog{log: l, name: name} }

// ComponentLog logs under a fixed prefix.
type ComponentLog struct {
	log  *Log
	name string
}

// Debug logs a line of interest to developers. Pairs are keys and values.
func (p *ComponentLog) Debug(msg string, pairs ...any) { p.put(log.DebugLevel, msg, pairs) }

// Info logs an ordinary event.
func (p *ComponentLog) Info(msg string, pairs ...any) { p.put(log.InfoLevel, msg, pairs) }

// Warn logs something that operators may want to look at.
func (p *ComponentLog) Warn(msg string, pairs ...any) { p.put(log.WarnLevel, msg, pairs) }

// Error logs something that operators must look at.
func (p *ComponentLog) Error(msg string, pairs ...any) { p.put(log.ErrorLevel, msg, pairs) }

func (p *ComponentLog) put(level log.Level, msg string, pairs []any) {
	if level < p.log.level {
		return
	}
	p.log.put(record{at: time.Now(), level: level, part: p.name, msg: msg, pairs: pairs})
}
