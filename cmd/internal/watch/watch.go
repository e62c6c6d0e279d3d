// Package watch follows the metrics of several instances: it reads their text form
// and tells what changed between two readings.
package watch

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Sample is one series of an instance at one moment.
type Sample struct {
	// Kind says how it is shown.
	Kind Kind
	// Value is the number of a gauge or counter, and the count of a histogram.
	Value float64
	// Buckets are a histogram's counts up to each bound, in the order of the bounds.
	Buckets []Bucket
}

// Bucket is the number of values up to a bound, in seconds.
type Bucket struct{ Bound, Count float64 }

// Kind is a metric's kind.
type Kind string

// The kinds.
const (
	Gauge     Kind = "gauge"
	Counter   Kind = "counter"
	Histogram Kind = "histogram"
)

// Reading is what an instance says at one moment, by series.
type Reading struct {
	At      time.Time
	Samples map[string]Sample
}

// Read fetches the metrics of an address, IP:port or a URL.
func Read(ctx context.Context, client *http.Client, address string) (*Reading, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, metricsURL(address), nil)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", address, resp.StatusCode)
	}
	samples, err := Parse(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("metrics of %s: %w", address, err)
	}
	return &Reading{At: time.Now(), Samples: samples}, nil
}

// metricsURL completes an address.
func metricsURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address + "/metrics"
}

// Parse reads the text form.
func Parse(r io.Reader) (map[string]Sample, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, err
	}
	out := make(map[string]Sample)
	for name, family := range families {
		for _, m := range family.GetMetric() {
			if s, ok := sample(m); ok {
				out[series(name, m.GetLabel())] = s
			}
		}
	}
	return out, nil
}

// series names a metric with its labels.
func series(name string, labels []*dto.LabelPair) string {
	if len(labels) == 0 {
		return name
	}
	parts := make([]string, len(labels))
	for i, l := range labels {
		parts[i] = l.GetName() + "=" + l.GetValue()
	}
	slices.Sort(parts)
	return name + "{" + strings.Join(parts, ",") + "}"
}

// sample converts a metric; other kinds are not shown.
func sample(m *dto.Metric) (Sample, bool) {
	switch {
	case m.GetCounter() != nil:
		return Sample{Kind: Counter, Value: m.GetCounter().GetValue()}, true
	case m.GetGauge() != nil:
		return Sample{Kind: Gauge, Value: m.GetGauge().GetValue()}, true
	case m.GetHistogram() != nil:
		h := m.GetHistogram()
		s := Sample{Kind: Histogram, Value: float64(h.GetSampleCount())}
		for _, b := range h.GetBucket() {
			s.Buckets = append(s.Buckets, Bucket{Bound: b.GetUpperBound(), Count: float64(b.GetCumulativeCount())})
		}
		return s, true
	default:
		return Sample{}, false
	}
}

// Change is one series between two readings of an instance.
type Change struct {
	Series string `json:"series"`
	Kind   Kind   `json:"kind"`
	// Value is a gauge's last value.
	Value float64 `json:"value"`
	// Rate is the growth a second of a counter, or of a histogram's count.
	Rate float64 `json:"rate"`
	// P50 and P99 are bounds in seconds that so many of a histogram's new values do not
	// exceed; 0 when there are none.
	P50 float64 `json:"p50,omitempty"`
	P99 float64 `json:"p99,omitempty"`
}

// Changes compares two readings, in the order of the series. An instance that has
// started again in between counts from zero.
func Changes(before, after *Reading) []Change {
	seconds := after.At.Sub(before.At).Seconds()
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(after.Samples)) {
		s := after.Samples[name]
		c := Change{Series: name, Kind: s.Kind, Value: s.Value}
		old := before.Samples[name]
		if s.Kind != Gauge {
			if old.Value > s.Value {
				old = Sample{}
			}
			c.Rate = rate(s.Value-old.Value, seconds)
		}
		if s.Kind == Histogram {
			c.P50, c.P99 = quantile(old.Buckets, s.Buckets, 0.5), quantile(old.Buckets, s.Buckets, 0.99)
		}
		out = append(out, c)
	}
	return out
}

// rate is a growth a second.
func rate(growth, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return growth / seconds
}

// quantile is the least bound that the share of the new values does not exceed.
func quantile(before, after []Bucket, share float64) float64 {
	grown := make([]Bucket, len(after))
	for i, b := range after {
		grown[i] = Bucket{b.Bound, b.Count - countUpTo(before, b.Bound)}
	}
	if len(grown) == 0 || grown[len(grown)-1].Count <= 0 {
		return 0
	}
	want := share * grown[len(grown)-1].Count
	at, _ := slices.BinarySearchFunc(grown, want, func(b Bucket, want float64) int { return cmp.Compare(b.Count, want) })
	// Above the last bound nothing more is known.
	for ; at > 0 && (at == len(grown) || math.IsInf(grown[at].Bound, 1)); at-- {
	}
	return grown[at].Bound
}

// countUpTo is the count at a bound, 0 where there is no such bucket.
func countUpTo(buckets []Bucket, bound float64) float64 {
	for _, b := range buckets {
		if b.Bound == bound {
			return b.Count
		}
	}
	return 0
}
