package scenarios

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// configState is what a script knows of the configuration.
type configState struct {
	mu       sync.Mutex
	document *document.Document // the last one accepted, or the first
	highest  uint64             // the last generation accepted
	hash     string             // of the last accepted document; empty before the first save
	saves    []site.Saved
	doubt    bool // the end of a save is unknown: it may come into force later

	stop    chan struct{} // ends the watch; nil: there is none
	watch   sync.WaitGroup
	seen    map[string]uint64 // by entry: highest generation in force
	floor   uint64            // once in force everywhere, no entry may be below it
	polls   int
	reverts []string
}

// change is one operator's form: another deadline, or a split of a shard.
type change struct {
	deadline time.Duration
	split    int // shard of "titles" to split; -1: none
}

// apply makes the changed document from a copy.
func (c change) apply(base *document.Document) (*document.Document, error) {
	doc, err := codec.Parse(codec.Format(base))
	if err != nil {
		return nil, err
	}
	if c.deadline > 0 {
		doc.Services[0].Deadline = c.deadline
		doc.Services[1].Deadline = c.deadline
	}
	if c.split >= 0 {
		err = splitShard(titles(doc), c.split)
	}
	return doc, err
}

// titles is the upstream that is split.
func titles(doc *document.Document) *document.Upstream {
	i := slices.IndexFunc(doc.Upstreams, func(u document.Upstream) bool { return u.Name == "titles" })
	return &doc.Upstreams[i]
}

// splitShard gives the first leaf of a shard its lower half, the others the upper.
func splitShard(u *document.Upstream, n int) error {
	if n >= len(u.Shards) || len(u.Shards[n].Leaves) < 2 {
		return fmt.Errorf("shard %d of %s can't be split", n, u.Name)
	}
	old := u.Shards[n]
	middle := (old.Range.From + old.Range.To) / 2
	low, high := old, old
	low.Range.To, high.Range.From = middle, middle
	low.Leaves, high.Leaves = old.Leaves[:1], old.Leaves[1:]
	rest := append([]document.Shard{low, high}, u.Shards[n+1:]...)
	u.Shards = append(u.Shards[:n:n], rest...)
	return nil
}

// cmdSplitLeaves makes a shard's leaves hold what the document of "config save
// split=SHARD" will say, while the document in force does not say it yet:
// split-leaves shard=N.
func cmdSplitLeaves(w *world, _ *testscript.TestScript, args []string) error {
	p, err := parseParams(args)
	if err != nil {
		return err
	}
	n, err := p.int("shard", 0)
	if err != nil {
		return err
	}
	doc, err := change{split: n}.apply(w.config.document)
	if err != nil {
		return err
	}
	for _, sh := range titles(doc).Shards[n : n+2] {
		for _, l := range sh.Leaves {
			patch := fmt.Sprintf(`{"ranges":[{"from":%d,"to":%d}]}`, sh.Range.From, sh.Range.To)
			if err := w.site.PatchLeafSettings(l.ID, []byte(patch)); err != nil {
				return err
			}
		}
	}
	return nil
}

// cmdConfig saves documents and watches what is in force:
// config save [entry=N] [deadline=D] [split=SHARD] | config race [count=N] | config watch.
func cmdConfig(w *world, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: config save|race|watch")
	}
	p, err := parseParams(args[1:])
	if err != nil {
		return err
	}
	switch args[0] {
	case "save":
		return w.saveOne(p)
	case "race":
		return w.saveRace(p)
	case "watch":
		w.startWatch()
		return nil
	}
	return fmt.Errorf("unknown action %q", args[0])
}

func (w *world) saveOne(p params) error {
	var c change
	var err error
	if c.split, err = p.int("split", -1); err != nil {
		return err
	}
	if c.deadline, err = time.ParseDuration(p.str("deadline", "0s")); err != nil {
		return err
	}
	n, err := p.int("entry", 0)
	if err != nil {
		return err
	}
	e := w.site.Entry(n)
	if e == nil {
		return fmt.Errorf("no entry %d", n)
	}
	return w.save(e, c, w.config.document, w.config.highest)
}

