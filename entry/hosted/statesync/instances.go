package statesync

import (
	"fmt"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// instanceRecord is an instance as instances send each other of it.
type instanceRecord struct {
	Name, Zone, Peer string
	Power            float64 `json:",omitempty"`
	// Mark is that of the last announcement which the sender has seen.
	Mark uint64
}

// Instances is the list of instances that this instance sends to others. It is immutable.
type Instances struct {
	// Hash is that of the list, which marks do not change.
	Hash   uint64
	packed []byte
}

// NewInstances encodes a list.
func NewInstances(list []fleet.Instance) (*Instances, error) {
	records := make([]instanceRecord, 0, len(list))
	for _, i := range list {
		records = append(records, instanceRecord{Name: i.Name, Zone: i.Zone, Peer: i.PeerAddress, Power: i.CPUs, Mark: i.AnnouncementID})
	}
	packed, err := pack(records)
	if err != nil {
		return nil, err
	}
	return &Instances{Hash: fleet.HashInstances(list), packed: packed}, nil
}

// Write fills in the list where it differs from the one with the given hash.
func (i *Instances) Write(from uint64, out *peerapi.SyncReply) {
	out.FleetHash = i.Hash
	if i.Hash != from {
		out.Instances = i.packed
	}
}

// decodeInstances reads a list of instances; nil: it is the one asked with. An entry that
// can't be used names no instance, and the others hold.
func decodeInstances(reply *peerapi.SyncReply) ([]fleet.Instance, error) {
	if reply.Instances == nil {
		return nil, nil
	}
	var records []instanceRecord
	if err := unpack(reply.Instances, &records); err != nil {
		return nil, fmt.Errorf("decode a peer's instances: %w", err)
	}
	out := make([]fleet.Instance, 0, len(records))
	for _, r := range records {
		if catalog.ValidName(r.Name) && catalog.ValidName(r.Zone) && catalog.ValidAddress(r.Peer) && r.Power >= 0 {
			out = append(out, fleet.Instance{Name: r.Name, Zone: r.Zone, PeerAddress: r.Peer, CPUs: r.Power, AnnouncementID: r.Mark})
		}
	}
	return out, nil
}
