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

// startHTTPEntry starts an entry whose store is the platform's stand-in, over
// HTTP.
func startHTTPEntry(t *testing.T, url string, i int) *entry {
	t.Helper()
	client, err := platform.New(platform.Config{URL: url, Token: "token", Instance: fmt.Sprint("entry-", i)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return startEntry(t, client, byte(i), func(c *Config) {
		c.Buckets = 4
		c.Bucket = ledger.DefaultConfig()
		// Long timeouts, so that the test passes on a slow machine.
		c.OpTimeout = 10 * time.Second
		c.Bucket.ClaimTimeout = 30 * time.Second
	})
}

// retryClaim claims the key, and retries while the ledger is unavailable.
func retryClaim(ctx context.Context, e *entry, key string) (*Grant, error) {
	for {
		grant, err := e.Claim(ctx, request(key, time.Minute))
		if resultName(err) != "unavailable" || ctx.Err() != nil {
			return grant, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Eight entries race for each key over HTTP, with 20% of the replies to writes
// lost. Exactly one is granted the key, and afterwards all read its result.
func TestRaceOverHTTPGrantsEachKeyOnce(t *testing.T) {
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
		fleet = append(fleet, startHTTPEntry(t, srv.URL, i))
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	var race sync.WaitGroup
	for _, e := range fleet {
		<-e.Ready()
		for k := range keys {
			race.Go(func() {
				key := fmt.Sprint("key", k)
				grant, err := retryClaim(ctx, e, key)
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
			if _, err := retryClaim(ctx, e, key); resultName(err) != string(StateRecorded) {
				t.Errorf("resend of %s: got %v, want its result", key, err)
			}
		}
	}
}
