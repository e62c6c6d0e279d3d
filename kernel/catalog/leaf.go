package catalog

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Leaf is one registered leaf.
type Leaf struct {
	// ID is the name under which the leaf registers. A leaf that restarts may keep
	// it; Incarnation tells the runs apart.
	ID      string
	Service string
	Address string // IP:port
	Zone    string
	// Slots is the number of requests that the leaf runs concurrently.
	Slots    int
	Draining bool
	// WarmUpEnd is when the slow start of the leaf ends; it may be in the past.
	WarmUpEnd time.Time
	// StartMillis is the start time of the leaf by its own clock, in Unix milliseconds;
	// 0 if the leaf states none. It is compared with other start times of the same ID
	// only, never with the clock of this instance.
	StartMillis int64
	// Sequence counts the leaf's heartbeats since its start.
	Sequence int64
	// Revision is the store's revision at the last change of the entry; 0: unknown.
	Revision uint64
	// Restarts counts the restarts under the same ID that were detected by Sequence
	// alone. It is not read from the store.
	Restarts int
}

// Incarnation returns the identity of one run of the leaf: the ID, followed by the start
// time or else the number of restarts, if known.
func (l *Leaf) Incarnation() string {
	switch {
	case l.StartMillis != 0:
		return l.ID + "@" + strconv.FormatInt(l.StartMillis, 10)
	case l.Restarts != 0:
		return l.ID + "+" + strconv.Itoa(l.Restarts)
	default:
		return l.ID
	}
}

// Listing is one read of the list of leaves.
type Listing struct {
	Leaves []Leaf
	// Bad holds the entries that describe no usable leaf.
	Bad []BadEntry
	// Era and Revision are those of the store at the list. A store that is restored from an older
	// copy begins another era, in which it gives revisions out again.
	Era, Revision uint64
}

// BadEntry is an error that describes an unusable entry of the store.
type BadEntry struct {
	Name     string
	Revision uint64
	// Field is the invalid field; empty if the error is not due to a single field.
	Field  string
	Reason string
}

// Error implements error.
func (b *BadEntry) Error() string {
	return fmt.Sprintf("entry %q: %s: %s", b.Name, b.Field, b.Reason)
}

// Upper bounds for the values of an entry, far above those of a real leaf.
const (
	// maxNameBytes bounds names, in bytes. They appear in headers and log lines.
	maxNameBytes = 253
	// MaxSlots bounds the requests that a leaf runs concurrently.
	MaxSlots = 1 << 20
	// MaxWarmUp bounds the slow start of a leaf.
	MaxWarmUp = 24 * time.Hour
)

// Validate returns a *BadEntry for the first field with an invalid value, or nil.
func (l *Leaf) Validate() *BadEntry {
	switch {
	case !validHeaderToken(l.ID):
		return l.invalidField("id", "not a printable name")
	case !ValidName(l.Service):
		return l.invalidField("service", "not a printable name")
	case !ValidName(l.Zone):
		return l.invalidField("zone", "not a printable name")
	case !ValidAddress(l.Address):
		return l.invalidField("address", "not an IP address with a port")
	case l.Slots < 1 || l.Slots > MaxSlots:
		return l.invalidField("slots", "out of range")
	case l.Sequence < 0:
		return l.invalidField("sequence", "negative")
	case l.StartMillis < 0:
		return l.invalidField("born", "negative")
	}
	return nil
}

// invalidField returns the error for an invalid field of the leaf.
func (l *Leaf) invalidField(field, reason string) *BadEntry {
	return &BadEntry{Name: l.ID, Revision: l.Revision, Field: field, Reason: reason}
}

// ValidName reports whether a name is printable, not empty and at most maxNameBytes long.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// validHeaderToken reports whether a name may be used in a header: printable ASCII without
// spaces. Any other character in an ID would allow header injection, which could split a
// request to a leaf in two.
func validHeaderToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return ValidName(s)
}

// ValidAddress reports whether a string is an IP address with a port.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

// sortByID returns the leaves of a map, ordered by ID.
func sortByID(leaves map[string]Leaf) []Leaf {
	out := make([]Leaf, 0, len(leaves))
	for _, id := range slices.Sorted(maps.Keys(leaves)) {
		out = append(out, leaves[id])
	}
	return out
}

// HashLeaves returns a hash of the fields of leaves that matter to routing. It is never 0.
func HashLeaves(list []Leaf) uint64 {
	h := xxhash.New()
	var buf []byte
	for i := range list {
		buf = list[i].appendKey(buf[:0])
		_, _ = h.Write(buf) // never fails
	}
	return max(h.Sum64(), 1)
}

// appendKey appends an encoding of the fields that matter to routing. Fields are
// separated by a zero byte, which no valid name contains.
func (l *Leaf) appendKey(buf []byte) []byte {
	for _, s := range []string{l.Incarnation(), l.Service, l.Address, l.Zone} {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	buf = binary.AppendVarint(buf, int64(l.Slots))
	return strconv.AppendBool(buf, l.Draining)
}

// sameForRouting reports whether all fields that matter to routing are equal in two leaves.
func sameForRouting(a, b Leaf) bool {
	return a.Incarnation() == b.Incarnation() && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining
}
