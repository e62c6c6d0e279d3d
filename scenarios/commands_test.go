package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// commands is the language of the scripts, besides testscript's own.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"site":              command(cmdSite),
	"query":             command(cmdQuery),
	"burst":             command(cmdBurst),
	"load":              command(cmdLoad),
	"resend":            command(cmdResend),
	"forget":            command(cmdForget),
	"entry":             command(cmdEntry),
	"platform":          command(cmdPlatform),
	"leaf":              command(cmdLeaf),
	"leaf-set":          command(cmdLeafSet),
	"leaving":           command(cmdLeaving),
	"sleep":             command(cmdSleep),
	"expect-outcomes":   command(cmdExpectOutcomes),
	"expect-coverage":   command(cmdExpectCoverage),
	"expect-own":        command(cmdExpectOwn),
	"expect-whole":      command(cmdExpectWhole),
	"expect-runs":       command(cmdExpectRuns),
	"expect-truth":      command(cmdExpectTruth),
	"expect-replayed":   command(cmdExpectReplayed),
	"expect-retryafter": command(cmdExpectRetryAfter),
	"expect-versions":   command(cmdExpectVersions),
	"expect-crashes":    command(cmdExpectCrashes),
	"config":            command(cmdConfig),
	"expect-saves":      command(cmdExpectSaves),
	"expect-config":     command(cmdExpectConfig),
	"expect-no-revert":  command(cmdExpectNoRevert),
	"roll":              command(cmdRoll),
	"drain":             command(cmdDrain),
	"expect-drained":    command(cmdExpectDrained),
	"expect-limits":     command(cmdExpectLimits),
	"split-leaves":      command(cmdSplitLeaves),
}

// command adapts a function that works on the script's world. A command can't
// be negated: each states what must hold.
func command(f func(w *world, ts *testscript.TestScript, args []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command can't be negated")
		}
		w := ts.Value(worldKey{}).(*world)
		if err := f(w, ts, args); err != nil {
			ts.Fatalf("%v", err)
		}
	}
}

// cmdSite starts the site: site [entries=N] [shards=N] [replicas=N] ...
func cmdSite(w *world, ts *testscript.TestScript, args []string) error {
	p, err := parseParams(args)
	if err != nil {
		return err
	}
	if err := w.startSite(p); err != nil {
		return err
	}
	entries := w.site.Entries()
	ts.Setenv("ENTRY", entries[0].Address)
	ts.Setenv("PLATFORM", w.site.PlatformURL)
	ts.Setenv("LEAVES", w.site.LeafControlURL)
	return nil
}

// queryParams are the arguments of query and burst.
type queryParams struct {
	service, body, key string
	entry, count       int // entry -1: round robin
	pause              time.Duration
	comesBack          bool // a refused request is sent again when it was told to
}

func parseQueryParams(args []string) (queryParams, error) {
	p, err := parseParams(args)
	if err != nil {
		return queryParams{}, err
	}
	q := queryParams{service: p.str("service", "ask"), body: p.str("body", ""), key: p.str("key", "")}
	if q.entry, err = p.int("entry", -1); err != nil {
		return q, err
	}
	if q.count, err = p.int("count", 1); err != nil {
		return q, err
	}
	q.comesBack = p.str("return", "") != ""
	q.pause, err = time.ParseDuration(p.str("pause", "0s"))
	return q, err
}

// one sends the i-th query of the command.
func (q queryParams) one(w *world, i int) error {
	entries := w.site.Entries()
	e := entries[i%len(entries)]
	if q.entry >= 0 {
		if e = w.site.Entry(q.entry); e == nil {
			return fmt.Errorf("no entry %d", q.entry)
		}
	}
	body, key := q.body, q.key
	if body == "" {
		body = fmt.Sprintf("question-%d", w.asked.Add(1))
	}
	if q.service == "note" && key == "" {
		key = body
	}
	a := w.ask(e, q.service, body, key)
	if !q.comesBack {
		return nil
	}
	return w.comeBack(e, q.service, a)
}

// returnsWithin is how often a refused caller comes back before the script gives up.
const returnsWithin = 10

// comeBack sends a refused request again after the time that its refusal states,
// until it is no longer refused.
func (w *world) comeBack(e *site.Entry, service string, a answer) error {
	for range returnsWithin {
		if a.Status != http.StatusServiceUnavailable {
			return nil
		}
		seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
		if err != nil {
			return fmt.Errorf("a refusal does not say when to come back: %+v", a)
		}
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		a = w.ask(e, service, a.Body, a.Key)
	}
	return fmt.Errorf("still refused after %d returns: %+v", returnsWithin, a)
}

// cmdQuery sends queries one after another:
// query [service=ask|note] [entry=N] [count=N] [pause=DURATION] [body=TEXT] [key=TEXT] [return=yes].
func cmdQuery(w *world, _ *testscript.TestScript, args []string) error {
	q, err := parseQueryParams(args)
	if err != nil {
		return err
	}
	for i := range q.count {
		if err := q.one(w, i); err != nil {
			return err
		}
		time.Sleep(q.pause)
	}
	return nil
}

