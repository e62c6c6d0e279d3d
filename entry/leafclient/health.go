package leafclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// maxHealthBody bounds a health answer, in bytes.
const maxHealthBody = 64 << 10

// Health asks a leaf for its health, which is a hint: it may lag or mislead.
func (c *Client) Health(ctx context.Context, t Target) (*leafapi.Health, error) {
	lc := c.leaf(t)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+leafapi.PathHealth, nil)
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	resp, err := lc.transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBody))
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("leaf %s: health: status %d", t.ID, resp.StatusCode)
	}
	var h leafapi.Health
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	return &h, nil
}

// Warm opens connections ahead of traffic until n are open, by concurrent
// health questions, and returns the last good answer. Dials are paced as ever.
func (c *Client) Warm(ctx context.Context, t Target, n int) (*leafapi.Health, error) {
	var mu sync.Mutex
	var best *leafapi.Health
	var last error
	var wg sync.WaitGroup
	for range max(n, 1) {
		wg.Go(func() {
			h, err := c.Health(ctx, t)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = err
				return
			}
			best = h
		})
	}
	wg.Wait()
	if best == nil {
		return nil, last
	}
	return best, nil
}
