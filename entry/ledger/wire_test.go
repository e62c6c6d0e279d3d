package ledger

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
	standin "github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// wireEntry starts an entry that reaches the platform's stand-in over HTTP.
func wireEntry(t *testing.T, url string, i int) *entry {
	t.Helper()
	client, err := platform.New(platform.Config{URL: url, Token: "token", Instance: fmt.Sprint("entry-", i)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return startEntry(t, client, byte(i), func(c *Config) {
		c.Buckets = 4
		c.Bucket = ledger.DefaultConfig()
		// Nothing here may depend on how fast the machine is.
		c.OpTimeout = 10 * time.Second
		c.Bucket.ClaimTimeout = 30 * time.Second
	})
}

// claimUntil claims until the answer is not that the store is unavailable.
func claimUntil(ctx context.Context, e *entry, key string) (*Grant, error) {
	for {
		grant, err := e.Claim(ctx, request(key, time.Minute))
		if resultName(err) != "unavailable" || ctx.Err() != nil {
			return grant, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Over HTTP, with a fifth of all write replies lost: of eight entries that
// race for a key exactly one is granted it, and all then read its result.
func TestRaceOverTheWire(t *testing.T) {
	server := standin.New(standin.Settings{Token: "token"})
	if err := server.SetFaults(standin.Faults{LoseWriteShare: 0.2, DelayMS: 1}); err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(server)
	t.Cleanup(srv.Close)
	const entries, keys = 8, 20
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	var fleet []*entry
	for i := range entries {
		fleet = append(fleet, wireEntry(t, srv.URL, i))
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	var race sync.WaitGroup
	for _, e := range fleet {
		<-e.Ready()
		for k := range keys {
			race.Go(func() {
				key := fmt.Sprint("key", k)
				grant, err := claimUntil(ctx, e, key)
				if err != nil {
					return
				}
				mu.Lock()
				runs[key]++
				mu.Unlock()
				grant.Record(complete)
			})
		}
	}
	race.Wait()
	for _, e := range fleet {
		if err := e.Flush(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for k := range keys {
		key := fmt.Sprint("key", k)
		if runs[key] != 1 {
			t.Errorf("%s was granted %d times, want once", key, runs[key])
		}
		for _, e := range fleet {
			if _, err := claimUntil(ctx, e, key); resultName(err) != string(StateRecorded) {
				t.Errorf("resend of %s: got %v, want its result", key, err)
			}
		}
	}
}