// cmdBurst is query with all of them at once.
func cmdBurst(w *world, _ *testscript.TestScript, args []string) error {
	q, err := parseQueryParams(args)
	if err != nil {
		return err
	}
	errs := make([]error, q.count)
	var wg sync.WaitGroup
	for i := range q.count {
		wg.Go(func() { errs[i] = q.one(w, i) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cmdLoad sends queries in the background:
// load start [senders=N] [service=S] [body=PREFIX] [same=yes] [pause=D] | load stop.
func cmdLoad(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) == 1 && args[0] == "stop" {
		w.stopLoad()
		return nil
	}
	if len(args) == 0 || args[0] != "start" {
		return fmt.Errorf("usage: load start|stop")
	}
	p, err := parseParams(args[1:])
	if err != nil {
		return err
	}
	senders, err := p.int("senders", 4)
	if err != nil {
		return err
	}
	pause, err := time.ParseDuration(p.str("pause", "5ms"))
	if err != nil {
		return err
	}
	w.startLoad(senders, loadOf{p.str("service", "ask"), p.str("body", "load"), p.str("same", "") != ""}, pause)
	return nil
}

// resendersAtOnce bounds the resends in flight.
const resendersAtOnce = 16

// cmdResend sends every keyed request once more, to the next entry, as a caller
// does that heard nothing or was refused.
func cmdResend(w *world, _ *testscript.TestScript, _ []string) error {
	entries := w.site.Entries()
	places := make(chan struct{}, resendersAtOnce)
	var wg sync.WaitGroup
	for i, a := range w.all() {
		if a.Key == "" {
			continue
		}
		places <- struct{}{}
		wg.Go(func() {
			w.ask(entries[i%len(entries)], "note", a.Body, a.Key)
			<-places
		})
	}
	wg.Wait()
	return nil
}

// cmdForget drops the answers so far.
func cmdForget(w *world, _ *testscript.TestScript, _ []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = nil
	return nil
}

// cmdEntry acts on an entry: entry kill|restart|stop|freeze|resume|add|forget|ready N.
func cmdEntry(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: entry kill|restart|stop|freeze|resume|add|forget|ready N")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	if args[0] == "add" {
		e, err := w.site.AddEntry(n)
		if err != nil {
			return err
		}
		return e.WaitReady(20 * time.Second)
	}
	e := w.site.Entry(n)
	if e == nil {
		return fmt.Errorf("no entry %d", n)
	}
	switch args[0] {
	case "kill":
		e.Kill()
		return nil
	case "restart":
		if err := e.Restart(); err != nil {
			return err
		}
		return e.WaitReady(20 * time.Second)
	case "stop":
		return e.Stop()
	case "freeze":
		return e.Freeze()
	case "resume":
		return e.Resume()
	case "forget":
		return e.Forget()
	case "ready":
		return e.WaitReady(20 * time.Second)
	}
	return fmt.Errorf("unknown action %q", args[0])
}

// cmdPlatform changes faults of the platform: platform JSON.
func cmdPlatform(w *world, _ *testscript.TestScript, args []string) error {
	return w.site.PatchPlatform(json.RawMessage(strings.Join(args, " ")))
}

// leavesOf lists the leaves that a pattern names: an id, one with *, or all.
func leavesOf(s *site.Site, pattern string) ([]string, error) {
	var out []string
	for _, id := range s.LeafIDs() {
		match, err := path.Match(pattern, id)
		if err != nil {
			return nil, err
		}
		if pattern == "all" || match {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no leaf matches %q, there are %v", pattern, s.LeafIDs())
	}
	return out, nil
}

// cmdLeaf changes faults of leaves: leaf ID|PATTERN|all JSON.
func cmdLeaf(w *world, _ *testscript.TestScript, args []string) error {
	return patchLeaves(w, args, w.site.PatchLeafFaults)
}

// cmdLeafSet changes settings of leaves: leaf-set ID|PATTERN|all JSON.
func cmdLeafSet(w *world, _ *testscript.TestScript, args []string) error {
	return patchLeaves(w, args, w.site.PatchLeafSettings)
}

func patchLeaves(w *world, args []string, patch func(string, json.RawMessage) error) error {
	if len(args) < 2 {
		return fmt.Errorf("want a leaf and a JSON object")
	}
	ids, err := leavesOf(w.site, args[0])
	if err != nil {
		return err
	}
	for _, id := range ids {
		if err := patch(id, json.RawMessage(strings.Join(args[1:], " "))); err != nil {
			return err
		}
	}
	return nil
}

// cmdLeaving marks an instance in the platform's list: leaving ID [false].
func cmdLeaving(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: leaving ID [false]")
	}
	if err := w.site.SetLeaving(args[0], len(args) == 1); err != nil {
		return err
	}
	w.drains[args[0]] = time.Now()
	return nil
}

// cmdSleep waits: sleep DURATION.
func cmdSleep(_ *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("usage: sleep DURATION")
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(d)
	return nil
}
