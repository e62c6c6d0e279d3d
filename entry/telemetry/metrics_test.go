package telemetry

import (
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
			m.Service(name).ObserveQuery("complete", "", time.Millisecond)
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
