package loss

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// maxShards bounds the shards that a row of the table names.
const maxShards = 3

// row is what the table says of a kind and a reason.
type row struct {
	kind   Kind
	reason string
	// requests had the reason among others; without would come back if it were gone alone.
	requests, without int
	shards            map[string]int
}

// rows counts losses by kind and reason, the most frequent first within a kind.
func (l *Losses) rows() []*row {
	type key struct {
		kind   Kind
		reason string
	}
	index := make(map[key]*row)
	for _, lost := range l.Lost {
		counted := make(map[string]bool)
		for _, c := range lost.Causes {
			r := index[key{lost.Kind, c.Reason}]
			if r == nil {
				r = &row{kind: lost.Kind, reason: c.Reason, shards: make(map[string]int)}
				index[key{lost.Kind, c.Reason}] = r
			}
			if c.Shard != "" {
				r.shards[c.Shard]++
			}
			if !counted[c.Reason] {
				counted[c.Reason] = true
				r.requests++
				if slices.Contains(lost.Without, c.Reason) {
					r.without++
				}
			}
		}
	}
	return slices.SortedFunc(maps.Values(index), func(a, b *row) int {
		return cmp.Or(
			cmp.Compare(slices.Index(Kinds, a.kind), slices.Index(Kinds, b.kind)),
			cmp.Compare(b.requests, a.requests), cmp.Compare(a.reason, b.reason),
		)
	})
}

// topShards names the shards that met a reason most often.
func (r *row) topShards() string {
	names := slices.SortedFunc(maps.Keys(r.shards), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.shards[b], r.shards[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, name := range names[:min(len(names), maxShards)] {
		out = append(out, fmt.Sprintf("%s %d", name, r.shards[name]))
	}
	if more := len(names) - maxShards; more > 0 {
		out = append(out, fmt.Sprintf("%d more", more))
	}
	return strings.Join(out, ", ")
}

// count is the number of losses of a kind.
func (l *Losses) count(k Kind) int {
	n := 0
	for _, lost := range l.Lost {
		if lost.Kind == k {
			n++
		}
	}
	return n
}

// Seconds counts losses by second and kind; the last second is that of the last loss.
func (l *Losses) Seconds() []map[Kind]int {
	var out []map[Kind]int
	for _, lost := range l.Lost {
		for len(out) <= lost.Second {
			out = append(out, make(map[Kind]int))
		}
		out[lost.Second][lost.Kind]++
	}
	return out
}

// WriteTable prints the losses by kind and reason and by second.
func (l *Losses) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%d requests, %d lost", l.Requests, len(l.Lost))
	for _, k := range Kinds {
		fmt.Fprintf(w, ", %d %s", l.count(k), k)
	}
	fmt.Fprintf(w, "; %d lines were left out of the logs\n\n", l.LeftOut)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "KIND\tREASON\tREQUESTS\tBACK WITHOUT IT\tSHARDS")
	for _, r := range l.rows() {
		fmt.Fprintf(tab, "%s\t%s\t%d\t%d\t%s\n", r.kind, r.reason, r.requests, r.without, r.topShards())
	}
	fmt.Fprintln(tab, "\nSECOND\t"+strings.ToUpper(joined(Kinds)))
	for second, counts := range l.Seconds() {
		if len(counts) == 0 {
			continue
		}
		fmt.Fprint(tab, second)
		for _, k := range Kinds {
			fmt.Fprintf(tab, "\t%d", counts[k])
		}
		fmt.Fprintln(tab)
	}
	return tab.Flush()
}

// joined lists kinds, parted by tabs.
func joined(kinds []Kind) string {
	var out []string
	for _, k := range kinds {
		out = append(out, string(k))
	}
	return strings.Join(out, "\t")
}

// WriteCSV writes a row for each cause of each loss.
func (l *Losses) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"second", "request", "service", "instance", "kind", "reason", "shard", "back_without_it"})
	for _, lost := range l.Lost {
		for _, c := range lost.Causes {
			back := slices.Contains(lost.Without, c.Reason)
			_ = out.Write([]string{strconv.Itoa(lost.Second), lost.Request, lost.Service, lost.Instance, string(lost.Kind), c.Reason, c.Shard, strconv.FormatBool(back)})
		}
	}
	out.Flush()
	return out.Error()
}