// saveRace lets operators at all entries save different documents at once, all
// made from the same version.
func (w *world) saveRace(p params) error {
	count, err := p.int("count", 8)
	if err != nil {
		return err
	}
	entries := w.site.Entries()
	base, highest := w.config.document, w.config.highest
	errs := make([]error, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			c := change{deadline: 3*time.Second + time.Duration(i)*time.Millisecond, split: -1}
			errs[i] = w.save(entries[i%len(entries)], c, base, highest)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

// save submits a change of base and keeps the entry's answer.
func (w *world) save(e *site.Entry, c change, base *document.Document, ifVersion uint64) error {
	doc, err := c.apply(base)
	if err != nil {
		return err
	}
	saved, err := e.Save(w.http, samples.Token(callerName), codec.Format(doc), ifVersion)
	if err != nil {
		return err
	}
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	w.config.saves = append(w.config.saves, saved)
	w.config.doubt = w.config.doubt || saved.State == "unknown"
	if saved.State == "accepted" && saved.Generation > w.config.highest {
		w.config.document, w.config.highest, w.config.hash = doc, saved.Generation, codec.Hash(doc)
	}
	return nil
}

// cmdExpectSaves counts the ends of the saves since the last expect-saves:
// expect-saves accepted=1 conflict=7.
func cmdExpectSaves(w *world, ts *testscript.TestScript, args []string) error {
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	counts := make(map[string]int)
	for _, s := range w.config.saves {
		counts[s.State]++
	}
	ts.Logf("saves: %v", counts)
	for _, arg := range args {
		if err := compare(arg, counts); err != nil {
			return fmt.Errorf("%w: %+v", err, w.config.saves)
		}
	}
	w.config.saves = nil
	return nil
}

// cmdExpectConfig waits until the last accepted document is in force at every
// entry: expect-config [within=9s]. From then on no entry may be below it.
func cmdExpectConfig(w *world, ts *testscript.TestScript, args []string) error {
	p, err := parseParams(args)
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(p.str("within", "9s"))
	if err != nil {
		return err
	}
	start := time.Now()
	for {
		err := w.inForce()
		if err == nil {
			break
		}
		if time.Since(start) > within {
			return fmt.Errorf("after %v: %w", within, err)
		}
		time.Sleep(statusPoll)
	}
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	w.config.floor = w.config.highest
	ts.Logf("generation %d is in force everywhere", w.config.highest)
	return nil
}

// inForce is nil when every entry has the last accepted document in force, or
// all have the same later one if the end of a save is unknown.
func (w *world) inForce() error {
	c := newStatusClient()
	defer c.CloseIdleConnections()
	w.config.mu.Lock()
	want := site.Generation{Number: w.config.highest, Hash: w.config.hash}
	doubt := w.config.doubt
	w.config.mu.Unlock()
	for _, e := range w.site.Entries() {
		g, err := e.Generation(c)
		if err != nil {
			return err
		}
		if doubt && g.Number > want.Number {
			// The save with the unknown end came into force: all must follow.
			want.Number, want.Hash = g.Number, g.Hash
		}
		if g.Number != want.Number || (want.Hash != "" && g.Hash != want.Hash) {
			return fmt.Errorf("%s has %+v in force, want %+v", e.ID, g, want)
		}
	}
	return nil
}

// statusPoll is how often entries are asked what is in force.
const statusPoll = 50 * time.Millisecond

// newStatusClient gives up on an entry that is frozen.
func newStatusClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
}

// startWatch asks all entries again and again what is in force.
func (w *world) startWatch() {
	stop := make(chan struct{})
	w.config.stop = stop
	w.config.seen = make(map[string]uint64)
	c := newStatusClient()
	w.config.watch.Go(func() {
		defer c.CloseIdleConnections()
		for {
			select {
			case <-stop:
				return
			case <-time.After(statusPoll):
			}
			for _, e := range w.site.Entries() {
				w.lookAt(c, e)
			}
		}
	})
}

// lookAt compares what is in force at an entry with what was before. An entry
// without a document serves nothing, so it can't have reverted.
func (w *world) lookAt(c *http.Client, e *site.Entry) {
	w.config.mu.Lock()
	floor := w.config.floor
	w.config.mu.Unlock()
	g, err := e.Generation(c)
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	if err != nil || g.Number == 0 {
		return
	}
	w.config.polls++
	if least := max(w.config.seen[e.ID], floor); g.Number < least {
		w.config.reverts = append(w.config.reverts, fmt.Sprintf("%s, %s, has generation %d in force after %d", e.ID, g.Phase, g.Number, least))
	}
	w.config.seen[e.ID] = max(w.config.seen[e.ID], g.Number)
}

// stopWatch ends the watch, if there is one.
func (w *world) stopWatch() {
	if w.config.stop != nil {
		close(w.config.stop)
		w.config.stop = nil
	}
	w.config.watch.Wait()
}

// cmdExpectNoRevert ends the watch: no entry went back to a lower generation,
// and none came with one below what was in force everywhere.
func cmdExpectNoRevert(w *world, ts *testscript.TestScript, _ []string) error {
	w.stopWatch()
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	if w.config.polls == 0 {
		return errors.New("there was no watch")
	}
	if len(w.config.reverts) > 0 {
		return fmt.Errorf("%d reverts, the first: %s", len(w.config.reverts), w.config.reverts[0])
	}
	ts.Logf("%d looks, no revert", w.config.polls)
	return nil
}
