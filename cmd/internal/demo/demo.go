// Package demo runs a site at its size of today as separate processes on the
// loopback address, sends it an opening burst, loses a replica, changes the
// index version, and reports what callers got and what leaves really ran.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// Options say what to show.
type Options struct {
	Site string // Recife or CapBon
	// Entries is the number of entries.
	Entries int
	// Fuchsiaroad and Fuchsiactl are the programs; an empty Fuchsiaroad is built.
	Fuchsiaroad, Fuchsiactl string
	// Rate is the steady rate and Peak that of the opening, in queries a second.
	Rate, Peak float64
	// Length is the time of the opening; the other phases take three quarters of it.
	Length time.Duration
	Seed   uint64
	// Keep leaves the folder of settings and logs.
	Keep bool
	// Log takes a line for each step.
	Log io.Writer
}

// Phase is what happened in one part.
type Phase struct {
	Name    string           `json:"name"`
	Reports []loadgen.Report `json:"reports"`
}

// Outcome is what the whole demonstration showed.
type Outcome struct {
	Site       string             `json:"site"`
	Entries    int                `json:"entries"`
	Leaves     int                `json:"leaves"`
	Phases     []Phase            `json:"phases"`
	Executions loadgen.Executions `json:"executions"`
	// OverLimit names leaves that had more connections than their limit, or
	// refused one.
	OverLimit []string `json:"over_limit"`
}

// Broken lists the promises that the outcome breaks.
func (o *Outcome) Broken() []string {
	var broken []string
	for _, p := range o.Phases {
		for _, f := range loadgen.Faults(p.Reports) {
			broken = append(broken, fmt.Sprintf("%s: %s in %d answers", p.Name, f.Fault, f.Count))
		}
	}
	if o.Executions.MaxPerKey > 1 {
		broken = append(broken, fmt.Sprintf("an idempotency key was executed %d times", o.Executions.MaxPerKey))
	}
	if n := o.Executions.RefusedButRan; n > 0 {
		broken = append(broken, fmt.Sprintf("%d queries were refused as not run and ran", n))
	}
	if n := o.Executions.AnsweredNotRan; n > 0 {
		broken = append(broken, fmt.Sprintf("%d keys were answered and never ran", n))
	}
	for _, id := range o.OverLimit {
		broken = append(broken, "connection limit of "+id+" was reached")
	}
	return broken
}

// demo is a running demonstration.
type demo struct {
	options Options
	spec    *siteSpec
	dir     string
	site    *site.Site
	runs    []run
	sender  *loadgen.EntrySender // of the phase under way
}

// run is one phase's sender and samples, for the check of executions.
type run struct {
	sender  *loadgen.EntrySender
	samples []loadgen.Sample
}

// Run shows everything. All processes that it starts have ended when it returns.
func Run(ctx context.Context, o Options) (outcome *Outcome, err error) {
	spec, err := specOf(o.Site)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fuchsiaroad-demo-")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	d := &demo{options: o, spec: spec, dir: dir}
	defer func() { err = errors.Join(err, d.close()) }()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	return d.show(ctx)
}

// close ends the processes and removes the folder.
func (d *demo) close() error {
	var err error
	if d.site != nil {
		err = d.site.Close()
	}
	if d.options.Keep {
		d.logf("settings and logs are in %s", d.dir)
		return err
	}
	return errors.Join(err, os.RemoveAll(d.dir))
}

func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.options.Log, "demo: "+format+"\n", args...)
}

// packageFuchsiaroad is the import path of the entry's program.
const packageFuchsiaroad = "github.com/fuchsiaroad/fuchsiaroad/cmd/fuchsiaroad"

// build makes the entry's program, if none is given.
func (d *demo) build(ctx context.Context) error {
	if d.options.Fuchsiaroad != "" {
		return nil
	}
	d.logf("building the entry")
	path := filepath.Join(d.dir, "fuchsiaroad")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, packageFuchsiaroad).CombinedOutput()
	if err != nil {
		return fmt.Errorf("demo: build the entry (run it inside the repository, or give --fuchsiaroad): %w\n%s", err, out)
	}
	d.options.Fuchsiaroad = path
	return nil
}

// start builds what is needed and starts the site.
func (d *demo) start(ctx context.Context) error {
	if err := d.build(ctx); err != nil {
		return err
	}
	leaves := len(leafIDs(d.spec.document(0)))
	port, err := site.FreePorts(leaves)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.logf("starting %s: the platform, %d leaves, %d entries", d.options.Site, leaves, d.options.Entries)
	d.site, err = site.Start(site.Options{
		Dir:      d.dir,
		Binaries: site.Binaries{Fuchsiaroad: d.options.Fuchsiaroad, Fuchsiactl: d.options.Fuchsiactl},
		Document: d.spec.document(port),
		Leaf:     d.spec.leafTemplate(d.options.Seed),
		Entries:  d.options.Entries,
		Zones:    d.spec.zones,
	})
	if err != nil {
		d.options.Keep = true
		return fmt.Errorf("demo: start: %w", err)
	}
	return ctx.Err()
}

// leafIDs lists the leaves of a document.
func leafIDs(doc *document.Document) []string {
	var ids []string
	for i := range doc.Upstreams {
		for _, shard := range doc.Upstreams[i].Shards {
			for _, l := range shard.Leaves {
				ids = append(ids, l.ID)
			}
		}
	}
	return ids
}

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
	for i, p := range phases {
		profile := loadgen.Profile{Rate: d.options.Rate, Peak: p.peak, Decay: p.length / 4, Duration: p.length}
		phase, err := d.phase(ctx, i, p.name, profile, p.event)
		if err != nil {
			return nil, err
		}
		o.Phases = append(o.Phases, phase)
	}
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
// old one is told to stop and must exit with 0, and the balancer lets go late.
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
	d.logf("entry %s is told to stop, %s takes its place", old.ID, added.ID)
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

// check compares what callers were told with what the leaves recorded.
func (d *demo) check(o *Outcome) error {
	started := map[string]int{}
	for _, id := range d.site.LeafIDs() {
		record, err := d.site.LeafRecord(id)
		if err != nil {
			return fmt.Errorf("demo: record of %s: %w", id, err)
		}
		for _, e := range record.Bodies {
			started[e.Key] += e.Started
		}
		stats, err := d.site.LeafStats(id)
		if err != nil {
			return fmt.Errorf("demo: counts of %s: %w", id, err)
		}
		if id != d.spec.lost && stats.Connections.Refused > 0 {
			o.OverLimit = append(o.OverLimit, id)
		}
	}
	for _, r := range d.runs {
		ran := func(a loadgen.Arrival) int { return started[leaf.Hash(r.sender.Body(a))] }
		o.Executions.Merge(loadgen.CheckExecutions(r.samples, d.spec.services, ran))
	}
	return nil
}
