package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shown returns the text of /metrics after what was counted has been reported.
func shown(t *testing.T, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil { // reports for the last time
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rec.Body.String()
}

// TestServicesDontShareInstruments counts for services whose names differ by
// one sign only.
func TestServicesDontShareInstruments(t *testing.T) {
	m := NewMetrics()
	for i, name := range []string{"title-search", "title.search", "title_search"} {
		for range i + 1 {
			m.Service(name).Observe("complete", time.Millisecond)
		}
	}
	text := shown(t, m)
	for _, want := range []string{
		`fuchsiaroad_queries{outcome="complete",service="title-search"} 1`,
		`fuchsiaroad_queries{outcome="complete",service="title.search"} 2`,
		`fuchsiaroad_queries{outcome="complete",service="title_search"} 3`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
}

// stuckSink takes nothing until it is released.
type stuckSink struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuckSink) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestStuckSinkHoldsNobodyUp fills the queue: lines are dropped and counted, and
// those that were queued are written when the sink goes on.
func TestStuckSinkHoldsNobodyUp(t *testing.T) {
	sink := &stuckSink{release: make(chan struct{})}
	l, err := NewLog(sink, Options{Level: "info", Decisions: true})
	if err != nil {
		t.Fatal(err)
	}
	const lines = queueLength + 100
	for range lines {
		l.Decide(Decision{Part: "dispatch", What: "dispatch"})
	}
	dropped := l.Dropped()
	if dropped < 99 || dropped > 100 { // the writer may have taken one
		t.Errorf("%d of %d lines dropped", dropped, lines)
	}
	close(sink.release)
	l.Close()
	if written := strings.Count(sink.String(), "\n"); int64(written)+dropped != lines {
		t.Errorf("%d written and %d dropped of %d", written, dropped, lines)
	}
	l.Part("node").Info("after the end") // is ignored
}

// TestLevelBoundsLines checks that neither parts nor decisions write below the level.
func TestLevelBoundsLines(t *testing.T) {
	for _, tc := range []struct {
		level string
		want  string
	}{
		{"debug", "DEBU node: d|INFO node: i|WARN node: w|INFO query: answer query=7|"},
		{"info", "INFO node: i|WARN node: w|INFO query: answer query=7|"},
		{"warn", "WARN node: w|"},
	} {
		var sink bytes.Buffer
		l, err := NewLog(&sink, Options{Level: tc.level, Decisions: true})
		if err != nil {
			t.Fatal(err)
		}
		p := l.Part("node")
		p.Debug("d")
		p.Info("i")
		p.Warn("w")
		l.Decide(Decision{Part: "query", What: "answer", Query: 7})
		if l.DecisionsOn() != strings.Contains(tc.want, "answer") {
			t.Errorf("level %s: decisions on is %v", tc.level, l.DecisionsOn())
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

// TestUnknownLevelIsNamed checks the error of a wrong level.
func TestUnknownLevelIsNamed(t *testing.T) {
	if _, err := NewLog(&bytes.Buffer{}, Options{Level: "loud"}); err == nil || !strings.Contains(err.Error(), `"loud"`) {
		t.Errorf("got %v", err)
	}
}
