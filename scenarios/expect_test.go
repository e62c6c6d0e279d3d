package scenarios

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
)

// cmdExpectOutcomes counts outcomes: expect-outcomes complete=5 partial>=1 none=0.
// "none" counts queries without an answer.
func cmdExpectOutcomes(w *world, ts *testscript.TestScript, args []string) error {
	counts := make(map[string]int)
	for _, a := range w.all() {
		if a.Outcome == "" {
			a.Outcome = "none"
		}
		counts[a.Outcome]++
	}
	ts.Logf("outcomes: %v", counts)
	for _, arg := range args {
		if err := compare(arg, counts); err != nil {
			w.logUnexpected(ts)
			return err
		}
	}
	return nil
}

// compare checks one "name=n", "name>=n" or "name<=n".
func compare(arg string, counts map[string]int) error {
	for _, op := range []string{">=", "<=", "="} {
		name, value, ok := strings.Cut(arg, op)
		if !ok {
			continue
		}
		want, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		got := counts[name]
		if (op == ">=" && got < want) || (op == "<=" && got > want) || (op == "=" && got != want) {
			return fmt.Errorf("want %s, got %d (all: %v)", arg, got, counts)
		}
		return nil
	}
	return fmt.Errorf("want name=n, name>=n or name<=n, got %q", arg)
}

// logUnexpected prints what did not go well.
func (w *world) logUnexpected(ts *testscript.TestScript) {
	shown := 0
	for _, a := range w.all() {
		if a.Outcome != "complete" && shown < 10 {
			shown++
			ts.Logf("%s: %+v", a.Body, a)
		}
	}
}

// cmdExpectCoverage bounds the share of every answer: expect-coverage MIN MAX.
func cmdExpectCoverage(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: expect-coverage MIN MAX")
	}
	least, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	most, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	n := 0
	for _, a := range w.all() {
		if a.Outcome != "complete" && a.Outcome != "partial" {
			continue
		}
		n++
		if a.Share < least || a.Share > most {
			return fmt.Errorf("%s covers %.3f, want %.3f to %.3f: %+v", a.Body, a.Share, least, most, a)
		}
	}
	if n == 0 {
		return errors.New("there is no answer with coverage")
	}
	return nil
}

// cmdExpectOwn checks that every result is of its answer's one version, its own
// question and its own range.
func cmdExpectOwn(w *world, _ *testscript.TestScript, _ []string) error {
	n := 0
	for _, a := range w.all() {
		if a.Mixed || a.Foreign {
			return fmt.Errorf("an answer is mixed or foreign: %+v", a)
		}
		n += len(a.results)
	}
	if n == 0 {
		return errors.New("there is no result to check")
	}
	return nil
}

// cmdExpectWhole checks that covered and missing ranges tile the key space, as
// the results show, and that the share says so. It is for one upstream.
func cmdExpectWhole(w *world, _ *testscript.TestScript, _ []string) error {
	for _, a := range w.all() {
		if a.Outcome != "complete" && a.Outcome != "partial" {
			continue
		}
		if err := a.tiles(); err != nil {
			return fmt.Errorf("%s: %w", a.Body, err)
		}
	}
	return nil
}

// keySpace is the key space of the scripts' upstreams.
const keySpace = 65536

// tiles compares results, missing ranges and share with each other.
func (a *answer) tiles() error {
	var covered, missing keyrange.Set
	for _, r := range a.results {
		for _, part := range append([]keyrange.Range{r.Range}, r.MoreRanges...) {
			if covered.Overlaps(part) {
				return fmt.Errorf("range %s is covered twice", part)
			}
			covered.Add(part)
		}
	}
	for _, m := range a.missing {
		if covered.Overlaps(m.Range) {
			return fmt.Errorf("range %s is covered and missing", m.Range)
		}
		if m.Reason == "" {
			return fmt.Errorf("range %s is missing without a reason", m.Range)
		}
		missing.Add(m.Range)
	}
	if covered.Size()+missing.Size() != keySpace {
		return fmt.Errorf("%d keys covered and %d missing, want %d in all", covered.Size(), missing.Size(), keySpace)
	}
	if want := float64(covered.Size()) / keySpace; a.Share < want-1e-9 || a.Share > want+1e-9 {
		return fmt.Errorf("share is %v, results cover %v", a.Share, want)
	}
	return nil
}

