package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
)

// announced is a store with the announcements of instances that ran before.
type announced struct {
	fakeStore
	list []fleet.Instance
}

func (s *announced) Instances(context.Context) ([]fleet.Instance, []catalog.BadEntry, error) {
	return s.list, nil, nil
}

// TestStartFindsTheOthers starts an instance where others are announced: it knows of them
// before the first request can have come.
func TestStartFindsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &announced{fakeStore: fakeStore{version: 1}, list: []fleet.Instance{{Name: "j", Zone: "z", Power: 2, Mark: 1}, {Name: "k", Zone: "y", Power: 1, Mark: 1}}}
		n, end := start(t, store)
		defer end()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.fleet.run(ctx)
		}()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		if got := n.fleet.size(); got != 3 {
			t.Errorf("a fleet of %d a millisecond after the start, want 3", got)
		}
		cancel()
		<-done
		synctest.Wait()
	})
}
