package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/membership"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	"github.com/fuchsiaroad/fuchsiaroad/plugins/direct"
)

// epoch is where the machines' virtual time starts.
var epoch = time.Unix(1000, 0)

// instances is a list of so many entries and leaves.
func instances(entries, leaves int) []membership.Instance {
	var list []membership.Instance
	for i, id := range entryNames(entries) {
		list = append(list, membership.Instance{ID: id, Entry: true, PeerAddress: fmt.Sprintf("10.0.%d.%d:9001", i>>8, i&0xff)})
	}
	for i := range leaves {
		list = append(list, membership.Instance{ID: fmt.Sprintf("data-%d-0", i)})
	}
	return list
}

// newMember is an entry's membership that knows all entries, and of as
// many leaving leaves as a digest takes.
func newMember(entries int) *membership.Machine {
	cfg := membership.DefaultConfig(entryNames(1)[0], 1)
	m := membership.New(cfg)
	m.Handle(membership.ListRead{Instances: instances(entries, 0)}, epoch)
	for i := range cfg.MaxLeaving {
		m.Handle(membership.LeavingObserved{Leaf: fmt.Sprintf("data-%d-0", i)}, epoch)
	}
	for _, id := range entryNames(entries)[1:] {
		m.Handle(membership.DigestReceived{Digest: &membership.Digest{Instance: id, Generation: 1, Hash: hash}}, epoch)
	}
	return m
}

// hash has the length of a document's.
const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// wire is a digest as it is sent, with an empty quarantine.
func wire(d *membership.Digest) *peerapi.Digest {
	out := &peerapi.Digest{Instance: d.Instance, Zone: "zone-a", Generation: 1 << 20, Hash: hash}
	for _, l := range d.Leaving {
		out.DrainMarks = append(out.DrainMarks, peerapi.DrainMark{Leaf: l.Leaf, AgeMS: l.Age.Milliseconds()})
	}
	for _, g := range d.Generations {
		out.Generations = append(out.Generations, peerapi.InstanceGeneration{Instance: g.Instance, Generation: 1 << 20, AgeMS: g.Age.Milliseconds()})
	}
	return out
}

// entrySeries measures what an entry spends on the other entries.
func entrySeries() []Series {
	later := epoch.Add(time.Second)
	digest := func(n int) float64 { return bytesOf(wire(newMember(n).Digest(later))) }
	exchange := timed(func(n int) func() {
		m := newMember(n)
		digest := m.Digest(later)
		digest.Instance = entryNames(2)[1]
		return func() {
			m.Handle(membership.DigestReceived{Digest: digest}, later)
			data, _ := json.Marshal(wire(m.Digest(later)))
			var back peerapi.Digest
			_ = json.Unmarshal(data, &back)
		}
	})
	share := timed(func(n int) func() {
		p := direct.New(plugin.PlacementConfig{Headroom: direct.DefaultHeadroom})
		names := entryNames(n)
		return func() { p.Share("data-0-0", 25, names[0], names) }
	})
	plain := func(n int) float64 { return bytesOf(wire(newMember(n).Digest(epoch.Add(time.Hour)))) }
	return []Series{
		series("digest without leaving leaves", "B", "entries", entrySizes, plain),
		series("digest with 64 leaving leaves", "B", "entries", entrySizes, digest),
		series("digest: take one in, make one, encode and decode it", "us", "entries", entrySizes, exchange),
		series("membership, memory", "B", "entries", entrySizes, kept(newMember)),
		series("connection share of one leaf", "us", "entries", entrySizes, share),
	}
}

// platformList is the platform's answer for so many instances.
func platformList(n int) []byte {
	var list platformapi.Instances
	for i := range n {
		list.Instances = append(list.Instances, platformapi.Instance{
			ID: fmt.Sprintf("data-%d-0", i), Role: platformapi.RoleLeaf, Zone: "zone-a",
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&0xff, i&0xff), State: platformapi.StateLive,
		})
	}
	data, err := json.Marshal(list)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// listSeries measures one read of the platform's list of instances.
func listSeries() []Series {
	decode := timed(func(n int) func() {
		data := platformList(n)
		return func() {
			var list platformapi.Instances
			_ = json.Unmarshal(data, &list)
		}
	})
	take := timed(func(n int) func() {
		m, list := newMember(entriesOfToday), instances(entriesOfToday, n)
		return func() { m.Handle(membership.ListRead{Instances: list}, epoch) }
	})
	settle := timed(func(n int) func() {
		m := newMember(entriesOfToday)
		m.Handle(membership.ListRead{Instances: instances(entriesOfToday, n)}, epoch)
		return func() { m.Handle(membership.PeerFailed{Peer: "none"}, epoch) }
	})
	return []Series{
		series("list of instances, answer", "B", "instances", instanceSizes, func(n int) float64 { return float64(len(platformList(n))) }),
		series("list of instances, decode", "us", "instances", instanceSizes, decode),
		series("list of instances, take in", "us", "instances", instanceSizes, take),
		series("membership with the list, memory", "B", "instances", instanceSizes, kept(func(n int) *membership.Machine {
			m := newMember(entriesOfToday)
			m.Handle(membership.ListRead{Instances: instances(entriesOfToday, n)}, epoch)
			return m
		})),
		series("membership, any event", "us", "instances", instanceSizes, settle),
	}
}
