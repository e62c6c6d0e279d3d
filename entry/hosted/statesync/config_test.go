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

// newConfig returns a configuration of 300 routes, one of which depends on the version.
func newConfig(version uint64) *catalog.Config {
	c := &catalog.Config{Version: version, Services: map[string]catalog.Service{"s": {Name: "s"}}}
	for i := range 300 {
		c.Routes = append(c.Routes, &catalog.Route{Name: fmt.Sprintf("r%d", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
	}
	c.Routes[17].Timeout = time.Duration(version) * time.Second
	return c
}

// TestConfigSyncToPeersWithOtherVersions sends a configuration to a peer without one, with the
// previous version, with a version older than all bases, and to one that accepts no changes.
// Only the second is sent a change.
func TestConfigSyncToPeersWithOtherVersions(t *testing.T) {
	var state *configState
	const newest = 10
	for version := uint64(1); version <= newest; version++ {
		state = newConfigState(newConfig(version), state)
	}
	for _, tc := range []struct {
		name    string
		base    *catalog.Config
		changes bool
		want    bool // a change is sent
	}{
		{"none", nil, true, false}, {"one behind", newConfig(newest - 1), true, true}, {"long gone", newConfig(1), true, false},
		{"takes no changes", newConfig(newest - 1), false, false},
	} {
		receiver := Receiver{needWhole: !tc.changes}
		request := receiver.Request(tc.base)
		reply := peerapi.SyncReply{ConfigAgeMS: 1, LeavesAgeMS: 1, FleetAgeMS: unknownAgeMS}
		state.fillReply(&request, &reply)
		update, err := receiver.Apply(&reply, tc.base, listStart, listStart)
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

// TestChangeOfOtherConfigIsRejected applies a change to a configuration that has the same
// version as the base and other content. The next request must ask for the whole
// configuration.
func TestChangeOfOtherConfigIsRejected(t *testing.T) {
	second := newConfigState(newConfig(2), newConfigState(newConfig(1), nil))
	other := newConfig(1)
	other.Routes[40].Attempts = 9
	var receiver Receiver
	request := receiver.Request(other)
	var reply peerapi.SyncReply
	second.fillReply(&request, &reply)
	if _, err := receiver.Apply(&reply, other, listStart, listStart); !errors.Is(err, errConfigHashMismatch) {
		t.Fatalf("error %v, want %v", err, errConfigHashMismatch)
	}
	request = receiver.Request(other)
	reply = peerapi.SyncReply{}
	second.fillReply(&request, &reply)
	update, err := receiver.Apply(&reply, other, listStart, listStart)
	if err != nil || update.Config == nil || update.Config.Hash() != second.hash() {
		t.Errorf("after a request for the whole configuration: error %v", err)
	}
	if next := receiver.Request(other); !next.AcceptsChange {
		t.Error("changes are not asked for again")
	}
}

// TestUnencodableConfigConfirmsNothing sends a reply of an instance that can't encode its
// configuration. A peer with another configuration must not take its own for the newest.
func TestUnencodableConfigConfirmsNothing(t *testing.T) {
	config := newConfig(2)
	config.Routes[0].LeastCoverage = math.NaN()
	var receiver Receiver
	request := receiver.Request(newConfig(1))
	reply := peerapi.SyncReply{ConfigAgeMS: 1, LeavesAgeMS: 1, FleetAgeMS: unknownAgeMS}
	newConfigState(config, nil).fillReply(&request, &reply)
	update, err := receiver.Apply(&reply, newConfig(1), listStart, listStart)
	if err != nil || update.HasConfigAndLeaves() {
		t.Errorf("the reply confirms version %d, error %v", update.Version, err)
	}
}
