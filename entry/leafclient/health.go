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

// maxHealthBody is the most bytes read of a health response's body.
const maxHealthBody = 16 << 10

// Health requests a leaf's health report, which is a hint: it may be outdated or
// wrong.
func (c *Client) Health(ctx context.Context, t Target) (*leafapi.Health, error) {
	lt := c.transportFor(t)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+leafapi.PathHealth, nil)
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	resp, err := lt.transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBody+1))
	if err != nil {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, err)
	}
	if len(body) > maxHealthBody {
		return nil, fmt.Errorf("leaf %s: health: %w", t.ID, errBodyTooLong)
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

// Warm opens up to n connections ahead of traffic, by n concurrent health requests
// (at least one), and returns the last successful response. The dial rate limit
// applies.
func (c *Client) Warm(ctx context.Context, t Target, n int) (*leafapi.Health, error) {
	var mu sync.Mutex
	var latest *leafapi.Health
	var lastErr error
	var wg sync.WaitGroup
	for range max(n, 1) {
		wg.Go(func() {
			h, err := c.Health(ctx, t)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			latest = h
		})
	}
	wg.Wait()
	if latest == nil {
		return nil, lastErr
	}
	return latest, nil
}
