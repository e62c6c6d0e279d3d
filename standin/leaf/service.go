package leaf

import (
	"math/rand/v2"
	"time"
)

// serviceTime draws how long a request holds its slot, in a leaf that has been
// up for a time.
func serviceTime(s Service, random *rand.Rand, up time.Duration) time.Duration {
	us := float64(s.MeanUS)
	if s.Distribution != Fixed {
		us *= random.ExpFloat64()
	}
	if s.StragglerShare > 0 && random.Float64() < s.StragglerShare {
		us *= s.StragglerFactor
	}
	us *= coldFactor(s, up)
	return time.Duration(us * float64(time.Microsecond))
}

// coldFactor falls from ColdFactor to 1 over ColdMS.
func coldFactor(s Service, up time.Duration) float64 {
	cold := time.Duration(s.ColdMS) * time.Millisecond
	if up >= cold || s.ColdFactor <= 1 {
		return 1
	}
	left := 1 - float64(up)/float64(cold)
	return 1 + (s.ColdFactor-1)*left
}
