package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/demo"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

func TestMain(m *testing.M) {
	// The environment of whoever runs the tests must not reach the commands.
	_ = os.Unsetenv(envEntry)
	_ = os.Unsetenv(envToken)
	goleak.VerifyTestMain(m)
}

// reply is a canned answer of an entry.
type reply struct {
	status  int
	problem bool
	body    string
}

// seen is a request that a fake entry got.
type seen struct {
	method, uri, key, deadline, token, body string
}

// recorder holds the last request that a fake entry got.
type recorder struct {
	mu   sync.Mutex
	last seen
}

func (r *recorder) set(s seen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = s
}

func (r *recorder) get() seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// entry serves canned replies by "METHOD path".
func entry(t *testing.T, replies map[string]reply) (address string, last *recorder) {
	t.Helper()
	last = &recorder{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		last.set(seen{r.Method, r.RequestURI, r.Header.Get(callerapi.HeaderIdempotencyKey),
			r.Header.Get(callerapi.HeaderDeadlineMS), r.Header.Get("Authorization"), string(body)})
		answer, ok := replies[r.Method+" "+r.URL.Path]
		if !ok {
			answer = reply{status: 404}
		}
		if answer.problem {
			w.Header().Set("Content-Type", "application/problem+json")
		}
		w.WriteHeader(answer.status)
		_, _ = io.WriteString(w, answer.body)
	}))
	t.Cleanup(func() {
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), last
}

// command runs a command line and returns its output and exit code.
func command(t *testing.T, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(t.Context(), args, &out, &errs)
	return out.String(), errs.String(), code
}

// golden compares with a file; the name is the test's.
func golden(t *testing.T, got string) {
	t.Helper()
	g := goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden"))
	g.Assert(t, strings.ReplaceAll(t.Name(), "/", "-"), []byte(got))
}

const partialAnswer = `{"request":"q1","outcome":"partial","version":7,"share":0.75,
"covered":[{"upstream":"titles","range":{"from":0,"to":75}}],
"missing":[{"upstream":"titles","range":{"from":75,"to":100},"reason":"timeout"}],
"results":[{"upstream":"titles","range":{"from":0,"to":75},"body":"aGVsbG8="}],
"timing":{"total_us":1500},"work":{"sent":3,"hedges":1,"retries":1}}`

func TestQuery(t *testing.T) {
	address, last := entry(t, map[string]reply{"POST /v1/services/advice/query": {status: 200, body: partialAnswer}})
	for _, output := range []string{"table", "json"} {
		t.Run(output, func(t *testing.T) {
			out, _, code := command(t, "query", "advice", "--entry", address, "--token", "secret", "--body", "title 12",
				"--key", "k1", "--deadline", "70ms", "--results", "-o", output)
			if code != exitOK {
				t.Errorf("exit code %d", code)
			}
			golden(t, out)
		})
	}
	want := seen{"POST", "/v1/services/advice/query", "k1", "70", "Bearer secret", "title 12"}
	if got := last.get(); got != want {
		t.Errorf("the entry got %+v", got)
	}
}

