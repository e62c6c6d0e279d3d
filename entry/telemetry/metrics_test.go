package telemetry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

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
