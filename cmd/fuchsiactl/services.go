package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// serviceLine is one query service in force.
type serviceLine struct {
	Name          string   `json:"name"`
	Upstreams     []string `json:"upstreams"`
	Shards        int      `json:"shards"`
	DeadlineMS    int64    `json:"deadline_ms"`
	LeastCoverage float64  `json:"least_coverage"`
	SettleMS      int64    `json:"settle_ms"`
	Idempotent    bool     `json:"idempotent"`
	HedgeBudget   float64  `json:"hedge_budget"`
	RetryBudget   float64  `json:"retry_budget"`
	KeyRequired   bool     `json:"key_required"`
}

// newServices builds the command that lists the query services in force.
func newServices(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "services",
		Short: "List the query services in force at an entry",
		Long:  "Services lists the query services of the configuration in force at an entry. It needs an operator's token.",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			doc, err := documentInForce(cmd, o)
			if err != nil {
				return err
			}
			lines := serviceLines(doc)
			return o.print(cmd.OutOrStdout(), lines, serviceTable(lines))
		},
	}
}

// serviceLines takes the services out of a document.
func serviceLines(doc *document.Document) []serviceLine {
	shards := map[string]int{}
	for i := range doc.Upstreams {
		shards[doc.Upstreams[i].Name] = len(doc.Upstreams[i].Shards)
	}
	lines := make([]serviceLine, 0, len(doc.Services))
	for i := range doc.Services {
		s := &doc.Services[i]
		line := serviceLine{
			Name: s.Name, Upstreams: s.Upstreams, DeadlineMS: s.Deadline.Milliseconds(),
			LeastCoverage: s.LeastCoverage, SettleMS: s.Settle.Milliseconds(), Idempotent: s.Idempotent,
			HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget, KeyRequired: s.KeyRequired,
		}
		for _, name := range s.Upstreams {
			line.Shards += shards[name]
		}
		lines = append(lines, line)
	}
	return lines
}

func serviceTable(lines []serviceLine) *table {
	t := &table{header: []string{"SERVICE", "UPSTREAMS", "SHARDS", "DEADLINE", "COVERAGE", "SETTLE", "IDEMPOTENT", "HEDGES", "RETRIES", "KEY"}}
	for _, l := range lines {
		t.add(l.Name, strings.Join(l.Upstreams, ","), strconv.Itoa(l.Shards), milliseconds(l.DeadlineMS),
			fmt.Sprintf("%.2f", l.LeastCoverage), milliseconds(l.SettleMS), yesNo(l.Idempotent),
			fmt.Sprintf("%.2f", l.HedgeBudget), fmt.Sprintf("%.2f", l.RetryBudget), keyWord(l.KeyRequired))
	}
	return t
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func keyWord(required bool) string {
	if required {
		return "required"
	}
	return "optional"
}
