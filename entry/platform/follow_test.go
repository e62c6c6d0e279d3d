package platform_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
)

// startFollow runs Follow in the background and returns its updates.
func startFollow(t *testing.T, source platform.Source, seed uint64) <-chan platform.Update {
	t.Helper()
	updates := make(chan platform.Update, 100)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- platform.Follow(ctx, source, platform.FollowConfig{
			Kind: "k", Rand: rand.New(rand.NewPCG(seed, 1)),
		}, func(u platform.Update) { updates <- u })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return updates
}

func TestFollowListsThenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		put(t, store, "a", 0)
		updates := startFollow(t, store, 1)
		if u := <-updates; !u.Listed || len(u.Objects) != 1 {
			t.Fatalf("got %+v, want a list of one", u)
		}
		put(t, store, "b", 0)
		if u := <-updates; u.Listed || len(u.Events) != 1 || u.Events[0].Object.Name != "b" {
			t.Fatalf("got %+v, want the change of b", u)
		}
		store.SetFaults(platformtest.Faults{Down: true})
		time.Sleep(10 * time.Minute)
		store.SetFaults(platformtest.Faults{})
		put(t, store, "c", 0)
		if u := <-updates; len(u.Events) != 1 || u.Events[0].Object.Name != "c" {
			t.Fatalf("after an outage: got %+v, want the change of c", u)
		}
	})
}

// put writes an object.
func put(t *testing.T, store *platformtest.Store, name string, version uint64) {
	t.Helper()
	if _, err := store.Put(t.Context(), "k", name, version, []byte("v")); err != nil {
		t.Fatal(err)
	}
}

// expiringStore is a store that answers the first watch with GoneError.
type expiringStore struct {
	*platformtest.Store
	once sync.Once
}

func (f *expiringStore) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	var err error
	f.once.Do(func() { err = &platform.GoneError{Kind: kind, Since: since} })
	if err != nil {
		return platformapi.Events{}, err
	}
	return f.Store.Watch(ctx, kind, since, wait)
}

func TestFollowListsAgainAfterGoneError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		put(t, store, "a", 0)
		updates := startFollow(t, &expiringStore{Store: store}, 1)
		for range 2 {
			if u := <-updates; !u.Listed || len(u.Objects) != 1 {
				t.Fatalf("got %+v, want a list of one", u)
			}
		}
	})
}

// Eight instances that lose the store at the same time list it again at different
// times after the outage, each within the longest delay.
func TestFollowersReconnectSpreadOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		store.SetFaults(platformtest.Faults{Down: true})
		const instances = 8
		var followers []<-chan platform.Update
		for i := range uint64(instances) {
			followers = append(followers, startFollow(t, store, i))
		}
		time.Sleep(time.Minute)
		store.SetFaults(platformtest.Faults{})
		restored := time.Now()
		var mu sync.Mutex
		var delays []time.Duration
		var wg sync.WaitGroup
		for _, updates := range followers {
			wg.Go(func() {
				<-updates
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, time.Since(restored))
			})
		}
		wg.Wait()
		slices.Sort(delays)
		if last := delays[instances-1]; last > platform.DefaultMaxRetryDelay {
			t.Errorf("the last follower reconnected after %v", last)
		}
		if spread := delays[instances-1] - delays[0]; spread < time.Second {
			t.Errorf("all followers reconnected within %v", spread)
		}
	})
}

// nonWaitingStore is a store that answers a watch at once.
type nonWaitingStore struct{ *platformtest.Store }

func (s nonWaitingStore) Watch(ctx context.Context, kind string, since uint64, _ time.Duration) (platformapi.Events, error) {
	return s.Store.Watch(ctx, kind, since, 0)
}

func TestFollowLimitsRateOfEmptyWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		<-startFollow(t, nonWaitingStore{store}, 1)
		time.Sleep(10 * time.Second)
		if n := store.Calls(platform.CallWatch); n > 101 {
			t.Fatalf("%d watches in 10 s, want at most one each 100 ms", n)
		}
	})
}
