package demo

import (
	"fmt"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
)

// Names of the sites.
const (
	Recife = "recife"
	CapBon = "capbon"
)

// siteSpec is what the demonstration needs to know of a site.
type siteSpec struct {
	zones    []string
	document func(basePort int) *document.Document
	services []loadgen.Service
	tokens   []string
	// network is the one-way delay from an entry to a leaf.
	network time.Duration
	// lost is the leaf that is lost; its shard has another one.
	lost string
}

// specOf returns the spec of a named site.
func specOf(name string) (*siteSpec, error) {
	switch name {
	case Recife:
		return &siteSpec{
			zones:    []string{"boa-vista", "santo-amaro", "afogados"},
			document: samples.Recife,
			services: []loadgen.Service{
				{Name: "advice", Weight: 6},
				{Name: "valuation-search", Weight: 3},
				{Name: "record-valuation", Weight: 2, Key: true},
				{Name: "family-notice", Weight: 1, Key: true},
			},
			tokens:  []string{samples.Token("counter-desk")},
			network: 1500 * time.Microsecond,
			lost:    "advisor-counter-0-0",
		}, nil
	case CapBon:
		return &siteSpec{
			zones:    []string{"hall-a", "hall-b", "hall-c"},
			document: samples.CapBon,
			services: []loadgen.Service{
				{Name: "recall", Weight: 6},
				{Name: "press-plan", Weight: 2},
				{Name: "receipts", Weight: 2, Tokens: []string{samples.Token("growers")}},
				{Name: "intake-receipt", Weight: 2, Key: true},
				{Name: "label", Weight: 1, Key: true},
			},
			tokens:  []string{samples.Token("house-one"), samples.Token("house-two"), samples.Token("house-three")},
			network: time.Millisecond,
			lost:    "lot-trace-0-0",
		}, nil
	}
	return nil, fmt.Errorf("no site %q: want %s or %s", name, Recife, CapBon)
}

// Sizes of the leaves' work.
const (
	meanUS          = 5000
	stragglerShare  = 0.05
	stragglerFactor = 10
	leafQueue       = 16
	bodyBytes       = 256
)

// leafTemplate is what all leaves of the demonstration share.
func (s *siteSpec) leafTemplate(seed uint64) leaf.Settings {
	return leaf.Settings{
		Versions:  []uint64{1},
		Queue:     leafQueue,
		NetworkUS: s.network.Microseconds(),
		BodyBytes: bodyBytes,
		Poison:    "poison",
		RestartMS: 1000,
		Seed:      seed,
		Service: leaf.Service{
			MeanUS: meanUS, Distribution: leaf.Exponential,
			StragglerShare: stragglerShare, StragglerFactor: stragglerFactor,
		},
	}
}
