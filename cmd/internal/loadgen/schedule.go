// Package loadgen sends queries in an open loop: each at its own planned time,
// whether or not earlier ones have been answered, and counts latency from that
// time. An answer that is slow therefore does not thin out the load.
package loadgen

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Profile is the rate of arrivals over time: a steady rate, and on top of it an
// opening burst that dies away exponentially.
type Profile struct {
	// Rate is the steady rate and Peak the rate at the opening, in queries a
	// second. A Peak below Rate is the same as Rate.
	Rate, Peak float64
	// Decay is the time in which the burst falls to 1/e.
	Decay time.Duration
	// Duration is the length of the run.
	Duration time.Duration
}

// at is the rate at a time after the opening.
func (p Profile) at(t time.Duration) float64 {
	if p.Peak <= p.Rate || p.Decay <= 0 {
		return p.Rate
	}
	return p.Rate + (p.Peak-p.Rate)*math.Exp(-float64(t)/float64(p.Decay))
}

// Service is one part of the mix.
type Service struct {
	Name string
	// Weight is its part of the arrivals.
	Weight float64
	// Key gives each of its queries an Idempotency-Key.
	Key bool
	// Deadline is what the caller asks for; 0 leaves it to the service.
	Deadline time.Duration
	// Tokens are bearer tokens of its callers, if others than the run's.
	Tokens []string
}

// Plan says what to send.
type Plan struct {
	Profile  Profile
	Services []Service
	// Callers is the number of distinct callers; each arrival is one of them.
	Callers int
	// Entries is the number of entries; arrivals go to them in turn.
	Entries int
	// ResendShare of the arrivals with a key are sent again after ResendAfter,
	// with the same key, to the next entry.
	ResendShare float64
	ResendAfter time.Duration
	// Seed makes the schedule.
	Seed uint64
}

// PlanError names the field of a plan that is wrong.
type PlanError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *PlanError) Error() string { return fmt.Sprintf("plan: %s: %s", e.Field, e.Reason) }

// maxArrivals bounds a schedule, which is held in memory.
const maxArrivals = 20_000_000

// Validate reports the first wrong field as a *PlanError.
func (p Plan) Validate() error {
	switch {
	case p.Profile.Rate < 0 || p.Profile.Rate+p.Profile.Peak <= 0:
		return &PlanError{"rate", "must be above 0"}
	case p.Profile.Peak > p.Profile.Rate && p.Profile.Decay <= 0:
		return &PlanError{"decay", "must be above 0 for a burst"}
	case p.Profile.Duration <= 0:
		return &PlanError{"duration", "must be above 0"}
	case max(p.Profile.Rate, p.Profile.Peak)*p.Profile.Duration.Seconds() > maxArrivals:
		return &PlanError{"duration", fmt.Sprintf("gives more than %d arrivals", maxArrivals)}
	case len(p.Services) == 0:
		return &PlanError{"services", "is empty"}
	case p.Callers < 1:
		return &PlanError{"callers", "must be at least 1"}
	case p.Entries < 1:
		return &PlanError{"entries", "must be at least 1"}
	case p.ResendAfter < 0:
		return &PlanError{"resend after", "must not be negative"}
	case p.ResendShare < 0 || p.ResendShare > 1:
		return &PlanError{"resend share", "must be in [0, 1]"}
	}
	for _, s := range p.Services {
		if s.Weight <= 0 {
			return &PlanError{"services", s.Name + ": the weight must be above 0"}
		}
	}
	return nil
}

// Arrival is one planned query.
type Arrival struct {
	// At is the planned time after the opening.
	At time.Duration
	// Number is unique within the schedule, but for a resend, which has the
	// number of the query that it repeats.
	Number  int
	Service int
	Caller  int
	Entry   int
	Resend  bool
}

// Schedule draws the arrivals of a plan, in order of time: a Poisson process
// with the profile's rate, by thinning one with the highest rate. The same
// plan gives the same schedule.
func Schedule(p Plan) []Arrival {
	random := rand.New(rand.NewPCG(p.Seed, 0x5851f42d4c957f2d))
	highest := max(p.Profile.Rate, p.Profile.Peak)
	var out []Arrival
	var at time.Duration
	for number := 0; ; {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= p.Profile.Duration {
			break
		}
		if random.Float64()*highest >= p.Profile.at(at) {
			continue
		}
		a := Arrival{
			At:      at,
			Number:  number,
			Service: pick(p.Services, random),
			Caller:  random.IntN(p.Callers),
			Entry:   number % p.Entries,
		}
		out = append(out, a)
		number++
		if p.Services[a.Service].Key && random.Float64() < p.ResendShare {
			a.Resend = true
			a.At += p.ResendAfter
			a.Entry = (a.Entry + 1) % p.Entries
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// pick draws a service by weight.
func pick(services []Service, random *rand.Rand) int {
	var total float64
	for _, s := range services {
		total += s.Weight
	}
	left := random.Float64() * total
	return max(0, slices.IndexFunc(services, func(s Service) bool {
		left -= s.Weight
		return left < 0
	}))
}
