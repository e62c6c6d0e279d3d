// Command experiment runs the whole experiments on routing, limits, queues and
// repetition in virtual time, and writes results/NAME.json and NAME.md.
//
//	go run ./bench/experiment -set overload
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/fuchsiaroad/fuchsiaroad/bench/burst"
)

func main() {
	set := flag.String("set", "", "experiment to run: "+strings.Join(names(), ", ")+", decisions or all")
	out := flag.String("out", "bench/results", "folder for the results")
	jobs := flag.Int("jobs", 3, "runs at once")
	flag.Parse()
	if err := run(*set, *out, *jobs); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// run runs one set or all of them.
func run(set, out string, jobs int) error {
	todo := []string{set}
	if set == "all" {
		todo = append(names(), "decisions")
	}
	for _, name := range todo {
		if name == "decisions" {
			if err := writeDecisions(out); err != nil {
				return err
			}
			continue
		}
		e, ok := sets[name]
		if !ok {
			return fmt.Errorf("set %q is unknown, want one of: %s", name, strings.Join(names(), ", "))
		}
		results, err := runAll(e.runs(), jobs)
		if err != nil {
			return fmt.Errorf("set %s: %w", name, err)
		}
		if err := write(out, name, e.about, results); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs the jobs, some at once, and keeps their order.
func runAll(todo []job, jobs int) ([]burst.Result, error) {
	results := make([]burst.Result, len(todo))
	errs := make([]error, len(todo))
	slots := make(chan struct{}, max(1, jobs))
	var wg sync.WaitGroup
	for i, j := range todo {
		wg.Go(func() {
			slots <- struct{}{}
			results[i], errs[i] = j.run()
			<-slots
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// write writes the results as JSON and as a table.
func write(out, name, about string, results []burst.Result) error {
	data, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(out, name+".json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\nMade by `go run ./bench/experiment -set %s`; virtual time, fixed seeds.\n\n", name, about, name)
	b.WriteString("| what | shards | load | refused | complete | useful | coverage | useful work | rate | busy | p50 ms | p99 ms | p99.9 ms | extra | sent per part | callers |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		b.WriteString(row(r))
	}
	b.WriteString(legend)
	if err := os.WriteFile(filepath.Join(out, name+".md"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	fmt.Print(b.String())
	return nil
}

// row writes one result; what is not measured of an oracle is left empty.
func row(r burst.Result) string {
	work, busy, repetition := fmt.Sprintf("%.3f", r.Work), fmt.Sprintf("%.3f", r.Busy), fmt.Sprintf("%.3f | %.3f", r.Extra, r.Starts)
	if r.Oracle {
		work, busy, repetition = "", "", " | "
	}
	return fmt.Sprintf("| %s | %d | %.1f | %.3f | %.3f | %.3f | %.3f | %s | %.3f | %s | %.1f | %.1f | %.1f | %s | %s |\n",
		r.Name, r.Shards, r.Load, r.Refused, r.Complete, r.Useful, r.Coverage, work, r.Rate, busy,
		r.P50MS, r.P99MS, r.P999MS, repetition, callers(r))
}

// callers writes the useful share of each of several callers.
func callers(r burst.Result) string {
	if r.Asks > 1 {
		return fmt.Sprintf("%.3f served, %.2f asks each", r.Served, r.Asks)
	}
	if len(r.Callers) < 2 {
		return ""
	}
	var parts []string
	for _, c := range r.Callers {
		parts = append(parts, fmt.Sprintf("%s %.3f", c.Name, c.InTime))
	}
	return strings.Join(parts, ", ")
}

// legend explains the columns.
const legend = `
Refused, complete (all shards in time) and useful (the least coverage in time)
are shares of the queries offered. Coverage and the latencies are of the queries
taken in; one that was not complete counts as the deadline, 200 ms. Useful work
is the slot time of the replies in useful answers over the capacity; rate is the
number of such replies times the mean work over the capacity, which exceeds 1
where short work is favoured. Extra is sub-requests that reached a leaf beyond
one for each covered part. An oracle's work, busy, extra and sent are not measured.
`
