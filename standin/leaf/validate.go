package leaf

import (
	"fmt"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// bound is a numeric setting with its bounds.
type bound struct {
	field    string
	value    float64
	min, max float64
}

// noMax stands for "no upper bound".
const noMax = 1e15

// check reports the first value out of its bounds.
func check(leaf string, bounds []bound) error {
	for _, b := range bounds {
		if b.value < b.min || b.value > b.max {
			reason := fmt.Sprintf("%v is not in [%v, %v]", b.value, b.min, b.max)
			if b.max == noMax {
				reason = fmt.Sprintf("%v is below %v", b.value, b.min)
			}
			return &FieldError{Leaf: leaf, Field: b.field, Reason: reason}
		}
	}
	return nil
}

// Validate reports the first wrong field as a *FieldError.
func (s Settings) Validate() error {
	err := check(s.ID, []bound{
		{"slots", float64(s.Slots), 1, noMax},
		{"queue", float64(s.Queue), 0, noMax},
		{"connection_limit", float64(s.ConnectionLimit), 0, noMax},
		{"dial_cost_us", float64(s.DialCostUS), 0, noMax},
		{"network_us", float64(s.NetworkUS), 0, noMax},
		{"service.mean_us", float64(s.Service.MeanUS), 0, noMax},
		{"service.straggler_share", s.Service.StragglerShare, 0, 1},
		{"service.straggler_factor", s.Service.StragglerFactor, 0, noMax},
		{"service.cold_ms", float64(s.Service.ColdMS), 0, noMax},
		{"service.cold_factor", s.Service.ColdFactor, 0, noMax},
		{"body_bytes", float64(s.BodyBytes), 0, noMax},
		{"restart_ms", float64(s.RestartMS), 0, noMax},
		{"record_limit", float64(s.RecordLimit), 0, noMax},
	})
	if err != nil {
		return err
	}
	switch s.Service.Distribution {
	case "", Exponential, Fixed:
	default:
		return &FieldError{Leaf: s.ID, Field: "service.distribution", Reason: fmt.Sprintf("%q is not known", s.Service.Distribution)}
	}
	return s.validateData()
}

// validateData checks the ranges and versions.
func (s Settings) validateData() error {
	if len(s.Versions) == 0 {
		return &FieldError{Leaf: s.ID, Field: "versions", Reason: "is empty"}
	}
	for _, v := range s.Versions {
		if v == 0 {
			return &FieldError{Leaf: s.ID, Field: "versions", Reason: "0 is not a version"}
		}
	}
	var held keyrange.Set
	for _, r := range s.Ranges {
		if r.Empty() {
			return &FieldError{Leaf: s.ID, Field: "ranges", Reason: r.String() + " is empty"}
		}
		if held.Overlaps(r) {
			return &FieldError{Leaf: s.ID, Field: "ranges", Reason: r.String() + " overlaps another"}
		}
		held.Add(r)
	}
	return nil
}

// Validate reports the first wrong field as a *FieldError.
func (f Faults) Validate() error {
	r := f.Replies
	bounds := []bound{
		{"decline_after_ms", float64(f.DeclineAfterMS), 0, noMax},
		{"shed", f.Shed, 0, 1},
		{"lag_ms", float64(f.LagMS), 0, noMax},
		{"replies.late_ms", float64(r.LateMS), 0, noMax},
	}
	triggers := []struct {
		field string
		Trigger
	}{
		{"replies.late", r.Late},
		{"replies.repeated", r.Repeated},
		{"replies.crossed", r.Crossed},
		{"replies.truncated", r.Truncated},
		{"replies.wrong_checksum", r.WrongChecksum},
		{"replies.overlapping", r.Overlapping},
	}
	for _, t := range triggers {
		bounds = append(bounds,
			bound{t.field + ".next", float64(t.Next), 0, noMax},
			bound{t.field + ".share", t.Share, 0, 1})
	}
	return check("", bounds)
}
