// Package samples builds configuration documents from sizes: those of the two
// user sites, and any other for tests, demonstrations and measurements. All
// leaves are on the loopback address, with ports counted up from a base.
package samples

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// Base ports of the committed samples.
const (
	RecifeBasePort = 21000
	CapBonBasePort = 23000
)

// keySpace is the key space of every sample upstream.
const keySpace = 65536

// Sizes describe a site.
type Sizes struct {
	Site  string
	Zones []string
	// BasePort is the port of the first leaf.
	BasePort  int
	Upstreams []UpstreamSizes
	Services  []document.Service
	Callers   []document.Caller
}

// UpstreamSizes describe one upstream: Shards key ranges of equal size with
// Replicas leaves each.
type UpstreamSizes struct {
	Name            string
	Shards          int
	Replicas        int
	Slots           int
	ConnectionLimit int
	DialCost        time.Duration
}

// Generate builds the document. Replicas of a shard are spread over the zones.
func Generate(s Sizes) *document.Document {
	doc := &document.Document{Site: s.Site, Services: s.Services, Callers: s.Callers}
	leaf := 0
	for _, us := range s.Upstreams {
		u := document.Upstream{
			Name: us.Name, KeySpace: keySpace, ConnectionLimit: us.ConnectionLimit,
			Slots: us.Slots, DialCost: us.DialCost,
		}
		for i := range us.Shards {
			shard := document.Shard{Range: slice(i, us.Shards)}
			for j := range us.Replicas {
				shard.Leaves = append(shard.Leaves, document.Leaf{
					ID:      fmt.Sprintf("%s-%d-%d", us.Name, i, j),
					Zone:    s.Zones[leaf%len(s.Zones)],
					Address: loopback(s.BasePort + leaf),
				})
				leaf++
			}
			u.Shards = append(u.Shards, shard)
		}
		doc.Upstreams = append(doc.Upstreams, u)
	}
	return doc
}

// slice is the i-th of n equal parts of the key space.
func slice(i, n int) keyrange.Range {
	return keyrange.Range{From: uint64(keySpace * i / n), To: uint64(keySpace * (i + 1) / n)}
}

// loopback is the loopback address with a port.
func loopback(port int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String()
}

// Token is the bearer token of a sample caller. It is public, and for
// loopback only.
func Token(caller string) string { return caller + "-sample-token" }

// TokenSHA256 is the hash of Token, as a document holds it.
func TokenSHA256(caller string) string {
	sum := sha256.Sum256([]byte(Token(caller)))
	return hex.EncodeToString(sum[:])
}

// caller builds a sample caller.
func caller(name string, share int, services ...string) document.Caller {
	return document.Caller{Name: name, TokenSHA256: TokenSHA256(name), Share: share, Services: services}
}

// operator builds a sample operator, who may use all given services.
func operator(services ...string) document.Caller {
	c := caller("operator", 1, services...)
	c.Operator = true
	return c
}

// read builds an idempotent service.
func read(name string, deadline, settle time.Duration, coverage float64, upstreams ...string) document.Service {
	return document.Service{
		Name: name, Upstreams: upstreams, Deadline: deadline, LeastCoverage: coverage, Settle: settle,
		Idempotent: true, HedgeBudget: 0.05, HedgeQuantile: 0.95, RetryBudget: 0.1, CanaryAbove: 8,
	}
}

// write builds a service that is not idempotent.
func write(name string, deadline time.Duration, upstream string) document.Service {
	return document.Service{
		Name: name, Upstreams: []string{upstream}, Deadline: deadline, LeastCoverage: 1,
		HedgeQuantile: 0.95, RetryBudget: 0.1, CanaryAbove: 8, KeyRequired: true,
	}
}
