package telemetry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// closeAndScrape closes m, which reports all values, and returns the text of /metrics.
func closeAndScrape(t *testing.T, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rec.Body.String()
}

// TestServicesDontShareInstruments counts queries of services whose names differ in
// one character. Sanitizing the names must not merge their instruments.
func TestServicesDontShareInstruments(t *testing.T) {
	m := NewMetrics()
	for i, name := range []string{"title-search", "title.search", "title_search"} {
		for range i + 1 {
			m.Service(name).ObserveQuery("complete", "", time.Millisecond)
		}
	}
	text := closeAndScrape(t, m)
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
