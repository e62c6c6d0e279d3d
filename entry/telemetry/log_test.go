package telemetry

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// gatedSink blocks writes until the gate channel is closed.
type gatedSink struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *gatedSink) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

func (s *gatedSink) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// TestBlockedSinkDoesNotBlockLogging logs more than the queue holds to a blocked
// sink: no call blocks, and the records beyond the queue are counted as dropped.
func TestBlockedSinkDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := &gatedSink{gate: make(chan struct{})}
		l, err := NewLog(sink, Options{Level: "info", LogDecisions: true})
		if err != nil {
			t.Fatal(err)
		}
		const extra = 100
		for i := range queueLength + extra {
			l.LogDecision(Decision{Component: "dispatch", Event: "dispatch", Query: uint64(i)})
		}
		// The writing goroutine may have taken one record from the queue.
		if d := l.Dropped(); d < extra-1 || d > extra {
			t.Errorf("%d dropped, want %d", d, extra)
		}
		close(sink.gate)
		l.Close()
		if n := int64(strings.Count(sink.String(), "\n")); n != queueLength+extra-l.Dropped() {
			t.Errorf("%d lines written", n)
		}
		l.LogDecision(Decision{Component: "dispatch", Event: "late"}) // must not panic
	})
}

// TestLineFormat checks the prefix, fields, level and timestamp of written lines.
func TestLineFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var buf bytes.Buffer
		l, err := NewLog(&buf, Options{Level: "info", LogDecisions: true})
		if err != nil {
			t.Fatal(err)
		}
		l.Component("node").Debug("unseen")
		l.Component("node").Info("serving", "instance", "a")
		l.Logger("ledger").Warn("slow", "bucket", 3)
		l.LogDecision(Decision{Component: "query", Event: "answer", Query: 7, Reason: "complete", Duration: time.Millisecond})
		l.Close()
		want := "2000-01-01T00:00:00.000000Z INFO node: serving instance=a\n" +
			"2000-01-01T00:00:00.000000Z WARN ledger: slow bucket=3\n" +
			"2000-01-01T00:00:00.000000Z INFO query: answer query=7 why=complete took=1ms\n"
		if got := strings.ReplaceAll(buf.String(), "+00:00", "Z"); got != want {
			t.Errorf("got\n%swant\n%s", got, want)
		}
	})
}

// TestUnknownLevelIsRejected checks that the error names the unknown level.
func TestUnknownLevelIsRejected(t *testing.T) {
	if _, err := NewLog(io.Discard, Options{Level: "loud"}); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("error %v", err)
	}
}

// BenchmarkDecide measures what one decision line costs the goroutine that logs it.
func BenchmarkDecide(b *testing.B) {
	l, err := NewLog(io.Discard, Options{Level: "info", LogDecisions: true})
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	b.ReportAllocs()
	for b.Loop() {
		l.LogDecision(Decision{Component: "dispatch", Event: "dispatch", Query: 1, Shard: "titles 0-1", Leaf: "titles-0-0", Reason: "cheaper of two"})
	}
	b.ReportMetric(float64(l.Dropped())/float64(b.N), "drops/op")
}

// BenchmarkDecideWritten measures what one line costs the process until it is written
// as JSON, and what a line costs that is over its budget.
func BenchmarkDecideWritten(b *testing.B) {
	const batch = queueLength / 2
	line := Decision{
		Component: "dispatch", Event: "dispatch", Query: 1, Request: "9c41d07be2a35f68", Shard: "titles-7", Leaf: "i-7f3a91c2",
		Reason: "least delay, own zone", Class: Routine,
	}
	for _, bc := range []struct {
		name    string
		budgets Budgets
	}{{"written", Budgets{}}, {"left out", Budgets{Routine: 1}}} {
		b.Run(bc.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l, err := NewLog(io.Discard, Options{Level: "info", Format: "json", LogDecisions: true, DecisionBudgets: bc.budgets})
				if err != nil {
					b.Fatal(err)
				}
				for range batch {
					l.LogDecision(line)
				}
				l.Close()
				if l.Dropped() > 0 {
					b.Fatal("the queue was too short")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/batch, "ns/line")
		})
	}
}

// TestLinesBelowLevelAreDropped checks that neither messages nor decisions below the
// log level are written.
func TestLinesBelowLevelAreDropped(t *testing.T) {
	for _, tc := range []struct {
		level string
		want  string
	}{
		{"debug", "DEBU node: d|INFO node: i|WARN node: w|INFO query: answer query=7|"},
		{"info", "INFO node: i|WARN node: w|INFO query: answer query=7|"},
		{"warn", "WARN node: w|"},
	} {
		var sink bytes.Buffer
		l, err := NewLog(&sink, Options{Level: tc.level, LogDecisions: true})
		if err != nil {
			t.Fatal(err)
		}
		p := l.Component("node")
		p.Debug("d")
		p.Info("i")
		p.Warn("w")
		l.LogDecision(Decision{Component: "query", Event: "answer", Query: 7})
		if l.DecisionsEnabled() != strings.Contains(tc.want, "answer") {
			t.Errorf("level %s: decisions on is %v", tc.level, l.DecisionsEnabled())
		}
		l.Close()
		var got strings.Builder
		for line := range strings.Lines(sink.String()) {
			_, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			got.WriteString(rest + "|")
		}
		if got.String() != tc.want {
			t.Errorf("level %s: got %q, want %q", tc.level, got.String(), tc.want)
		}
	}
}

// TestRecordStaysOnOneLine logs an error and a string with line breaks. Without
// joining, the text after a break could pass for another record.
func TestRecordStaysOnOneLine(t *testing.T) {
	var sink bytes.Buffer
	l, err := NewLog(&sink, Options{Level: "info"})
	if err != nil {
		t.Fatal(err)
	}
	l.Component("control").Error("refused", "err", errors.New("invalid document: a\n  b\r\n  c\n"), "reason", "x\n2000-01-01 INFO node: forged", "generation", 3)
	l.Close()
	_, got, _ := strings.Cut(sink.String(), " ")
	want := `ERRO control: refused err="invalid document: a; b; c" reason="x; 2000-01-01 INFO node: forged" generation=3` + "\n"
	if got != want {
		t.Errorf("got  %swant %s", got, want)
	}
}
