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
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
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
	// ExtraSettings is TOML added to every entry's settings, such as its
	// [policy] table.
	ExtraSettings string
	// Keep leaves the folder of settings and logs.
	Keep bool
	// Log takes a line for each step.
	Log io.Writer
}

// demo is a running demonstration.
type demo struct {
	options Options
	spec    *siteSpec
	dir     string
	site    *site.Site
	runs    []run
	sender  *loadgen.EntrySender // of the phase under way
	refused map[string]uint64    // connections over the limit so far, by leaf
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
	d := &demo{options: o, spec: spec, dir: dir, refused: map[string]uint64{}}
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

		ExtraSettings: d.options.ExtraSettings,
	})
	if err != nil {
		d.options.Keep = true // the logs say why
		return fmt.Errorf("demo: start: %w", err)
	}
	if err := d.makeReal(); err != nil {
		return fmt.Errorf("demo: start: %w", err)
	}
	return ctx.Err()
}

// What the platform and the leaves are like on an ordinary day: the platform
// answers in milliseconds, limits its rates, and its list lags; what leaves say
// of their load lags too.
const (
	ordinaryPlatform = `{"delay_ms":2,"read_rate":2000,"write_rate":400,"instance_lag_ms":1000}`
	ordinaryLeaf     = `{"lag_ms":1000}`
)

// makeReal gives the stand-ins the weaknesses of an ordinary day.
func (d *demo) makeReal() error {
	if err := d.site.PatchPlatform([]byte(ordinaryPlatform)); err != nil {
		return err
	}
	for _, id := range d.site.LeafIDs() {
		if err := d.site.PatchLeafFaults(id, []byte(ordinaryLeaf)); err != nil {
			return err
		}
	}
	return nil
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
