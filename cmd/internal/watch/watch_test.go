package watch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// first and second are two readings of an instance, 2 s apart.
const (
	first = `# TYPE fuchsiaroad_hosted_config_version gauge
fuchsiaroad_hosted_config_version 7
# TYPE fuchsiaroad_query_requests counter
fuchsiaroad_query_requests{outcome="complete",service="a"} 100
fuchsiaroad_query_requests{outcome="partial",service="a"} 50
# TYPE fuchsiaroad_query_latency histogram
fuchsiaroad_query_latency_bucket{le="0.01"} 10
fuchsiaroad_query_latency_bucket{le="0.1"} 10
fuchsiaroad_query_latency_bucket{le="+Inf"} 10
fuchsiaroad_query_latency_sum 0.1
fuchsiaroad_query_latency_count 10
`
	second = `# TYPE fuchsiaroad_hosted_config_version gauge
fuchsiaroad_hosted_config_version 9
# TYPE fuchsiaroad_query_requests counter
fuchsiaroad_query_requests{outcome="complete",service="a"} 120
fuchsiaroad_query_requests{outcome="partial",service="a"} 4
# TYPE fuchsiaroad_query_latency histogram
fuchsiaroad_query_latency_bucket{le="0.01"} 70
fuchsiaroad_query_latency_bucket{le="0.1"} 109
fuchsiaroad_query_latency_bucket{le="+Inf"} 110
fuchsiaroad_query_latency_sum 3
fuchsiaroad_query_latency_count 110
`
)

// reading parses a text as of a moment.
func reading(t *testing.T, text string, at time.Time) *Reading {
	t.Helper()
	samples, err := Parse(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return &Reading{At: at, Samples: samples}
}

// TestChanges checks rates, a counter that began anew, and quantiles of what is new.
func TestChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	got := map[string]Change{}
	for _, c := range Changes(reading(t, first, now), reading(t, second, now.Add(2*time.Second))) {
		got[c.Series] = c
	}
	if c := got["fuchsiaroad_hosted_config_version"]; c.Value != 9 || c.Rate != 0 {
		t.Errorf("gauge %+v", c)
	}
	if c := got["fuchsiaroad_query_requests{outcome=complete,service=a}"]; c.Rate != 10 {
		t.Errorf("counter %+v, want 10 a second", c)
	}
	if c := got["fuchsiaroad_query_requests{outcome=partial,service=a}"]; c.Rate != 2 {
		t.Errorf("a counter that began anew: %+v, want 2 a second", c)
	}
	if c := got["fuchsiaroad_query_latency"]; c.Rate != 50 || c.P50 != 0.01 || c.P99 != 0.1 {
		t.Errorf("histogram %+v, want 50 a second, 0.01 and 0.1", c)
	}
}

// TestRead checks what an address may be and what fails.
func TestRead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/metrics":
			_, _ = w.Write([]byte(first))
		case "/broken":
			_, _ = w.Write([]byte("not metrics {"))
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	for _, tc := range []struct {
		address string
		fails   string
	}{
		{strings.TrimPrefix(server.URL, "http://"), ""},
		{server.URL + "/metrics", ""},
		{server.URL + "/none", "status 404"},
		{server.URL + "/broken", "metrics of"},
		{"127.0.0.1:1", "metrics of 127.0.0.1:1"},
	} {
		_, err := Read(context.Background(), server.Client(), tc.address)
		if tc.fails == "" && err != nil || tc.fails != "" && (err == nil || !strings.Contains(err.Error(), tc.fails)) {
			t.Errorf("%s: %v, want %q", tc.address, err, tc.fails)
		}
	}
}
