package fleet

import (
	"cmp"
	"time"
)

// At the first start of the whole fleet no instance knows how many others there are: its
// first lists have only those that were announced by then. Until its list is known to be
// complete, an instance therefore has a provisional share of the repeats that depends only on
// the order of the announcements. The provisional shares of any number of instances add up to
// at most 1, whatever lists they hold. They are uneven, but clients hardly ask in these seconds.
const (
	// BootstrapStartSpread is the time within which all instances of the fleet start.
	BootstrapStartSpread = 300 * time.Millisecond
	// BootstrapJoinTime is the time since its start within which an instance must have been
	// announced to join at the bootstrap. After it the others may take their list for complete.
	BootstrapJoinTime = time.Second
	// bootstrapListDelay is the time since its own announcement after which an instance's
	// list has all that joined at the bootstrap.
	bootstrapListDelay = BootstrapStartSpread + BootstrapJoinTime
	// provisionalTime is the time since its announcement for which an instance may use its
	// provisional share. Every instance has a complete list within it.
	provisionalTime = 6 * time.Second
	// provisionalRest is the sum of all provisional shares but the first two.
	provisionalRest = 0.15
	// BootstrapKnownAfter is the time since the announcement of an instance that joins at the
	// bootstrap after which all others that use the allowance count it.
	BootstrapKnownAfter = bootstrapListDelay + provisionalTime
	// forwardingFactor is applied to the provisional share of an instance that forwards most
	// of its queries.
	forwardingFactor = 0.1
)

// leadingShares are the provisional shares of the two instances that were announced first.
// Most of the allowance is theirs: a series that shares it more evenly among any number of
// instances leaves most of it unused by two or three.
var leadingShares = [...]float64{0.5, 0.35}

// bootstrap is what an instance that joined at the bootstrap knows of that start.
type bootstrap struct {
	joinedAt time.Time
	// rank is this instance's place in the order of announcements, from 1 on, by the first
	// list that has it; 0: no list has it yet.
	rank int
	// complete says that a list was read late enough to have all that joined at the bootstrap.
	complete bool
	// forwards says that this instance forwards queries over many shards, by its first list.
	forwards bool
}

// observeList takes what the list in force, read at the given time, tells about the bootstrap.
func (b *bootstrap) observeList(f *Fleet, at time.Time) {
	if f.selfListed.Name == "" {
		return
	}
	if b.rank == 0 {
		b.rank = f.announcementRank()
		coordinators, includesSelf := f.concentratedCoordinators(minForwardShards)
		b.forwards = coordinators > 0 && !includesSelf
	}
	b.complete = b.complete || !b.joinedAt.IsZero() && !at.Before(b.joinedAt.Add(bootstrapListDelay))
}

// announcementRank returns this instance's place, from 1 on, in the order of announcements of
// the list in force, which has it.
func (f *Fleet) announcementRank() int {
	rank := 1
	for _, m := range f.members {
		if cmp.Or(cmp.Compare(m.instance.Revision, f.selfListed.Revision), cmp.Compare(m.instance.Name, f.self.Name)) < 0 {
			rank++
		}
	}
	return rank
}

// share returns this instance's share of the repeats for an upstream of that many shards,
// where listed is the one by the lists of the hold time.
func (b *bootstrap) share(listed float64, shards int, window time.Duration, now time.Time) float64 {
	age := now.Sub(b.joinedAt)
	switch {
	case b.complete && age >= BootstrapKnownAfter+window:
		return listed // what any instance sent by its provisional share is out of the window
	case b.complete:
		return min(listed, b.provisionalShare(shards))
	case age < provisionalTime:
		return b.provisionalShare(shards)
	default:
		return 0
	}
}

// provisionalShare is this instance's share while its list may be incomplete. The shares
// after the first two are provisionalRest/(k(k+1)), k = 1, 2, ..., which add up to provisionalRest.
func (b *bootstrap) provisionalShare(shards int) float64 {
	if b.rank == 0 {
		return 0
	}
	factor := 1.0
	if b.forwards && ShouldForward(shards) {
		factor = forwardingFactor
	}
	if b.rank <= len(leadingShares) {
		return factor * leadingShares[b.rank-1]
	}
	k := float64(b.rank - len(leadingShares))
	return factor * provisionalRest / (k * (k + 1))
}
