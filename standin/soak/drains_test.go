package soak

import (
	"testing"
	"time"
)

// TestSoakOfLeavesThatAreRemoved removes leaves' entries without a drain mark while instances are
// killed and cut off from the store: the others used them on after the bound.
func TestSoakOfLeavesThatAreRemoved(t *testing.T) {
	playSoaks(t, []soakCase{{
		options: Options{Seed: 7303, For: 21 * time.Second, Instances: 12, Clients: 24, Profile: "leaving"},
		cause:   "instances took any gap between two reads for an outage, in which entries lapse",
	}})
}

// TestSoakOfStoreThatAnswersLate lets leaves leave while the store answers late, and is not out: reads
// that took longer than 0.3 s were given up, and the store taken to be out.
func TestSoakOfStoreThatAnswersLate(t *testing.T) {
	departures := []string{"leaf removal", "leaf drain"}
	playSoaks(t, []soakCase{
		{
			options: Options{Seed: 61, For: 12 * time.Second, Instances: 9, Clients: 24, Profile: "leaving", Bound: 3 * time.Second, Faults: departures, StoreDelay: 1400 * time.Millisecond},
			cause:   "a store whose answers always take longer than a read was never read",
		},
		{
			options: Options{Seed: 34, For: 15 * time.Second, Instances: 9, Clients: 24, Profile: "leaving", Bound: 3 * time.Second, Faults: append(departures, "store late")},
			cause:   "a read without an answer was taken for an outage",
		},
	})
}

// TestSoakOfRestoredStore lets the store come back from an older copy: drain marks with a lower revision
// than what was known were ignored.
func TestSoakOfRestoredStore(t *testing.T) {
	playSoaks(t, []soakCase{{
		options: Options{
			Seed: 66, For: 24 * time.Second, Instances: 9, Clients: 24, Profile: "leaving", Bound: 3 * time.Second,
			Faults: []string{"leaf removal", "leaf drain", "leaf removal", "leaf drain", "store restore"},
		},
		cause: "revisions of before and after the restore were compared",
	}})
}

// TestSoakOfLateHeartbeats has the store carry out heartbeats of leaves that drain late: they ended the
// drains.
func TestSoakOfLateHeartbeats(t *testing.T) {
	playSoaks(t, []soakCase{{
		options: Options{Seed: 71, For: 12 * time.Second, Instances: 6, Clients: 24, Profile: "leaving", Bound: 3 * time.Second, Faults: []string{"late heartbeat"}},
		cause:   "an entry with a lower sequence was taken for a restart, which ends a drain",
	}})
}

// TestArrivalsAfterDepartureAreCounted feeds the check with arrivals at a leaf that has left.
func TestArrivalsAfterDepartureAreCounted(t *testing.T) {
	left := time.Now()
	profile := profiles[defaultProfile]
	after := func(d time.Duration) time.Time { return left.Add(d) }
	late := profile.bound + time.Millisecond
	for _, tc := range []struct {
		name        string
		kind        kind
		leaf        string
		at          time.Duration // of the arrival, after the departure
		misdirected bool
		store       []span
		own, other  []span // disturbances of the instance that was asked, and of another one
		want        int
	}{
		{name: "in time", kind: kindOne, leaf: "l", at: profile.bound},
		{name: "late", kind: kindOne, leaf: "l", at: late, want: 1},
		{name: "late at another leaf", kind: kindOne, leaf: "m", at: late},
		{name: "rejected as another leaf's", kind: kindOne, leaf: "l", at: late, misdirected: true},
		{name: "instance disturbed shortly before", kind: kindOne, leaf: "l", at: late, own: []span{{left, left}}},
		{name: "instance disturbed long before", kind: kindOne, leaf: "l", at: late, own: []span{{after(-time.Minute), after(-contactTime)}}, want: 1},
		{name: "another instance disturbed", kind: kindOne, leaf: "l", at: late, other: []span{{left, left}}, want: 1},
		{name: "another instance disturbed, over shards", kind: kindSearch, leaf: "l", at: late, other: []span{{left, left}}},
		{name: "store disturbed as it left", kind: kindOne, leaf: "l", at: late, store: []span{{after(-time.Second), after(-time.Millisecond)}}},
		{name: "store disturbed as it left, late from then on", kind: kindOne, leaf: "l", at: late + contactTime, store: []span{{after(-time.Second), left}}, want: 1},
		{name: "store disturbed later", kind: kindOne, leaf: "l", at: late, store: []span{{after(time.Second), after(2 * time.Second)}}},
	} {
		asked, other := &instance{name: "a", disturbances: tc.own}, &instance{name: "b", disturbances: tc.other}
		r := &run{site: &site{
			profile: &profile, instances: []*instance{asked, other}, storeDisturbances: tc.store,
			departures: map[string]departure{"l": {at: left}},
		}}
		arrivals := []arrival{{at: after(tc.at), request: "q", leaf: tc.leaf, misdirected: tc.misdirected}}
		r.checkDrains(arrivals, []outcome{{request: "q", kind: tc.kind, instance: "a", sent: after(tc.at)}})
		if len(r.violations) != tc.want {
			t.Errorf("%s: %d violations, want %d: %v", tc.name, len(r.violations), tc.want, r.violations)
		}
	}
}
