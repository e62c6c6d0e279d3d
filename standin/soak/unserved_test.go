package soak

import (
	"strings"
	"testing"
	"time"
)

// TestUnservedRequestsAreGroupedByReason summarizes refused, cut and silent requests.
func TestUnservedRequestsAreGroupedByReason(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	request := func(k kind, status int, body string, took time.Duration, cut bool) *outcome {
		return &outcome{kind: k, status: status, body: body, sent: at, end: at.Add(took), instance: "front-1", cut: cut}
	}
	got := summarizeUnserved([]*outcome{
		request(kindOne, 200, "records", time.Millisecond, false),
		request(kindOne, 503, "too busy\n", 20*time.Millisecond, false),
		request(kindOne, 503, "too busy\n", 2*time.Second, false),
		request(kindSearch, 0, "", time.Second, true),
		request(kindSearch, 0, "", 2500*time.Millisecond, false),
	})
	want := []string{
		"2 one: 503 too busy: 1 within 50ms, 1 later; sent 03:04:05.000 to 03:04:05.000; 1 instances, most front-1 2",
		"1 search: connection closed: 1 within 1s; sent 03:04:05.000 to 03:04:05.000; 1 instances, most front-1 1",
		"1 search: no response: 1 later; sent 03:04:05.000 to 03:04:05.000; 1 instances, most front-1 1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestRareReasonsAreCounted has more reasons than the summary names.
func TestRareReasonsAreCounted(t *testing.T) {
	var outcomes []*outcome
	for i := range maxReasons + 2 {
		outcomes = append(outcomes, &outcome{kind: kindOne, status: 500 + i})
	}
	got := summarizeUnserved(outcomes)
	if want := "2 for 2 other reasons"; len(got) != maxReasons+1 || got[maxReasons] != want {
		t.Errorf("got %d lines, the last one %q, want %d and %q", len(got), got[len(got)-1], maxReasons+1, want)
	}
}
