package statesync

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// versionOf is a configuration of many routes, of which one says the version.
func versionOf(version uint64) *catalog.Config {
	c := &catalog.Config{Version: version, Services: map[string]catalog.Service{"s": {Name: "s"}}}
	for i := range 300 {
		c.Routes = append(c.Routes, &catalog.Route{Name: fmt.Sprintf("r%d", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
	}
	c.Routes[17].Timeout = time.Duration(version) * time.Second
	return c
}

// TestVersionReachesPeersThatAreBehind sends a version to peers that have none, the one before, one that
// is long gone, and one that takes no changes.
func TestVersionReachesPeersThatAreBehind(t *testing.T) {
	var state *configState
	const newest = 10
	for version := uint64(1); version <= newest; version++ {
		state = newConfigState(versionOf(version), state)
	}
	for _, tc := range []struct {
		name    string
		base    *catalog.Config
		changes bool
		want    bool // a change
	}{
		{"none", nil, true, false}, {"one behind", versionOf(newest - 1), true, true}, {"long gone", versionOf(1), true, false},
		{"takes no changes", versionOf(newest - 1), false, false},
	} {
		receiver := Receiver{whole: !tc.changes}
		request := receiver.Request(tc.base)
		reply := peerapi.SyncReply{ConfigAgeMS: 1, LeavesAgeMS: 1, FleetAgeMS: unknownMS}
		state.write(&request, &reply)
		update, err := receiver.Take(&reply, tc.base, listStart, listStart)
		if err != nil || update.Config == nil || update.Config.Hash() != state.hash() {
			t.Errorf("%s: error %v", tc.name, err)
		}
		if got := reply.ConfigChange != nil; got != tc.want || got == (reply.Config != nil) {
			t.Errorf("%s: a change was sent: %v, want %v", tc.name, got, tc.want)
		}
		if tc.want && len(reply.ConfigChange) > 400 {
			t.Errorf("%s: the change of one route takes %d bytes", tc.name, len(reply.ConfigChange))
		}
	}
}

// TestChangeOfAnotherConfigurationIsNotTaken applies a change to a configuration that has the version
// and says something else: the next request asks for all of it.
func TestChangeOfAnotherConfigurationIsNotTaken(t *testing.T) {
	second := newConfigState(versionOf(2), newConfigState(versionOf(1), nil))
	other := versionOf(1)
	other.Routes[40].Attempts = 9
	var receiver Receiver
	request := receiver.Request(other)
	var reply peerapi.SyncReply
	second.write(&request, &reply)
	if _, err := receiver.Take(&reply, other, listStart, listStart); !errors.Is(err, errOtherConfig) {
		t.Fatalf("error %v, want %v", err, errOtherConfig)
	}
	request = receiver.Request(other)
	reply = peerapi.SyncReply{}
	second.write(&request, &reply)
	update, err := receiver.Take(&reply, other, listStart, listStart)
	if err != nil || update.Config == nil || update.Config.Hash() != second.hash() {
		t.Errorf("after the whole configuration was asked for: error %v", err)
	}
	if next := receiver.Request(other); !next.AcceptsChange {
		t.Error("changes are not asked for again")
	}
}

// TestVersionThatCannotBeSentConfirmsNoOther lets a configuration not be encoded: a peer that has another
// one must not take its own for the newest.
func TestVersionThatCannotBeSentConfirmsNoOther(t *testing.T) {
	config := versionOf(2)
	config.Routes[0].LeastCoverage = math.NaN()
	var receiver Receiver
	request := receiver.Request(versionOf(1))
	reply := peerapi.SyncReply{ConfigAgeMS: 1, LeavesAgeMS: 1, FleetAgeMS: unknownMS}
	newConfigState(config, nil).write(&request, &reply)
	update, err := receiver.Take(&reply, versionOf(1), listStart, listStart)
	if err != nil || update.Knows() {
		t.Errorf("the peer knows version %d by it, error %v", update.Version, err)
	}
}
