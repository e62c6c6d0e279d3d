package main

import (
	"fmt"
	"time"
)

// relayShards is the number of shards from which on an instance hands queries to a stronger one.
const relayShards = 30

// sheetLeaf is a leaf of a sharded service of the small sites.
func sheetLeaf(service, zone string) leafOptions {
	return leafOptions{
		service: service, zone: zone, slots: 2, queue: 12, work: 11 * time.Millisecond, spread: 0.35, tail: 0.01, tailFactor: 5, maxWork: 82 * time.Millisecond,
		pause: 120 * time.Millisecond, pauseEvery: 3 * time.Second, records: 62,
	}
}

// newShards starts n shards with a leaf in each of two zones.
func (r *rig) newShards(prefix string, n int, zones ...string) (services []string, err error) {
	for i := range n {
		service := fmt.Sprintf("%s%d", prefix, i)
		services = append(services, service)
		for k, zone := range zones {
			if _, err := r.newLeaf(fmt.Sprintf("i-%s-%d", service, k), sheetLeaf(service, zone)); err != nil {
				return nil, err
			}
		}
	}
	return services, nil
}
