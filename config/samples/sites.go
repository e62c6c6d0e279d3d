package samples

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Recife is the document of the advisory site at its size of today.
func Recife(basePort int) *document.Document {
	return Generate(Sizes{
		Site:     "recife",
		Zones:    []string{"boa-vista", "santo-amaro", "afogados"},
		BasePort: basePort,
		Upstreams: []UpstreamSizes{
			{"advisor-counter", 20, 2, 2, 25, 6 * time.Millisecond},
			{"valuation", 30, 2, 2, 25, 6 * time.Millisecond},
			{"client-registry", 1, 4, 4, 110, time.Millisecond},
			{"family-notices", 1, 3, 4, 110, time.Millisecond},
		},
		// Coverage weighs most: most of the deadline is spent on the rest.
		Services: []document.Service{
			read("advice", 800*time.Millisecond, 300*time.Millisecond, 0.95, "advisor-counter", "client-registry"),
			read("valuation-search", time.Second, 400*time.Millisecond, 0.95, "valuation", "client-registry"),
			write("record-valuation", 2*time.Second, "client-registry"),
			write("family-notice", 2*time.Second, "family-notices"),
		},
		Callers: []document.Caller{
			caller("counter-desk", 3, "advice", "valuation-search", "record-valuation", "family-notice"),
			caller("valuers", 1, "valuation-search", "record-valuation"),
			operator("advice", "valuation-search"),
		},
	})
}

// CapBon is the document of the pressing plant at its size of today.
func CapBon(basePort int) *document.Document {
	return Generate(Sizes{
		Site:     "cap-bon",
		Zones:    []string{"hall-a", "hall-b", "hall-c"},
		BasePort: basePort,
		Upstreams: []UpstreamSizes{
			{"lot-trace", 20, 2, 2, 25, 6 * time.Millisecond},
			{"press-scheduling", 30, 2, 2, 25, 6 * time.Millisecond},
			{"grower-portal", 1, 5, 3, 40, time.Millisecond},
			{"label-printing", 1, 3, 3, 40, time.Millisecond},
		},
		// The tail weighs most: a useful answer is given soon after it is one.
		Services: []document.Service{
			read("recall", 250*time.Millisecond, 50*time.Millisecond, 0.9, "lot-trace"),
			read("press-plan", 250*time.Millisecond, 50*time.Millisecond, 0.9, "press-scheduling"),
			read("receipts", 200*time.Millisecond, 0, 1, "grower-portal"),
			write("intake-receipt", time.Second, "grower-portal"),
			write("label", time.Second, "label-printing"),
		},
		Callers: []document.Caller{
			caller("house-one", 1, "recall", "press-plan", "intake-receipt", "label"),
			caller("house-two", 1, "recall", "press-plan", "intake-receipt", "label"),
			caller("house-three", 1, "recall", "press-plan", "intake-receipt", "label"),
			caller("growers", 1, "receipts"),
			operator("recall", "press-plan", "receipts"),
		},
	})
}
