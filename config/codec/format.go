package codec

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Format writes the canonical TOML form: every key present, in a fixed order,
// with tables sorted by name, shards by range and leaves by ID. Documents that
// mean the same have the same form.
func Format(doc *document.Document) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "site = %s\n", quote(doc.Site))
	for _, u := range sorted(doc.Upstreams, func(u document.Upstream) string { return u.Name }) {
		formatUpstream(&b, &u)
	}
	for _, s := range sorted(doc.Services, func(s document.Service) string { return s.Name }) {
		formatService(&b, &s)
	}
	for _, c := range sorted(doc.Callers, func(c document.Caller) string { return c.Name }) {
		formatCaller(&b, &c)
	}
	for _, r := range sorted(doc.Routes, func(r document.Route) string { return r.Name }) {
		formatRoute(&b, &r)
	}
	return []byte(b.String())
}

// sorted returns a copy in the order of the key.
func sorted[T any, K cmp.Ordered](in []T, key func(T) K) []T {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// formatUpstream writes an upstream, its shards by key and their leaves by id.
func formatUpstream(b *strings.Builder, u *document.Upstream) {
	b.WriteString("\n[[upstream]]\n")
	fmt.Fprintf(b, "name = %s\n", quote(u.Name))
	fmt.Fprintf(b, "key_space = %d\n", u.KeySpace)
	fmt.Fprintf(b, "connection_limit = %d\n", u.ConnectionLimit)
	fmt.Fprintf(b, "slots = %d\n", u.Slots)
	fmt.Fprintf(b, "dial_cost = %s\n", quote(u.DialCost.String()))
	for _, s := range sorted(u.Shards, func(s document.Shard) uint64 { return s.Range.From }) {
		fmt.Fprintf(b, "\n[[upstream.shard]]\nrange = %s\n", quote(s.Range.String()))
		for _, l := range sorted(s.Leaves, func(l document.Leaf) string { return l.ID }) {
			fmt.Fprintf(b, "[[upstream.shard.leaf]]\nid = %s\nzone = %s\naddress = %s\n", quote(l.ID), quote(l.Zone), quote(l.Address))
		}
	}
}

// formatService writes a service with all its keys, defaults too.
func formatService(b *strings.Builder, s *document.Service) {
	b.WriteString("\n[[service]]\n")
	fmt.Fprintf(b, "name = %s\n", quote(s.Name))
	fmt.Fprintf(b, "upstreams = %s\n", quoteList(s.Upstreams))
	fmt.Fprintf(b, "deadline = %s\n", quote(s.Deadline.String()))
	fmt.Fprintf(b, "least_coverage = %s\n", number(s.LeastCoverage))
	fmt.Fprintf(b, "settle = %s\n", quote(s.Settle.String()))
	fmt.Fprintf(b, "idempotent = %t\n", s.Idempotent)
	fmt.Fprintf(b, "hedge_budget = %s\n", number(s.HedgeBudget))
	fmt.Fprintf(b, "hedge_quantile = %s\n", number(s.HedgeQuantile))
	fmt.Fprintf(b, "retry_budget = %s\n", number(s.RetryBudget))
	fmt.Fprintf(b, "canary_above = %d\n", s.CanaryAbove)
	fmt.Fprintf(b, "key_required = %t\n", s.KeyRequired)
	fmt.Fprintf(b, "objective = %s\n", quote(s.Objective.String()))
	fmt.Fprintf(b, "priority = %d\n", s.Priority)
	fmt.Fprintf(b, "attempts = %d\n", s.Attempts)
}

// formatRoute writes a route and its targets by service.
func formatRoute(b *strings.Builder, r *document.Route) {
	b.WriteString("\n[[route]]\n")
	fmt.Fprintf(b, "name = %s\nhost = %s\nprefix = %s\n", quote(r.Name), quote(r.Host), quote(r.Prefix))
	for _, t := range sorted(r.Targets, func(t document.RouteTarget) string { return t.Service }) {
		fmt.Fprintf(b, "[[route.target]]\nservice = %s\nweight = %s\n", quote(t.Service), number(t.Weight))
	}
}

// formatCaller writes a caller with all its keys, defaults too.
func formatCaller(b *strings.Builder, c *document.Caller) {
	b.WriteString("\n[[caller]]\n")
	fmt.Fprintf(b, "name = %s\n", quote(c.Name))
	fmt.Fprintf(b, "token_sha256 = %s\n", quote(c.TokenSHA256))
	fmt.Fprintf(b, "share = %d\n", c.Share)
	fmt.Fprintf(b, "services = %s\n", quoteList(c.Services))
	fmt.Fprintf(b, "operator = %t\n", c.Operator)
}

// quote writes a TOML string. Validated strings hold plain ASCII only, for
// which Go's quoting is TOML's.
func quote(s string) string { return strconv.Quote(s) }

// quoteList writes a TOML array of strings, sorted.
func quoteList(in []string) string {
	parts := make([]string, len(in))
	for i, s := range slices.Sorted(slices.Values(in)) {
		parts[i] = quote(s)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// number writes a float with a decimal point, as TOML wants.
func number(f float64) string {
	s := strconv.FormatFloat(f, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}
