package demo

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// show runs the phases and checks what leaves ran.
func (d *demo) show(ctx context.Context) (*Outcome, error) {
	o := &Outcome{Site: d.options.Site, Entries: d.options.Entries, Leaves: len(d.site.LeafIDs())}
	later := d.options.Length * 3 / 4
	phases := []struct {
		name   string
		peak   float64
		length time.Duration
		event  func(ctx context.Context, length time.Duration) error
	}{
		{"opening burst", d.options.Peak, d.options.Length, nil},
		{"lost replica", 0, later, d.loseReplica},
		{"version change", 0, later, d.changeVersion},
		{"planned stop", 0, later, d.stopEntry},
	}
	before, err := d.site.PlatformCounts()
	if err != nil {
		return nil, fmt.Errorf("demo: counts of the platform: %w", err)
	}
	began := time.Now()
	for i, p := range phases {
		profile := loadgen.Profile{Rate: d.options.Rate, Peak: p.peak, Decay: p.length / 4, Duration: p.length}
		phase, err := d.phase(ctx, i, p.name, profile, p.event)
		if err != nil {
			return nil, err
		}
		if phase.Refused, err = d.countRefused(o); err != nil {
			return nil, err
		}
		o.Phases = append(o.Phases, phase)
	}
	after, err := d.site.PlatformCounts()
	if err != nil {
		return nil, fmt.Errorf("demo: counts of the platform: %w", err)
	}
	o.Platform = platformCalls(before, after)
	o.Platform.Seconds = int(time.Since(began).Round(time.Second).Seconds())
	return o, d.check(o)
}

// phase sends load while an event happens.
func (d *demo) phase(ctx context.Context, number int, name string, profile loadgen.Profile, event func(context.Context, time.Duration) error) (Phase, error) {
	d.logf("%s: %s", name, profile.Duration)
	plan := loadgen.Plan{
		Profile: profile, Services: d.spec.services, Callers: 60, Entries: d.options.Entries,
		ResendShare: 0.5, ResendAfter: resendAfter, Seed: d.options.Seed + uint64(number),
	}
	if err := plan.Validate(); err != nil {
		return Phase{}, err
	}
	d.sender = loadgen.NewEntrySender(loadgen.SenderConfig{
		Plan: plan, Entries: d.entries(nil), Tokens: d.spec.tokens, Verify: loadgen.VerifyStandin,
		RunID: "demo-" + strconv.Itoa(number), Patience: patience, Transport: loadgen.NewTransport(),
	})
	ended := make(chan error, 1)
	go func() {
		if event == nil {
			ended <- nil
			return
		}
		ended <- event(ctx, profile.Duration)
	}()
	samples := loadgen.Run(ctx, loadgen.Schedule(plan), d.sender, loadgen.Options{MaxOpen: maxOpen, Returns: returns})
	if err := errors.Join(<-ended, ctx.Err()); err != nil {
		return Phase{}, fmt.Errorf("demo: %s: %w", name, err)
	}
	d.runs = append(d.runs, run{sender: d.sender, samples: samples})
	return Phase{Name: name, Reports: loadgen.Summarize(samples, plan.Services)}, nil
}

// The limits of the load.
const (
	patience = 10 * time.Second
	maxOpen  = 5000
	returns  = 3
	// resendAfter is when an impatient caller sends a request again.
	resendAfter = 30 * time.Millisecond
)

// entries lists the addresses of all entries but one.
func (d *demo) entries(except *site.Entry) []string {
	var addresses []string
	for _, e := range d.site.Entries() {
		if e != except {
			addresses = append(addresses, e.URL())
		}
	}
	return addresses
}

// loseReplica takes a leaf down after a quarter of the phase.
func (d *demo) loseReplica(ctx context.Context, length time.Duration) error {
	if !wait(ctx, length/4) {
		return ctx.Err()
	}
	d.logf("leaf %s is lost", d.spec.lost)
	return d.site.PatchLeafFaults(d.spec.lost, []byte(`{"down":true}`))
}

// changeVersion lets every leaf serve version 2 too, and later no longer
// version 1, one leaf after another.
func (d *demo) changeVersion(ctx context.Context, length time.Duration) error {
	ids := d.site.LeafIDs()
	pause := length / 3 / time.Duration(len(ids))
	for _, versions := range []string{`{"versions":[1,2]}`, `{"versions":[2]}`} {
		d.logf("leaves take %s", versions)
		for _, id := range ids {
			if !wait(ctx, pause) {
				return ctx.Err()
			}
			if err := d.site.PatchLeafSettings(id, []byte(versions)); err != nil {
				return err
			}
		}
	}
	return nil
}

// balancerLag is how long the balancer goes on sending to an entry that leaves.
const balancerLag = time.Second

// stopEntry replaces an entry as maintenance does: a new one is started, the
// old one is asked to stop and must exit with 0, and the balancer lets go late.
func (d *demo) stopEntry(ctx context.Context, length time.Duration) error {
	if !wait(ctx, length/4) {
		return ctx.Err()
	}
	old := d.site.Entries()[0]
	added, err := d.site.AddEntry(d.options.Entries)
	if err != nil {
		return err
	}
	if err := added.WaitReady(readyTime); err != nil {
		return err
	}
	d.sender.SetEntries(d.entries(nil))
	d.logf("entry %s is asked to stop, %s takes its place", old.ID, added.ID)
	stopped := make(chan error, 1)
	go func() { stopped <- old.Stop() }()
	wait(ctx, balancerLag)
	d.sender.SetEntries(d.entries(old))
	return <-stopped
}

// readyTime bounds the start of an entry.
const readyTime = 20 * time.Second

// wait reports whether the time passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
