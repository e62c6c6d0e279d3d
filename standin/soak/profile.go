package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// loadProfile is the load of a soak and the site that it meets.
type loadProfile struct {
	// shards is the number of shards of the first set; later sets have minShards to maxShards.
	shards, minShards, maxShards int
	zones                        int // with instances
	leavesEach                   int // of each service, but for those of probes
	// bound is that for a configuration, and for a leaf that leaves.
	bound time.Duration
	// slack is the number of repeats at a service in a window that need no request.
	slack float64
	// thinkTime is the mean pause between two requests of a client.
	thinkTime time.Duration
	kinds     []kind // drawn from with equal chances
	leaf      leafProfile
	// objective and clientTime are of the routes over shards.
	objective, clientTime time.Duration
	// longBodies says that some requests that are not idempotent have long bodies.
	longBodies bool
	faults     []string // the names of its faults; nil: all of defaultFaults
	// descriptors is the limit on the descriptors of an instance; 0: none is stated.
	descriptors int
}

// leafProfile is how the leaves serve.
type leafProfile struct {
	slots int // requests run at once
	queue int // requests that wait; a leaf declines what is over
	work  time.Duration
	// spread is the standard deviation of the logarithm of the time that a request takes.
	spread float64
	// pause is for how long a leaf stands still, once in pauseInterval on average; 0: never.
	pause, pauseInterval time.Duration
}

// defaultProfile has few shards, and leaves that rarely make an instance repeat a request.
const defaultProfile = "default"

// profiles holds the profiles by name.
var profiles = map[string]loadProfile{
	defaultProfile: {
		shards: 6, minShards: 4, maxShards: 8, zones: 2, leavesEach: 2, bound: 3 * time.Second, slack: 60, thinkTime: 40 * time.Millisecond,
		kinds:     []kind{kindOne, kindOne, kindOnce, kindProbe, kindSearch, kindSearch},
		leaf:      leafProfile{slots: 8, work: 8 * time.Millisecond},
		objective: 300 * time.Millisecond, clientTime: maxClientTime,
	},
	// Most answers need a hedge, so that the instances use up the limit on repeats.
	"hedging": {
		shards: 20, minShards: 18, maxShards: 22, zones: 3, leavesEach: 2, bound: 3 * time.Second, slack: 56, thinkTime: 450 * time.Millisecond,
		kinds:     []kind{kindOne, kindOnce, kindSearch, kindSearch, kindSearch, kindSearch, kindSearch, kindSearch},
		leaf:      leafProfile{slots: 2, queue: 12, work: 11 * time.Millisecond, spread: 0.35, pause: 120 * time.Millisecond, pauseInterval: 3 * time.Second},
		objective: 50 * time.Millisecond, clientTime: 500 * time.Millisecond,
	},
	// Leaves err in all ways that the platform's pages allow.
	"erring": {
		shards: 6, minShards: 4, maxShards: 8, zones: 2, leavesEach: 3, bound: 3 * time.Second, slack: 60, thinkTime: 40 * time.Millisecond,
		kinds:     []kind{kindOne, kindOnce, kindOnce, kindProbe, kindSearch, kindSearch},
		leaf:      leafProfile{slots: 8, work: 8 * time.Millisecond},
		objective: 300 * time.Millisecond, clientTime: maxClientTime, longBodies: true,
		faults: []string{
			"leaf answers twice", "leaf omits length", "leaf cuts answers", "leaf sends wrong bytes", "leaf sends endless bytes",
			"leaf fails requests", "leaf answers early", "leaf omits request ids",
		},
	},
	// Crowds of clients never complete their requests.
	"crowded": {
		shards: 6, minShards: 4, maxShards: 8, zones: 2, leavesEach: 2, bound: 3 * time.Second, slack: 60, thinkTime: 40 * time.Millisecond,
		kinds:     []kind{kindOne, kindOne, kindOnce, kindProbe, kindSearch, kindSearch},
		leaf:      leafProfile{slots: 8, work: 8 * time.Millisecond},
		objective: 300 * time.Millisecond, clientTime: maxClientTime, longBodies: true,
		descriptors: crowdDescriptors,
		faults:      []string{"client crowd", "client crowd", "client crowd", "kill", "stop", "hup", "configuration", "leaf slow"},
	},
	// Leaves leave all the time, with a bound as long as that of large fleets. With few shards, many
	// of them serve routes to one leaf, whose requests the instance that is asked sends itself.
	"leaving": {
		shards: 2, minShards: 2, maxShards: 3, zones: 3, leavesEach: 3, bound: 5 * time.Second, slack: 60, thinkTime: 40 * time.Millisecond,
		kinds:     []kind{kindOne, kindOne, kindOnce, kindSearch, kindSearch},
		leaf:      leafProfile{slots: 8, work: 8 * time.Millisecond},
		objective: 300 * time.Millisecond, clientTime: maxClientTime,
		faults: []string{"leaf removal", "leaf removal", "leaf drain", "store cuts"},
	},
}

// ProfileNames lists the names of the profiles.
func ProfileNames() []string {
	out := make([]string, 0, len(profiles))
	for name := range profiles {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// profile returns the profile that the options name.
func (o *Options) profile() (*loadProfile, error) {
	name := o.Profile
	if name == "" {
		name = defaultProfile
	}
	p, ok := profiles[name]
	if !ok {
		return nil, fmt.Errorf("profile %q: not one of %v", name, ProfileNames())
	}
	if len(o.Faults) > 0 {
		p.faults = o.Faults
	}
	if o.Bound > 0 {
		p.bound = o.Bound
	}
	return &p, nil
}

// drawKind draws the kind of a request.
func (p *loadProfile) drawKind(random *rand.Rand) kind { return p.kinds[random.IntN(len(p.kinds))] }

// drawShards draws the number of shards of another set.
func (p *loadProfile) drawShards(random *rand.Rand) int {
	return p.minShards + random.IntN(p.maxShards-p.minShards+1)
}

// timeFor is how long clients wait for the answer to a request of a kind.
func (p *loadProfile) timeFor(k kind) time.Duration {
	if k == kindSearch {
		return p.clientTime
	}
	return maxClientTime
}

// selectFaults returns the faults of the profile.
func (p *loadProfile) selectFaults() ([]fault, error) {
	if p.faults == nil {
		return defaultFaults, nil
	}
	all := slices.Concat(defaultFaults, namedFaults, erringFaults())
	var out []fault
	for _, name := range p.faults {
		if name == noFault {
			continue
		}
		i := slices.IndexFunc(all, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("fault %q: not one of %v", name, FaultNames())
		}
		out = append(out, all[i])
	}
	return out, nil
}

// noFault is the name that stands for a soak without faults.
const noFault = "none"

// FaultNames lists the names of all faults.
func FaultNames() []string {
	out := []string{noFault}
	for _, f := range slices.Concat(defaultFaults, namedFaults, erringFaults()) {
		if !slices.Contains(out, f.name) {
			out = append(out, f.name)
		}
	}
	return out
}
