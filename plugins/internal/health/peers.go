package health

import "time"

// Peers keeps the sum of all leaves' averages of failure, by which one leaf is judged
// against the others. The zero value has no leaf.
type Peers struct{ failures float64 }

// RecordOutcome takes one result of a leaf, one of so many, and reports whether the leaf has
// just come back. A gain of 0 is an outcome that shows nothing.
func (p *Peers) RecordOutcome(leaf *Leaf, leaves int, failed bool, gain float64, now time.Time) bool {
	if gain == 0 {
		leaf.EndInconclusiveProbe()
		return false
	}
	before := leaf.FailureRate
	others := (p.failures - before) / float64(max(1, leaves-1))
	back := leaf.RecordOutcome(failed, gain, others, now)
	p.failures += leaf.FailureRate - before
	return back
}

// UpdateMean moves a mean by one value, or begins it; 0 means that nothing is known.
func UpdateMean(mean *float64, x, gain float64) {
	if *mean == 0 {
		*mean = x
		return
	}
	*mean += gain * (x - *mean)
}