func TestExitCodes(t *testing.T) {
	problem := `{"status":503,"title":"The request was not run","outcome":"not_run","retry_after_ms":20}`
	address, _ := entry(t, map[string]reply{
		"POST /v1/services/failed/query":  {status: 502, body: `{"outcome":"failed","reason":"no leaf answered"}`},
		"POST /v1/services/notrun/query":  {status: 503, body: `{"outcome":"not_run"}`},
		"POST /v1/services/refused/query": {status: 503, problem: true, body: problem},
		"POST /v1/services/fault/query":   {status: 500, problem: true, body: `{"status":500,"title":"Internal error"}`},
		"POST /v1/services/unknown/query": {status: 504, body: `{"outcome":"unknown"}`},
		"POST /v1/services/cut/query":     {status: 200, body: `{"outcome":"comp`},
		"DELETE /v1/quarantine":           {status: 204},
	})
	for _, c := range []struct {
		args string
		code int
		text string // in the error
	}{
		{"query failed --entry " + address, exitFailed, "no leaf answered"},
		{"query notrun --entry " + address, exitNotRun, "not_run"},
		{"query refused --entry " + address, exitNotRun, "not run"},
		{"query fault --entry " + address, exitUnknown, "Internal error"},
		{"query unknown --entry " + address, exitUnknown, "unknown"},
		{"query cut --entry " + address, exitUnknown, "no answer"},
		{"query any --entry 127.0.0.1:1", exitNotRun, "no connection"},
		{"query any", exitUsage, "--entry"},
		{"query", exitUsage, "query"},
		{"query a b", exitUsage, "query"},
		{"query any --no-such", exitUsage, "no-such"},
		{"instances --entry " + address, exitNotRun, "404"},
		{"instances -o xml", exitUsage, "--output"},
		{"quarantine", exitUsage, "list or clear"},
		{"quarantine clear --entry " + address, exitUsage, "--all"},
		{"quarantine clear f1 --all --entry " + address, exitUsage, "--all"},
		{"quarantine clear f1 --entry " + address, exitOK, ""},
		{"no-such-command", exitUsage, "no-such-command"},
		{"", exitUsage, "command"},
		{"standin", exitUsage, "platform or leaf"},
		{"standin leaf --slots 0", exitUsage, "slots"},
		{"standin leaf --ranges 9-1", exitUsage, "--ranges"},
		{"standin leaf --count 0", exitUsage, "--count"},
		{"standin leaf --fleet no-such-file", exitUsage, "no-such-file"},
		{"standin platform --listen nowhere", exitUsage, "--listen"},
		{"load", exitUsage, "--entries"},
		{"load --entry x:1", exitUsage, "services"},
		{"load --entry x:1 --service a=b", exitUsage, "weight"},
		{"load --entry x:1 --service a --rate 0", exitUsage, "rate"},
		{"load --entry x:1 --service a --plot a.gif", exitUsage, "--plot"},
		{"demo --site lisbon", exitUsage, "lisbon"},
		{"demo --rate 0", exitUsage, "--rate"},
		{"demo --extra-settings no-such-file", exitUsage, "no-such-file"},
	} {
		_, stderr, code := command(t, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(stderr, c.text) {
			t.Errorf("%q: exit code %d, want %d; error %q, want %q in it", c.args, code, c.code, stderr, c.text)
		}
	}
}

func TestInstances(t *testing.T) {
	address, _ := entry(t, map[string]reply{"GET /v1/instances": {status: 200, body: `{"instances":[
		{"id":"entry-0","role":"entry","zone":"boa-vista","address":"10.0.0.1:80","state":"live"},
		{"id":"titles-0-1","role":"leaf","zone":"afogados","address":"10.0.0.2:80","state":"leaving"}]}`}})
	out, _, code := command(t, "instances", "--entry", address)
	if code != exitOK {
		t.Errorf("exit code %d", code)
	}
	golden(t, out)
}

func TestServices(t *testing.T) {
	doc := samples.Generate(samples.Sizes{
		Site: "test", Zones: []string{"a", "b"}, BasePort: 21000,
		Upstreams: []samples.UpstreamSizes{{Name: "titles", Shards: 3, Replicas: 2, Slots: 2, ConnectionLimit: 25}, {Name: "dossiers", Shards: 1, Replicas: 1, Slots: 2, ConnectionLimit: 25}},
		Services: []document.Service{
			{Name: "advice", Upstreams: []string{"titles", "dossiers"}, Deadline: 800 * time.Millisecond, LeastCoverage: 0.95,
				Settle: 300 * time.Millisecond, Idempotent: true, HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.1},
			{Name: "notice", Upstreams: []string{"dossiers"}, Deadline: 2 * time.Second, LeastCoverage: 1, HedgeQuantile: 0.95, KeyRequired: true},
		},
		Callers: []document.Caller{{Name: "operator", TokenSHA256: samples.TokenSHA256("operator"), Share: 1, Services: []string{"advice"}, Operator: true}},
	})
	state, err := json.Marshal(callerapi.ConfigState{Generation: 3, Document: string(codec.Format(doc))})
	if err != nil {
		t.Fatal(err)
	}
	address, _ := entry(t, map[string]reply{"GET /v1/config": {status: 200, body: string(state)}})
	for _, output := range []string{"table", "json"} {
		t.Run(output, func(t *testing.T) {
			out, stderr, code := command(t, "services", "--entry", address, "-o", output)
			if code != exitOK {
				t.Errorf("exit code %d: %s", code, stderr)
			}
			golden(t, out)
		})
	}
}

func TestQuarantine(t *testing.T) {
	address, last := entry(t, map[string]reply{
		"GET /v1/quarantine":    {status: 200, body: `{"quarantine":[{"fp":"00ff","level":2,"left_ms":60000}]}`},
		"DELETE /v1/quarantine": {status: 204},
	})
	out, _, _ := command(t, "quarantine", "list", "--entry", address)
	golden(t, out)
	command(t, "quarantine", "clear", "00ff", "--entry", address)
	if got := last.get(); got.uri != "/v1/quarantine?fp=00ff" {
		t.Errorf("clear asked %s %s", got.method, got.uri)
	}
	command(t, "quarantine", "clear", "--all", "--entry", address)
	if got := last.get(); got.uri != "/v1/quarantine" || got.method != http.MethodDelete {
		t.Errorf("clear --all asked %s %s", got.method, got.uri)
	}
}

func TestHelp(t *testing.T) {
	out, _, _ := command(t, "--help")
	for _, name := range []string{"completion", "config", "demo", "instances", "load", "quarantine", "query", "services", "standin", "version"} {
		if !strings.Contains(out, "\n  "+name+" ") {
			t.Errorf("the help does not list %s", name)
		}
	}
	for _, args := range []string{"query --help", "load --help", "standin leaf --help", "demo --help"} {
		t.Run(strings.ReplaceAll(args, " ", "_"), func(t *testing.T) {
			out, _, code := command(t, strings.Fields(args)...)
			if code != exitOK {
				t.Errorf("exit code %d", code)
			}
			golden(t, out)
		})
	}
}

// reports are made-up results of a load.
func reports() []loadgen.Report {
	sample := func(service int, resend bool, kind loadgen.Kind, ms int) loadgen.Sample {
		return loadgen.Sample{
			Arrival: loadgen.Arrival{Service: service, Resend: resend},
			Result:  loadgen.Result{Kind: kind, Share: 1, Covered: 20, Sent: 21, RetryAfter: time.Second},
			Latency: time.Duration(ms) * time.Millisecond, Lag: time.Millisecond,
		}
	}
	list := []loadgen.Sample{
		sample(0, false, loadgen.Complete, 40), sample(0, false, loadgen.Partial, 80), sample(0, false, loadgen.NotRun, 2),
		sample(1, false, loadgen.Complete, 10), sample(1, true, loadgen.Unknown, 3), sample(1, false, loadgen.Broken, 9),
	}
	list[1].Faults = []string{loadgen.FaultMixed}
	list[2].Refusals, list[2].RefusalWait = 1, 2*time.Millisecond
	return loadgen.Summarize(list, []loadgen.Service{{Name: "advice"}, {Name: "family-notice", Key: true}})
}

// text is a table as it is printed.
func text(t *testing.T, table *table) string {
	t.Helper()
	var b bytes.Buffer
	if err := table.write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestLoadTable(t *testing.T) { golden(t, text(t, loadTable(reports()))) }

func TestDemoTable(t *testing.T) {
	kept := &demo.Outcome{Leaves: 107, Phases: []demo.Phase{{Name: "opening burst", Reports: reports()}},
		Executions: loadgen.Executions{Keys: 9, Resends: 4, MaxPerKey: 1, Refused: 2},
		Platform:   demo.PlatformCalls{Reads: 300, Writes: 40, Limited: 2, Seconds: 26}}
	broken := *kept
	broken.Executions = loadgen.Executions{Keys: 9, MaxPerKey: 2, Refused: 2, RefusedButRan: 1, AnsweredNotRan: 1}
	broken.OverLimit = []string{"titles-0-0"}
	kept.Phases[0].Reports = kept.Phases[0].Reports[1:2]
	broken.Phases = []demo.Phase{{Name: "opening burst", Reports: reports()}}
	golden(t, text(t, demoTable(kept))+"\n"+text(t, demoTable(&broken)))
}

func TestLoadSendsAndReports(t *testing.T) {
	whole := `{"outcome":"complete","share":1,"work":{"sent":2},"results":[{},{}]}`
	address, last := entry(t, map[string]reply{"POST /v1/services/advice/query": {status: 200, body: whole}})
	plot := filepath.Join(t.TempDir(), "load.svg")
	out, stderr, code := command(t, "load", "--entry", address, "--tokens", "a,b", "--service", "advice=2,key",
		"--rate", "200", "--duration", "100ms", "--callers", "1", "--plot", plot, "-o", "json")
	var got []loadgen.Report
	if err := json.Unmarshal([]byte(out), &got); err != nil || code != exitOK {
		t.Fatalf("exit code %d, %v: %s%s", code, err, out, stderr)
	}
	total := got[len(got)-1]
	if total.Queries == 0 || total.Count(loadgen.Complete) != total.Queries || total.ExtraLoad != 0 {
		t.Errorf("got %+v", total)
	}
	if got := last.get(); got.key == "" || got.token != "Bearer a" {
		t.Errorf("the entry got %+v", got)
	}
	if drawn, err := os.ReadFile(plot); err != nil || !bytes.Contains(drawn, []byte("<svg")) {
		t.Errorf("no plot: %v", err)
	}
	_, stderr, code = command(t, "load", "--entry", address, "--service", "advice", "--rate", "200", "--duration", "50ms", "--verify-standin")
	if code != exitFailed || !strings.Contains(stderr, loadgen.FaultUnread) {
		t.Errorf("answers without data passed: exit code %d, %s", code, stderr)
	}
}

func TestStandinSaysWhereItListens(t *testing.T) {
	fleet := filepath.Join(t.TempDir(), "fleet.json")
	list := `[{"id":"a","listen":"127.0.0.1:0","slots":1,"versions":[1],"ranges":[{"from":0,"to":9}]}]`
	if err := os.WriteFile(fleet, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string][]string{
		"standin platform":                                 {"listening"},
		"standin leaf --count 3 --restart-ms 5":            {"listening", "listening", "listening", "control"},
		"standin leaf --fleet " + fleet:                    {"listening", "control"},
		"standin leaf --listen 127.0.0.1:0 --versions 1,2": {"listening", "control"},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		lines := &lineCounter{want: len(want), full: cancel}
		var stderr bytes.Buffer
		code := run(ctx, strings.Fields(args), lines, &stderr)
		cancel()
		if code != exitOK || len(lines.keys) != len(want) || strings.Join(lines.keys, " ") != strings.Join(want, " ") {
			t.Errorf("%s: exit code %d, lines %v, want %v: %s", args, code, lines.keys, want, stderr.String())
		}
	}
}

func TestManyLeavesCountPortsUp(t *testing.T) {
	for listen, want := range map[string]string{
		"127.0.0.1:21000": "127.0.0.1:21000 127.0.0.1:21001 127.0.0.1:21002",
		"127.0.0.1:0":     "127.0.0.1:0 127.0.0.1:0 127.0.0.1:0",
	} {
		f := leafFlags{listen: []string{listen}, count: 3, ranges: "0-9"}
		leaves, err := f.leaves()
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range leaves {
			got = append(got, l.Listen)
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%s: got %v", listen, got)
		}
	}
}

// lineCounter notes the first word of each line and calls full after so many.
type lineCounter struct {
	want int
	keys []string
	full func()
}

func (l *lineCounter) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		key, address, _ := strings.Cut(strings.TrimSpace(line), " ")
		if _, port, err := splitPort(address); err != nil || port == 0 {
			return 0, errors.New("no address in " + line)
		}
		l.keys = append(l.keys, key)
	}
	if len(l.keys) >= l.want {
		l.full()
	}
	return len(b), nil
}

