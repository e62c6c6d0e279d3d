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
	// ID is the name under which the leaf registers. A leaf that starts again may
	// keep it; Incarnation tells the starts apart.
	ID      string
	Service string
	Address string // IP:port
	Zone    string
	// Slots is the number of requests that the leaf runs at once.
	Slots    int
	Draining bool
	// WarmUpEnd is when the leaf has got over its slow start; it may have passed.
	WarmUpEnd time.Time
	// StartMillis is the Unix millisecond of the leaf's start by its own clock; 0: the leaf
	// does not say. It is compared with other births of the same ID only, never with
	// the clock of this instance.
	StartMillis int64
	// Sequence counts the leaf's heartbeats since its start.
	Sequence int64
	// Revision is the store's revision at the last change of the entry; 0: unknown.
	Revision uint64
	// Restarts counts the starts under the same ID that only Sequence gave away. It
	// is not read from the store.
	Restarts int
}

// Incarnation names one start of the leaf: the ID, with the birth or the number of
// restarts where there is one.
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
	// Bad are the entries that describe no usable leaf.
	Bad []BadEntry
	// Revision is the store's revision of the list.
	Revision uint64
}

// BadEntry is an entry of the store that can't be used, with the field that is wrong.
type BadEntry struct {
	Name     string
	Revision uint64
	// Field is empty where no single field is to blame.
	Field  string
	Reason string
}

// Error implements error.
func (b *BadEntry) Error() string {
	return fmt.Sprintf("entry %q: %s: %s", b.Name, b.Field, b.Reason)
}

// Bounds of what an entry may state, far beyond what a real leaf states.
const (
	// longestName bounds names, in bytes. They appear in headers and log lines.
	longestName = 253
	// MaxSlots bounds the requests that a leaf runs at once.
	MaxSlots = 1 << 20
	// MaxWarmUp bounds a slow start.
	MaxWarmUp = 24 * time.Hour
)

// Validate returns a *BadEntry for the first field with a value that no leaf can have,
// or nil.
func (l *Leaf) Validate() *BadEntry {
	switch {
	case !validToken(l.ID):
		return l.bad("id", "not a printable name")
	case !ValidName(l.Service):
		return l.bad("service", "not a printable name")
	case !ValidName(l.Zone):
		return l.bad("zone", "not a printable name")
	case !ValidAddress(l.Address):
		return l.bad("address", "not an IP address with a port")
	case l.Slots < 1 || l.Slots > MaxSlots:
		return l.bad("slots", "out of range")
	case l.Sequence < 0:
		return l.bad("sequence", "negative")
	case l.StartMillis < 0:
		return l.bad("born", "negative")
	}
	return nil
}

// bad blames a field.
func (l *Leaf) bad(field, reason string) *BadEntry {
	return &BadEntry{Name: l.ID, Revision: l.Revision, Field: field, Reason: reason}
}

// ValidName reports whether a name is printable and of a bounded length.
func ValidName(s string) bool {
	if s == "" || len(s) > longestName || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// validToken reports whether a name may stand in a header: printable ASCII without
// spaces. Anything else in an ID could split a request to a leaf in two.
func validToken(s string) bool {
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

// sorted returns leaves in the order of their IDs.
func sorted(leaves map[string]Leaf) []Leaf {
	out := make([]Leaf, 0, len(leaves))
	for _, id := range slices.Sorted(maps.Keys(leaves)) {
		out = append(out, leaves[id])
	}
	return out
}

// HashLeaves is a hash of what a list of leaves means to routing; never 0.
func HashLeaves(list []Leaf) uint64 {
	h := xxhash.New()
	var buf []byte
	for i := range list {
		buf = list[i].appendKey(buf[:0])
		_, _ = h.Write(buf) // never fails
	}
	return max(h.Sum64(), 1)
}

// appendKey appends what a leaf means to routing. No valid name has the byte between
// the fields.
func (l *Leaf) appendKey(buf []byte) []byte {
	for _, s := range []string{l.Incarnation(), l.Service, l.Address, l.Zone} {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	buf = binary.AppendVarint(buf, int64(l.Slots))
	return strconv.AppendBool(buf, l.Draining)
}

// sameForRouting reports whether two readings of a leaf mean the same to routing.
func sameForRouting(a, b Leaf) bool {
	return a.Incarnation() == b.Incarnation() && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Slots == b.Slots && a.Draining == b.Draining
}
