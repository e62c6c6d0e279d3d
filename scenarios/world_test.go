package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// worldKey is where a script keeps its world.
type worldKey struct{}

// callerName is the caller that the scripts' queries come from.
const callerName = "desk"

// world is what one script works on: a site, the answers to its queries, and
// its load.
type world struct {
	dir  string
	site *site.Site
	http *http.Client

	asked   atomic.Int64 // numbers the questions of a script
	mu      sync.Mutex
	answers []answer
	load    sync.WaitGroup
	stop    chan struct{} // ends the load; nil: there is none

	config configState
	drains map[string]time.Time // by leaf: when it began to drain
}

// answer is the end of one query.
type answer struct {
	Entry      string  `json:"entry"`
	Body       string  `json:"body"` // what was sent
	Key        string  `json:"key,omitempty"`
	Status     int     `json:"status"` // 0: no answer
	Outcome    string  `json:"outcome"`
	Version    uint64  `json:"version"`
	Share      float64 `json:"share"`
	Replayed   bool    `json:"replayed"`
	Reason     string  `json:"reason"`
	RetryAfter string  `json:"retry_after,omitempty"`
	Mixed      bool    `json:"mixed"`   // a result is of another version
	Foreign    bool    `json:"foreign"` // a result is of another question or range
	Err        string  `json:"err,omitempty"`
	results    []callerapi.Result
	missing    []callerapi.MissingPart
}

func newWorld(dir string) *world {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &world{dir: dir, drains: make(map[string]time.Time), http: &http.Client{Timeout: 30 * time.Second, Transport: transport}}
}

// close ends load and site.
func (w *world) close() {
	w.stopLoad()
	w.stopWatch()
	w.http.CloseIdleConnections()
	if w.site != nil {
		_ = w.site.Close()
	}
}

// params are key=value arguments with defaults.
type params map[string]string

func parseParams(args []string) (params, error) {
	p := make(params)
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			return nil, fmt.Errorf("want key=value, got %q", a)
		}
		p[k] = v
	}
	return p, nil
}

func (p params) str(key, def string) string {
	if v, ok := p[key]; ok {
		return v
	}
	return def
}

func (p params) int(key string, def int) (int, error) {
	v, ok := p[key]
	if !ok {
		return def, nil
	}
	return strconv.Atoi(v)
}

// siteSizes are the numbers of a script's site.
type siteSizes struct {
	entries, shards, replicas, slots, connections, meanUS, straggler int
}

// sizes reads the numbers.
func (p params) sizes() (siteSizes, error) {
	var s siteSizes
	for _, f := range []struct {
		dst *int
		key string
		def int
	}{
		{&s.entries, "entries", 2}, {&s.shards, "shards", 4}, {&s.replicas, "replicas", 2}, {&s.slots, "slots", 2},
		{&s.connections, "connections", 25}, {&s.meanUS, "mean_us", 2000}, {&s.straggler, "stragglers", 0},
	} {
		n, err := p.int(f.key, f.def)
		if err != nil {
			return s, fmt.Errorf("%s: %w", f.key, err)
		}
		*f.dst = n
	}
	return s, nil
}

// startSite starts a site with the services "ask" (idempotent) and "note" (not).
func (w *world) startSite(p params) error {
	n, err := p.sizes()
	if err != nil {
		return err
	}
	deadline, err := time.ParseDuration(p.str("deadline", "5s"))
	if err != nil {
		return err
	}
	canary, err := p.int("canary_above", 100)
	if err != nil {
		return err
	}
	port, err := site.FreePorts(n.shards*n.replicas + n.replicas)
	if err != nil {
		return err
	}
	doc := samples.Generate(samples.Sizes{
		Site: "scenario", Zones: []string{"zone-a", "zone-b", "zone-c"}, BasePort: port,
		Upstreams: []samples.UpstreamSizes{
			{Name: "titles", Shards: n.shards, Replicas: n.replicas, Slots: n.slots, ConnectionLimit: n.connections, DialCost: time.Millisecond},
			{Name: "notices", Shards: 1, Replicas: n.replicas, Slots: n.slots, ConnectionLimit: n.connections, DialCost: time.Millisecond},
		},
		Services: []document.Service{
			{Name: "ask", Upstreams: []string{"titles"}, Deadline: deadline, LeastCoverage: 0, Idempotent: true, HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.2, CanaryAbove: canary},
			{Name: "note", Upstreams: []string{"notices"}, Deadline: deadline, KeyRequired: true, HedgeQuantile: 0.95, RetryBudget: 0.2},
		},
		Callers: []document.Caller{
			{Name: callerName, TokenSHA256: samples.TokenSHA256(callerName), Share: 1, Services: []string{"ask", "note"}, Operator: true},
		},
	})
	w.config.document = doc
	w.config.highest = 1
	w.site, err = site.Start(site.Options{
		Dir: w.dir, Binaries: binaries, Document: doc, Entries: n.entries, Zones: []string{"zone-a", "zone-b", "zone-c"},
		ExtraSettings: p.str("settings", ""),
		Leaf: leaf.Settings{
			Queue: 64, Poison: "poison", RestartMS: 300, Seed: 1,
			Service: leaf.Service{MeanUS: int64(n.meanUS), StragglerShare: float64(n.straggler) / 100, StragglerFactor: 10},
		},
	})
	return err
}

