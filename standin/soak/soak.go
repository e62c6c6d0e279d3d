// Package soak runs the real program as separate processes on one machine, harms
// them from outside (their links by loopback proxies, themselves by signals, the
// store and the leaves by what they answer), and checks the product's promises by
// what clients and leaves see.
package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// Options of a soak.
type Options struct {
	Seed uint64
	// For is how long faults are played; a calm end follows.
	For       time.Duration
	Instances int
	Clients   int
	// Profile is the name of the load, one of ProfileNames; empty: the default one.
	Profile string
	// Faults are the names of the faults to play, of FaultNames; empty: those of the profile.
	Faults []string
	// StoreDelay is what the store's answers take at least, which counts as no disturbance.
	StoreDelay time.Duration
	// Bound replaces the profile's bound on changes and departures; 0: it does not.
	Bound time.Duration
	// Binary is the path of the product's program, Dir where logs are kept.
	Binary, Dir string
	// Say is called for each fault as it begins; nil: nobody is.
	Say func(format string, args ...any)
}

// Violation is a promise that was broken.
type Violation struct {
	At       time.Time
	What     string
	Request  string
	Instance string
}

// where names the request and the instance of a violation in parentheses, if it has them.
func (v *Violation) where() string {
	var known []string
	if v.Request != "" {
		known = append(known, "request "+v.Request)
	}
	if v.Instance != "" {
		known = append(known, v.Instance)
	}
	if len(known) == 0 {
		return ""
	}
	return " (" + strings.Join(known, ", ") + ")"
}

// Report is what a soak saw.
type Report struct {
	Requests, Served, Refused int
	Faults                    map[string]int
	// RepeatUse is the nearest approach to the limit on repeats; no service: there were none.
	RepeatUse RepeatUse
	// DrainUse is what reached leaves after they had left.
	DrainUse DrainUse
	// PeakMemory is the greatest resident memory of an instance, in bytes.
	PeakMemory int64
	// Unserved describes the requests of the calm end that were not served, a line a reason.
	Unserved   []string
	Violations []Violation
}

// run is one soak in progress.
type run struct {
	options   Options
	site      *site
	storeBusy sync.Mutex
	allBusy   sync.Mutex // held by a fault that has all processes
	cutsBusy  sync.Mutex // held by storeCuts
	// allLeaving is held by servicesLeave.
	allLeaving sync.Mutex
	operator   sync.Mutex // one change of the configuration at a time

	mu         sync.Mutex
	outcomes   []outcome
	violations []Violation
	faults     map[string]int
	repeatUse  RepeatUse
	drainUse   DrainUse
	sends      map[send][]string // names of instances, by what they sent
	lapses     []span            // outages in which entries lapsed, until all were back
	unserved   []string
	peakMemory int64 // of any instance, in bytes
}

// Times of a soak.
const (
	// startTime is given to the instances to start.
	startTime = 3 * time.Second
	// calmTime is the end without faults: in its last part requests are served.
	calmTime = settleTime + 4*time.Second
	// calmPart is that part.
	calmPart = 3 * time.Second
	// seriesLength is the number of versions that are written in the calm end, each seriesPause.
	seriesLength = 5
	seriesPause  = 400 * time.Millisecond
	// calmShare is the least share of requests served in it.
	calmShare = 0.95
	// A fault begins every faultLeast to faultMost and lasts as long or longer.
	faultLeast = 200 * time.Millisecond
	faultMost  = 1200 * time.Millisecond
	lastLeast  = 300 * time.Millisecond
	lastMost   = 4 * time.Second
)

