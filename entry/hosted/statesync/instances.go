package statesync

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// instanceRecord is the encoding of an instance in a list that instances send each other.
type instanceRecord struct {
	Name, Zone, Peer string
	Power            float64 `json:",omitempty"`
	// Mark identifies the last announcement of the instance that the sender has seen.
	Mark uint64
	// Revision is the store's revision of that announcement.
	Revision uint64 `json:",omitempty"`
	// KnownFromMS is fleet.Instance.KnownFrom in Unix milliseconds; 0: unknown.
	KnownFromMS int64 `json:",omitempty"`
}

// newInstanceRecord encodes an instance.
func newInstanceRecord(i fleet.Instance) instanceRecord {
	r := instanceRecord{Name: i.Name, Zone: i.Zone, Peer: i.PeerAddress, Power: i.CPUs, Mark: i.AnnouncementID, Revision: i.Revision}
	if !i.KnownFrom.IsZero() {
		r.KnownFromMS = i.KnownFrom.UnixMilli()
	}
	return r
}

// instance decodes an instance.
func (r instanceRecord) instance() fleet.Instance {
	i := fleet.Instance{Name: r.Name, Zone: r.Zone, PeerAddress: r.Peer, CPUs: r.Power, AnnouncementID: r.Mark, Revision: r.Revision}
	if r.KnownFromMS != 0 {
		i.KnownFrom = time.UnixMilli(r.KnownFromMS)
	}
	return i
}

// InstanceList is the encoded list of instances that this instance sends to others. It is
// immutable.
type InstanceList struct {
	// Hash is the hash of the list without the announcement marks.
	Hash   uint64
	packed []byte
}

// NewInstanceList returns the encoded list.
func NewInstanceList(list []fleet.Instance) (*InstanceList, error) {
	records := make([]instanceRecord, 0, len(list))
	for _, i := range list {
		records = append(records, newInstanceRecord(i))
	}
	packed, err := pack(records)
	if err != nil {
		return nil, err
	}
	return &InstanceList{Hash: fleet.HashInstances(list), packed: packed}, nil
}

// FillReply fills in the hash of the list, and the list itself if its hash is not the one that
// the peer has.
func (l *InstanceList) FillReply(peerHash uint64, out *peerapi.SyncReply) {
	out.FleetHash = l.Hash
	if l.Hash != peerHash {
		out.Instances = l.packed
	}
}

// decodeInstances decodes a list of instances; nil if the peer has sent none, because the list
// is unchanged or unknown to it. Invalid entries are skipped.
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
			out = append(out, r.instance())
		}
	}
	return out, nil
}
