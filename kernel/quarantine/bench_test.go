package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

// BenchmarkAdmit admits known-good fingerprints while the records are at their bound.
func BenchmarkAdmit(b *testing.B) {
	large := cfg
	large.MaxRecords, large.MaxKnownGood = 1024, 100_000
	m := quarantine.New(large)
	fingerprints := make([]string, 50_000)
	for i := range fingerprints {
		fingerprints[i] = fmt.Sprintf("%016x", i)
		m.Handle(quarantine.AttemptEnded{Fingerprint: fingerprints[i], Crashed: i%50 == 0}, epoch)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		m.Admit(fingerprints[n%len(fingerprints)], shards, canaryAbove, epoch)
		n++
	}
}
