// Command capacity measures what the parts of an entry cost at growing sizes,
// and fits a line to each: processor time, memory and bytes for each leaf,
// entry, service or sub-request. docs/CAPACITY.md works with its results, which
// it writes to results/NAME.json and NAME.md.
//
//	go run ./bench/capacity -set state
//	go run ./bench/capacity -set spread
//	go build -o bin/ ./cmd/fuchsiaroad ./cmd/fuchsiactl
//	go run ./bench/capacity -set path -bin bin
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// Series is one cost at growing sizes, with its line.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"` // of a value
	Per    string  `json:"per"`  // what a size counts
	Points []Point `json:"points"`
	Line   Line    `json:"line"`
}

func main() {
	set := flag.String("set", "state", "what to measure: state (in this process), spread (in virtual time) or path (a site of processes)")
	out := flag.String("out", "bench/results", "folder for the results")
	bin := flag.String("bin", "bin", "folder with the two programs, for path")
	testing.Init()
	flag.Parse()
	if err := run(*set, *out, *bin); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures one set and writes its results.
func run(set, out, bin string) error {
	var series []Series
	var err error
	switch set {
	case "state":
		series, err = measureState()
	case "spread":
		series = measureSpread()
	case "path":
		series, err = measurePath(bin)
	default:
		return fmt.Errorf("set %q is unknown, want state, spread or path", set)
	}
	if err != nil {
		return err
	}
	return write(out, "capacity-"+set, set, series)
}

// write keeps the series as JSON and as a page, and prints the page.
func write(out, name, set string, series []Series) error {
	data, err := json.MarshalIndent(series, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(out, name+".json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	text := page(name, set, series)
	if err := os.WriteFile(filepath.Join(out, name+".md"), []byte(text), 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	fmt.Print(text)
	return nil
}

// page is the series as a table.
func page(name, set string, series []Series) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\nMade by `go run ./bench/capacity -set %s` on %s/%s, %d cores, %s; one run on a shared machine.\n",
		name, set, runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	b.WriteString("The line has the least squared relative errors; *off* is its largest relative distance from a point.\n\n")
	b.WriteString("| cost | unit | sizes | values | slope | intercept | off |\n|---|---|---|---|---|---|---|\n")
	for _, s := range series {
		var sizes, values []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%.0f", p.Size))
			values = append(values, short(p.Value))
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s | %.0f%% |\n", s.Name, s.Unit,
			strings.Join(sizes, ", "), s.Per, strings.Join(values, ", "), short(s.Line.Slope), short(s.Line.Intercept), 100*s.Line.worst(s.Points))
	}
	return b.String()
}

// short writes a figure with three digits.
func short(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