// Run plays one soak. The error says that it could not be played; what it found
// is in the report.
func Run(o Options) (*Report, error) {
	r := &run{options: o, faults: make(map[string]int)}
	s, err := newSite(o, r.violation)
	if err != nil {
		return nil, fmt.Errorf("start the site: %w", err)
	}
	defer s.close()
	r.site = s
	faults, err := s.profile.selectFaults()
	if err != nil {
		return nil, err
	}
	if err := r.setStoreFaults(platform.Faults{}); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { r.client(i, rand.New(rand.NewPCG(o.Seed, uint64(i)+1)), stop) })
	}
	clients.Go(func() { r.watchVersions(stop) })
	clients.Go(func() { r.watchMemory(stop) })
	err = r.playFaults(rand.New(rand.NewPCG(o.Seed, 0)), faults)
	err = errors.Join(err, r.calm())
	calmEnd := time.Now()
	close(stop)
	clients.Wait()
	var readErr error
	r.sends, readErr = r.readSends()
	r.checkAll(calmEnd)
	return r.report(), errors.Join(err, readErr)
}

// calm lets faults end and then writes a series of versions: the last one is due before its end.
func (r *run) calm() error {
	time.Sleep(calmTime - r.site.profile.bound - (seriesLength+1)*seriesPause)
	for range seriesLength {
		if err := r.change(nil, 0); err != nil {
			return fmt.Errorf("series of changes: %w", err)
		}
		time.Sleep(seriesPause)
	}
	time.Sleep(r.site.profile.bound + seriesPause)
	return nil
}

// playFaults plays faults one after the other, each beside those that last.
func (r *run) playFaults(random *rand.Rand, faults []fault) error {
	var playing sync.WaitGroup
	failed := make(chan error, 1)
	for end := time.Now().Add(r.options.For); time.Now().Before(end); {
		if len(faults) == 0 {
			time.Sleep(faultMost)
			continue
		}
		f := faults[random.IntN(len(faults))]
		lasting := between(random, lastLeast, lastMost)
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		r.mu.Lock()
		r.faults[f.name]++
		r.mu.Unlock()
		if r.options.Say != nil {
			r.options.Say("%s for %v", f.name, lasting)
		}
		playing.Go(func() {
			if err := f.play(r, own, lasting); err != nil {
				select {
				case failed <- fmt.Errorf("%s: %w", f.name, err):
				default:
				}
			}
		})
		time.Sleep(between(random, faultLeast, faultMost))
	}
	playing.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// violation notes a broken promise.
func (r *run) violation(what, request, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{At: time.Now(), What: what, Request: request, Instance: instance})
}

// report sums up.
func (r *run) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Faults: r.faults, RepeatUse: r.repeatUse, DrainUse: r.drainUse, Unserved: r.unserved, PeakMemory: r.peakMemory, Violations: slices.Clone(r.violations)}
	for i := range r.outcomes {
		if r.outcomes[i].watch || isCrashing(r.outcomes[i].target) {
			continue
		}
		out.Requests++
		switch {
		case r.outcomes[i].status == 200:
			out.Served++
		case promisesNotRun(r.outcomes[i].status):
			out.Refused++
		}
	}
	return out
}

// Text is the report for people.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d requests: %d served, %d refused as not run\n", r.Requests, r.Served, r.Refused)
	names := make([]string, 0, len(r.Faults))
	for name, n := range r.Faults {
		names = append(names, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(names)
	fmt.Fprintf(&b, "faults: %s\n", strings.Join(names, ", "))
	if u := r.RepeatUse; u.Service != "" {
		fmt.Fprintf(&b, "repeats: at most %.1f of the slack in use, at service %s within %v from %s, %d repeats (%d after their answer) for %d requests\n",
			u.Slack, u.Service, repeatWindow, u.From.Format("15:04:05.000"), u.Repeats, u.Late, u.Requests)
	}
	if u := r.DrainUse; u.Departures > 0 {
		fmt.Fprintf(&b, "drains: %d leaves left, %d of them without a drain mark; %d arrivals after that, the latest after %v\n",
			u.Departures, u.Removed, u.Counted, u.Latest.Round(time.Millisecond))
	}
	fmt.Fprintf(&b, "memory: at most %d MB\n", r.PeakMemory>>20)
	for _, line := range r.Unserved {
		fmt.Fprintf(&b, "not served in the calm end: %s\n", line)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "BROKEN at %s: %s%s\n", v.At.Format("15:04:05.000"), v.What, v.where())
	}
	if len(r.Violations) == 0 {
		b.WriteString("no promise broken\n")
	}
	return b.String()
}
