package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdRoll replaces all entries, so many at a time: roll [width=N]. Each one
// stops gracefully, and must exit with 0, before its successor starts.
func cmdRoll(w *world, _ *testscript.TestScript, args []string) error {
	p, err := parseParams(args)
	if err != nil {
		return err
	}
	width, err := p.int("width", 1)
	if err != nil {
		return err
	}
	var numbers []int
	for _, e := range w.site.Entries() {
		numbers = append(numbers, e.Number)
	}
	for len(numbers) > 0 {
		n := min(width, len(numbers))
		if err := w.replace(numbers[:n]); err != nil {
			return err
		}
		numbers = numbers[n:]
	}
	return nil
}

// replace replaces some entries at once.
func (w *world) replace(numbers []int) error {
	errs := make([]error, len(numbers))
	var wg sync.WaitGroup
	for i, n := range numbers {
		wg.Go(func() { errs[i] = w.replaceOne(n) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

func (w *world) replaceOne(number int) error {
	e := w.site.Entry(number)
	if e == nil {
		return fmt.Errorf("no entry %d", number)
	}
	if err := e.Stop(); err != nil {
		return err
	}
	e, err := w.site.AddEntry(number)
	if err != nil {
		return err
	}
	return e.WaitReady(20 * time.Second)
}

// drainGrace keeps a draining leaf from declining by itself, so that only what
// the entries know keeps work away from it.
const drainGrace = time.Hour

// cmdDrain lets a leaf mark its replies as draining: drain LEAF.
func cmdDrain(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: drain LEAF")
	}
	patch := fmt.Sprintf(`{"draining":true,"decline_after_ms":%d}`, drainGrace.Milliseconds())
	if err := w.site.PatchLeafFaults(args[0], []byte(patch)); err != nil {
		return err
	}
	w.drains[args[0]] = time.Now()
	return nil
}

// cmdExpectDrained checks, by the leaf's own record, when it last began work
// after it was told to drain or listed as leaving, and that another leaf began work later than that
// bound: expect-drained LEAF OTHER within=3s.
func cmdExpectDrained(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: expect-drained LEAF OTHER within=DURATION")
	}
	p, err := parseParams(args[2:])
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(p.str("within", "3s"))
	if err != nil {
		return err
	}
	since, ok := w.drains[args[0]]
	if !ok {
		return fmt.Errorf("%s is not leaving", args[0])
	}
	last, err := w.lastStart(args[0])
	if err != nil {
		return err
	}
	other, err := w.lastStart(args[1])
	if err != nil {
		return err
	}
	ts.Logf("last start: %s %v, %s %v after the mark", args[0], last.Sub(since), args[1], other.Sub(since))
	if last.Sub(since) > within {
		return fmt.Errorf("%s got new work %v after its mark", args[0], last.Sub(since))
	}
	if other.Sub(since) <= within {
		return fmt.Errorf("%s shows no work after %v: the load ended too early", args[1], within)
	}
	return nil
}

func (w *world) lastStart(id string) (time.Time, error) {
	stats, err := w.site.LeafStats(id)
	return stats.LastStarted, err
}

// cmdExpectLimits checks that no leaf was ever offered a connection over its
// limit: expect-limits.
func cmdExpectLimits(w *world, ts *testscript.TestScript, _ []string) error {
	peak := 0
	for _, id := range w.site.LeafIDs() {
		stats, err := w.site.LeafStats(id)
		if err != nil {
			return err
		}
		if stats.Connections.Refused > 0 {
			return fmt.Errorf("%s refused %d connections over its limit", id, stats.Connections.Refused)
		}
		peak = max(peak, stats.Connections.Peak)
	}
	ts.Logf("most connections at a leaf: %d", peak)
	return nil
}