// runsOf counts, by the leaves' own records, how often each body was started.
func (w *world) runsOf() (map[string]int, error) {
	runs := make(map[string]int)
	for _, id := range w.site.LeafIDs() {
		record, err := w.site.LeafRecord(id)
		if err != nil {
			return nil, err
		}
		if record.Unrecorded > 0 {
			return nil, fmt.Errorf("leaf %s left %d executions out of its record", id, record.Unrecorded)
		}
		for _, x := range record.Bodies {
			runs[x.Key] += x.Started
		}
	}
	return runs, nil
}

// cmdExpectRuns counts executions of one body over all leaves: expect-runs BODY =N|<=N|>=N.
func cmdExpectRuns(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: expect-runs BODY =N|<=N|>=N")
	}
	runs, err := w.runsOf()
	if err != nil {
		return err
	}
	return compare(args[0]+args[1], map[string]int{args[0]: runs[leaf.Hash([]byte(args[0]))]})
}

// cmdExpectTruth compares all answers with the leaves' own records: what was
// only ever refused as not run has no execution, and a keyed request at most one.
func cmdExpectTruth(w *world, ts *testscript.TestScript, _ []string) error {
	runs, err := w.runsOf()
	if err != nil {
		return err
	}
	keyed := make(map[string]bool)
	other := make(map[string]bool) // bodies with any end but not_run
	for _, a := range w.all() {
		keyed[a.Body] = keyed[a.Body] || a.Key != ""
		other[a.Body] = other[a.Body] || a.Outcome != "not_run"
	}
	for body, isKeyed := range keyed {
		n := runs[leaf.Hash([]byte(body))]
		if !other[body] && n > 0 {
			return fmt.Errorf("%s was refused as not run and ran %d times", body, n)
		}
		if isKeyed && n > 1 {
			return fmt.Errorf("%s is not idempotent and ran %d times", body, n)
		}
	}
	ts.Logf("compared %d bodies with the leaves' records", len(keyed))
	return nil
}

// cmdExpectReplayed checks that every answer but the first per key was replayed
// or refused: expect-replayed KEY.
func cmdExpectReplayed(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: expect-replayed KEY")
	}
	fresh, replayed := 0, 0
	for _, a := range w.all() {
		switch {
		case a.Key != args[0]:
		case a.Replayed:
			replayed++
		case a.Outcome != "not_run" && a.Outcome != "":
			fresh++
		}
	}
	if fresh > 1 || replayed == 0 {
		return fmt.Errorf("%d fresh and %d replayed answers of key %s", fresh, replayed, args[0])
	}
	return nil
}

// cmdExpectRetryAfter checks that every refusal for want of room, of a leaf or
// of the store says when to come back.
func cmdExpectRetryAfter(w *world, _ *testscript.TestScript, _ []string) error {
	n := 0
	for _, a := range w.all() {
		if a.Status == 503 {
			n++
			if a.RetryAfter == "" {
				return fmt.Errorf("a refusal without Retry-After: %+v", a)
			}
		}
	}
	if n == 0 {
		return errors.New("there is no refusal to check")
	}
	return nil
}

// cmdExpectVersions checks that answers of all the versions came: expect-versions 1 2.
func cmdExpectVersions(w *world, _ *testscript.TestScript, args []string) error {
	seen := make(map[string]bool)
	for _, a := range w.all() {
		seen[strconv.FormatUint(a.Version, 10)] = true
	}
	for _, v := range args {
		if !seen[v] {
			return fmt.Errorf("no answer of version %s, there are %v", v, seen)
		}
	}
	return nil
}

// cmdExpectCrashes bounds what the leaves counted: crashes, and leaves that
// crashed at all: expect-crashes crashes<=N leaves<=N.
func cmdExpectCrashes(w *world, ts *testscript.TestScript, args []string) error {
	counts := make(map[string]int)
	for _, id := range w.site.LeafIDs() {
		stats, err := w.site.LeafStats(id)
		if err != nil {
			return err
		}
		if stats.Crashes > 0 {
			counts["crashes"] += int(stats.Crashes)
			counts["leaves"]++
		}
	}
	ts.Logf("crashed: %v", counts)
	for _, arg := range args {
		if err := compare(arg, counts); err != nil {
			return err
		}
	}
	return nil
}