// ask sends one query to an entry and keeps its answer.
func (w *world) ask(e *site.Entry, service, body, key string) answer {
	a := answer{Entry: e.ID, Body: body, Key: key}
	req, err := http.NewRequest(http.MethodPost, e.URL()+"/v1/services/"+service+"/query", strings.NewReader(body))
	if err != nil {
		a.Err = err.Error()
		return w.keep(a)
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token(callerName))
	if key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	resp, err := w.http.Do(req)
	if err != nil {
		a.Err = err.Error()
		return w.keep(a)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		a.Err = err.Error()
		return w.keep(a)
	}
	a.Status = resp.StatusCode
	a.RetryAfter = resp.Header.Get("Retry-After")
	a.read(data)
	return w.keep(a)
}

// read takes what the body says: an Answer or a Problem.
func (a *answer) read(data []byte) {
	var body callerapi.Answer
	var problem callerapi.Problem
	if json.Unmarshal(data, &body) != nil || json.Unmarshal(data, &problem) != nil {
		a.Err = "the body is no JSON"
		return
	}
	a.Outcome, a.Version, a.Share, a.Replayed, a.Reason = body.Outcome, body.Version, body.Share, body.Replayed, body.Reason
	a.results, a.missing = body.Results, body.Missing
	if a.Reason == "" {
		a.Reason = problem.Type
	}
	for _, r := range body.Results {
		a.check(r)
	}
}

// check compares a result with what it should be: of the answer's version, of
// its own question, and of the range that it is listed under.
func (a *answer) check(r callerapi.Result) {
	lines, err := leaf.ParseBody(r.Body)
	if err != nil {
		a.Foreign = true
		return
	}
	ranges := append([]keyrange.Range{r.Range}, r.MoreRanges...)
	for _, l := range lines {
		a.Mixed = a.Mixed || l.Version != a.Version
		a.Foreign = a.Foreign || l.Question != leaf.Hash([]byte(a.Body)) || l.Upstream != r.Upstream || !slices.Contains(ranges, l.Range)
	}
}

// keep adds an answer.
func (w *world) keep(a answer) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
	return a
}

// all returns the answers since the last forget.
func (w *world) all() []answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]answer(nil), w.answers...)
}

// loadOf is what the senders of a load ask.
type loadOf struct {
	service, body string
	same          bool // the same body again and again
}

// question is the body and key of a sender's n-th query.
func (l loadOf) question(sender int, n int64) (body, key string) {
	body = l.body
	if !l.same {
		body = fmt.Sprintf("%s-%d-%d", l.body, sender, n)
	}
	if l.service == "note" {
		key = body
	}
	return body, key
}

// startLoad sends queries from several senders, round robin over the entries,
// until stopLoad, as the balancer spreads them. A refused query isn't sent again.
func (w *world) startLoad(senders int, l loadOf, pause time.Duration) {
	if w.stop == nil {
		w.stop = make(chan struct{})
	}
	stop := w.stop
	first := w.asked.Add(1)
	for s := range senders {
		w.load.Go(func() {
			for n := first; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				entries := w.site.Balanced()
				if len(entries) == 0 {
					continue
				}
				body, key := l.question(s, n)
				w.ask(entries[(s+int(n))%len(entries)], l.service, body, key)
			}
		})
	}
}

// stopLoad ends the senders and waits for their last answers.
func (w *world) stopLoad() {
	if w.stop != nil {
		close(w.stop)
		w.stop = nil
	}
	w.load.Wait()
}
