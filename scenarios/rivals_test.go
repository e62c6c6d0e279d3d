package scenarios

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// Two houses that must learn nothing of each other.
const (
	houseA = "house-alpha"
	houseB = "house-beta"
)

// startRivals starts a site whose upstream both houses share, each by a service
// of its own.
func startRivals(t *testing.T, dir string) *site.Site {
	t.Helper()
	port, err := site.FreePorts(4)
	if err != nil {
		t.Fatal(err)
	}
	service := func(name string, idempotent bool) document.Service {
		return document.Service{Name: name, Upstreams: []string{"lots"}, Deadline: 2 * time.Second, Idempotent: idempotent, KeyRequired: !idempotent, HedgeQuantile: 0.95, RetryBudget: 0.1}
	}
	doc := samples.Generate(samples.Sizes{
		Site: "rivals", Zones: []string{"hall-a"}, BasePort: port,
		Upstreams: []samples.UpstreamSizes{{Name: "lots", Shards: 2, Replicas: 2, Slots: 2, ConnectionLimit: 25, DialCost: time.Millisecond}},
		Services:  []document.Service{service("trace-1", true), service("trace-2", true), service("receipt-1", false), service("receipt-2", false)},
		Callers: []document.Caller{
			{Name: houseA, TokenSHA256: samples.TokenSHA256(houseA), Share: 1, Services: []string{"trace-1", "receipt-1"}},
			{Name: houseB, TokenSHA256: samples.TokenSHA256(houseB), Share: 1, Services: []string{"trace-2", "receipt-2"}},
			{Name: "operator", TokenSHA256: samples.TokenSHA256("operator"), Share: 1, Operator: true},
		},
	})
	s, err := site.Start(site.Options{
		Dir: dir, Binaries: binaries, Document: doc, Entries: 2, Zones: []string{"hall-a"},
		Leaf: leaf.Settings{Queue: 16, Poison: "poison", RestartMS: 200, Service: leaf.Service{MeanUS: 1000}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// send sends one request of a house and returns all that comes back.
func send(t *testing.T, e *site.Entry, house, service, body, key string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, e.URL()+"/v1/services/"+service+"/query", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token(house))
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	return answerOf(t, req)
}

// answerOf is status, headers and body of the answer to a request.
func answerOf(t *testing.T, req *http.Request) string {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(resp.Status, resp.Header, string(data))
}

// TestRivalsSeeNothingOfEachOther has one house send queries of every kind, also
// wrong, repeated and poisonous ones, and looks for any trace of them in what
// the other house and the public pages show, and in the logs.
func TestRivalsSeeNothingOfEachOther(t *testing.T) {
	dir := t.TempDir()
	s := startRivals(t, dir)
	defer func() { _ = s.Close() }()
	var seen strings.Builder
	for i := range 20 {
		e := s.Entries()[i%2]
		send(t, e, houseA, "trace-1", fmt.Sprintf("grove-of-alpha-%d", i), "")
		send(t, e, houseA, "receipt-1", fmt.Sprintf("grove-of-alpha-receipt-%d", i), fmt.Sprintf("alpha-key-%d", i%5))
		send(t, e, houseA, "receipt-1", "grove-of-alpha-other", fmt.Sprintf("alpha-key-%d", i%5))
		// The other house uses the same keys and bodies, and asks for the rival's services.
		seen.WriteString(send(t, e, houseB, "receipt-2", fmt.Sprintf("lot-%d", i), fmt.Sprintf("alpha-key-%d", i%5)))
		seen.WriteString(send(t, e, houseB, "trace-2", fmt.Sprintf("lot-%d", i), ""))
		seen.WriteString(send(t, e, houseB, "trace-1", "lot", ""))
	}
	send(t, s.Entries()[0], houseA, "trace-1", "poison grove-of-alpha", "")
	time.Sleep(1500 * time.Millisecond) // tally reports each second
	for _, e := range s.Entries() {
		for _, path := range []string{callerapi.PathMetrics, callerapi.PathStatus, callerapi.PathReadyz} {
			req, err := http.NewRequest(http.MethodGet, e.URL()+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			seen.WriteString(answerOf(t, req))
		}
		log, err := os.ReadFile(filepath.Join(dir, e.ID+".log"))
		if err != nil {
			t.Fatal(err)
		}
		seen.Write(log)
	}
	for _, trace := range []string{"grove-of-alpha", "alpha-key", houseA, samples.Token(houseA), samples.TokenSHA256(houseA), "poison"} {
		if i := strings.Index(seen.String(), trace); i >= 0 {
			t.Errorf("%q shows: %q", trace, seen.String()[max(i-80, 0):min(i+80, seen.Len())])
		}
	}
	for _, own := range []string{`"outcome":"complete"`, "fuchsiaroad_queries", "dispatch"} {
		if !strings.Contains(seen.String(), own) {
			t.Errorf("%q is missing: the test looked at nothing", own)
		}
	}
}

// TestRivalsKeysAreApart uses one key by both houses: each runs its own request.
func TestRivalsKeysAreApart(t *testing.T) {
	s := startRivals(t, t.TempDir())
	defer func() { _ = s.Close() }()
	e := s.Entries()[0]
	first := send(t, e, houseA, "receipt-1", "one", "same-key")
	second := send(t, e, houseB, "receipt-2", "two", "same-key")
	for house, answer := range map[string]string{houseA: first, houseB: second} {
		if !strings.Contains(answer, `"outcome":"complete"`) || strings.Contains(answer, "replayed") {
			t.Errorf("%s: %s", house, answer)
		}
	}
}