// TestMetrics follows an instance that counts and one that is not there.
func TestMetrics(t *testing.T) {
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "# TYPE requests counter\nrequests %d\n# TYPE still counter\nstill 5\n# TYPE version gauge\nversion 3\n", 100*asked.Add(1))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errs bytes.Buffer
	if code := run(context.Background(), []string{"metrics", address, "127.0.0.1:1", "--every", "10ms", "--count", "2"}, &out, &errs); code != 0 {
		t.Fatalf("exit code %d: %s", code, errs.String())
	}
	text := out.String()
	for _, want := range []string{"INSTANCE", address, "requests", "/s", "version", "metrics of 127.0.0.1:1"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, "still") {
		t.Errorf("a counter that stands still is shown:\n%s", text)
	}
	for _, args := range [][]string{{"metrics"}, {"metrics", address, "--every", "0s"}, {"metrics", address, "--count", "-1"}} {
		if code := run(context.Background(), args, io.Discard, io.Discard); code != 2 {
			t.Errorf("%v: exit code %d, want 2", args, code)
		}
	}
	if code := run(context.Background(), []string{"metrics", "127.0.0.1:1", "--every", "1ms", "--count", "1"}, io.Discard, io.Discard); code != 1 {
		t.Error("no instance answered, and the command says that all is well")
	}
}
