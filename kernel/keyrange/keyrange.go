// Package keyrange has key ranges, half-open intervals of a key space, and sets of
// them, with operations such as union, intersection and difference. Package
// coverage computes the coverage of queries with it.
package keyrange

import (
	"fmt"
	"strconv"
	"strings"
)

// Range is the half-open interval [From, To) of a key space. A range with
// From >= To is empty.
type Range struct {
	From uint64 `json:"from" toml:"from"`
	To   uint64 `json:"to" toml:"to"`
}

// Empty reports whether the range holds no key.
func (r Range) Empty() bool { return r.From >= r.To }

// Size returns the number of keys in the range.
func (r Range) Size() uint64 {
	if r.Empty() {
		return 0
	}
	return r.To - r.From
}

// Overlaps reports whether the two ranges have a key in common.
func (r Range) Overlaps(o Range) bool {
	return !r.Empty() && !o.Empty() && r.From < o.To && o.From < r.To
}

// Contains reports whether every key of o is in r.
func (r Range) Contains(o Range) bool {
	return o.Empty() || (r.From <= o.From && o.To <= r.To)
}

// Intersect returns the range of the keys in both ranges, or the zero Range when
// there are none.
func (r Range) Intersect(o Range) Range {
	x := Range{From: max(r.From, o.From), To: min(r.To, o.To)}
	if x.Empty() {
		return Range{}
	}
	return x
}

// String returns the range as "from-to" in decimal, the format of Parse.
func (r Range) String() string {
	return strconv.FormatUint(r.From, 10) + "-" + strconv.FormatUint(r.To, 10)
}

// Parse parses the format of String. An empty or reversed range is an error.
func Parse(s string) (Range, error) {
	from, to, ok := strings.Cut(s, "-")
	if !ok {
		return Range{}, fmt.Errorf("key range %q: want from-to", s)
	}
	var r Range
	var err error
	if r.From, err = strconv.ParseUint(from, 10, 64); err != nil {
		return Range{}, fmt.Errorf("key range %q: from: %w", s, err)
	}
	if r.To, err = strconv.ParseUint(to, 10, 64); err != nil {
		return Range{}, fmt.Errorf("key range %q: to: %w", s, err)
	}
	if r.Empty() {
		return Range{}, fmt.Errorf("key range %q: from must be below to", s)
	}
	return r, nil
}

// FormatList returns ranges as "a-b,c-d", the format of ParseList.
func FormatList(rs []Range) string {
	parts := make([]string, len(rs))
	for i, r := range rs {
		parts[i] = r.String()
	}
	return strings.Join(parts, ",")
}

// ParseList parses a comma-separated list of ranges. The empty string is the empty list.
func ParseList(s string) ([]Range, error) {
	if s == "" {
		return nil, nil
	}
	var out []Range
	for part := range strings.SplitSeq(s, ",") {
		r, err := Parse(part)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
