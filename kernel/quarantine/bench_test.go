package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// BenchmarkAdmit asks for known-good fingerprints beside full records.
func BenchmarkAdmit(b *testing.B) {
	big := cfg
	big.MaxRecords, big.MaxKnownGood = 1024, 100_000
	m := quarantine.New(big)
	names := make([]string, 50_000)
	for i := range names {
		names[i] = fmt.Sprintf("%016x", i)
		m.Handle(quarantine.AttemptEnded{Fingerprint: names[i], Crashed: i%50 == 0}, epoch)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		m.Admit(names[n%len(names)], shards, above, epoch)
		n++
	}
}
