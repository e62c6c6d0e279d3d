package console

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// upstreamResource is a set of leaves that serve one key space.
type upstreamResource struct{}

func (upstreamResource) kind() string { return kindUpstream }

func (upstreamResource) values(doc *document.Document, name string) (url.Values, bool) {
	if name == "" {
		return url.Values{"key_space": {fmt.Sprint(codec.DefaultKeySpace)}, "dial_cost": {"0s"}}, true
	}
	for i := range doc.Upstreams {
		if u := &doc.Upstreams[i]; u.Name == name {
			return url.Values{
				"key_space":        {fmt.Sprint(u.KeySpace)},
				"connection_limit": {fmt.Sprint(u.ConnectionLimit)},
				"slots":            {fmt.Sprint(u.Slots)},
				"dial_cost":        {u.DialCost.String()},
				"shard":            {writeShards(u.Shards)},
			}, true
		}
	}
	return nil, false
}

func (upstreamResource) groups(_ *document.Document, values url.Values, name string) []group {
	return []group{
		{"Upstream", slices.Concat(nameField(values, name), []*field{
			text(values, "key_space", "Key space", "The number of keys; the shards cover them all, each once."),
		})},
		{"Each leaf", []*field{
			text(values, "connection_limit", "Connection limit", "The most connections a leaf accepts, from all instances together."),
			text(values, "slots", "Slots", "The number of requests a leaf runs at once."),
			text(values, "dial_cost", "Dial cost", "The usual time of a new connection, such as 6ms; up to 10s."),
		}},
		{"Shards", []*field{
			area(values, "shard", "Leaves", "One leaf a line: key range, leaf ID, availability zone, IP:port; such as 0-32768 trace-0 hall-a 10.0.0.1:9000. Leaves with the same range replicate it."),
		}},
	}
}

func (upstreamResource) put(doc *document.Document, name string, in *input) edit {
	c := copyOf(doc)
	item := document.Upstream{
		Name:            itemName(name, in, upstreamNames(c)),
		KeySpace:        in.size("key_space"),
		ConnectionLimit: in.whole("connection_limit"),
		Slots:           in.whole("slots"),
		DialCost:        in.duration("dial_cost"),
	}
	var lines [][]int
	item.Shards, lines = readShards(in, "shard")
	var at int
	c.Upstreams, at = place(c.Upstreams, item, name == "", func(u document.Upstream) string { return u.Name })
	return edit{doc: c, prefix: itemPath(kindUpstream, at), lines: lines}
}

func (upstreamResource) remove(doc *document.Document, name string) *document.Document {
	c := copyOf(doc)
	c.Upstreams = slices.DeleteFunc(c.Upstreams, func(u document.Upstream) bool { return u.Name == name })
	return c
}

// writeShards writes one line a leaf.
func writeShards(shards []document.Shard) string {
	var b strings.Builder
	for _, s := range shards {
		for _, l := range s.Leaves {
			fmt.Fprintf(&b, "%s %s %s %s\n", s.Range, l.ID, l.Zone, l.Address)
		}
	}
	return b.String()
}

// leafLine is a leaf and the line it stands on.
type leafLine struct {
	leaf document.Leaf
	line int
}

// leafWords is the number of words of a line.
const leafWords = 4

// readShards reads one line a leaf. Shards and leaves come in the order of the
// canonical form, with the line of each.
func readShards(in *input, field string) ([]document.Shard, [][]int) {
	byRange := map[keyrange.Range][]leafLine{}
	line := 0
	for text := range strings.Lines(in.values.Get(field)) {
		line++
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		if len(words) != leafWords {
			in.faults.addf(field, "line %d: want key range, leaf ID, zone and address, found %d words", line, len(words))
			continue
		}
		r, err := keyrange.Parse(words[0])
		if err != nil || r.Empty() {
			in.faults.addf(field, "line %d: %q is not a key range such as 0-32768", line, words[0])
			continue
		}
		byRange[r] = append(byRange[r], leafLine{document.Leaf{ID: words[1], Zone: words[2], Address: words[3]}, line})
	}
	return sortShards(byRange)
}

// sortShards orders shards by range and leaves by ID.
func sortShards(byRange map[keyrange.Range][]leafLine) ([]document.Shard, [][]int) {
	ranges := make([]keyrange.Range, 0, len(byRange))
	for r := range byRange {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, func(a, b keyrange.Range) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	var shards []document.Shard
	var lines [][]int
	for _, r := range ranges {
		leaves := byRange[r]
		slices.SortStableFunc(leaves, func(a, b leafLine) int { return cmp.Compare(a.leaf.ID, b.leaf.ID) })
		shard := document.Shard{Range: r}
		var at []int
		for _, l := range leaves {
			shard.Leaves = append(shard.Leaves, l.leaf)
			at = append(at, l.line)
		}
		shards, lines = append(shards, shard), append(lines, at)
	}
	return shards, lines
}
