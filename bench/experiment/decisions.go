package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/bench/decisions"
)

// cost is what one decision costs.
type cost struct {
	Decision string `json:"decision"`
	Leaves   int    `json:"leaves"`
	NS       int64  `json:"ns"`
	Bytes    int64  `json:"bytes"`
	Allocs   int64  `json:"allocs"`
}

// writeDecisions measures every decision at every size, one after another.
func writeDecisions(out string) error {
	var costs []cost
	var b strings.Builder
	fmt.Fprintf(&b, "# decisions\n\nMade by `go run ./bench/experiment -set decisions` on %s/%s, %d cores, %s; wall-clock figures of a shared machine.\n\n",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	b.WriteString("| decision | leaves | ns | bytes | allocations |\n|---|---|---|---|---|\n")
	for _, d := range decisions.All {
		for _, n := range decisions.Sizes {
			r := testing.Benchmark(func(b *testing.B) {
				step := d.Make(n)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					step(i)
				}
			})
			c := cost{d.Name, n, r.NsPerOp(), r.AllocedBytesPerOp(), r.AllocsPerOp()}
			costs = append(costs, c)
			fmt.Fprintf(&b, "| %s | %d | %d | %d | %d |\n", c.Decision, c.Leaves, c.NS, c.Bytes, c.Allocs)
		}
	}
	b.WriteString("\n| leaves | state of an entry's machine, bytes a leaf |\n|---|---|\n")
	for _, n := range decisions.Sizes[1:] {
		fmt.Fprintf(&b, "| %d | %d |\n", n, decisions.State(n)/uint64(n))
	}
	data, err := json.MarshalIndent(costs, "", " ")
	if err != nil {
		return fmt.Errorf("encode decisions: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "decisions.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write decisions: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "decisions.md"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write decisions: %w", err)
	}
	fmt.Print(b.String())
	return nil
}
