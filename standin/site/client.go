package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// client speaks to the control interfaces.
type client struct{ http *http.Client }

func newClient() *client { return &client{http: &http.Client{Timeout: 10 * time.Second}} }

// call sends a JSON body, if any, and decodes the answer, if out is not nil.
func (c *client) call(method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s %s: %w", method, url, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+PlatformToken)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (c *client) put(url string, in any) error { return c.call(http.MethodPut, url, in, nil) }

// putDocument creates the configuration object, as an operator does for a new site.
func (s *Site) putDocument(doc *document.Document) error {
	url := fmt.Sprintf("%s%s/%s/%s?if_version=0", s.PlatformURL, platformapi.PathObjects, platformapi.KindConfig, platformapi.NameConfig)
	return s.client.put(url, platformapi.Object{Value: codec.Format(doc)})
}

// PatchPlatform changes faults of the platform: a JSON object of platform.Faults' fields.
func (s *Site) PatchPlatform(patch json.RawMessage) error {
	return s.client.call(http.MethodPatch, s.PlatformURL+platform.PathFaults, patch, nil)
}

// PlatformCounts are the calls that the platform counted.
func (s *Site) PlatformCounts() (platform.Counts, error) {
	var c platform.Counts
	return c, s.client.call(http.MethodGet, s.PlatformURL+platform.PathCounts, nil, &c)
}

// leafURL is a control path of one leaf.
func (s *Site) leafURL(id, path string) string {
	return s.LeafControlURL + leaf.PathLeaves + "/" + id + path
}

// PatchLeafFaults changes faults of one leaf: a JSON object of leaf.Faults' fields.
func (s *Site) PatchLeafFaults(id string, patch json.RawMessage) error {
	return s.client.call(http.MethodPatch, s.leafURL(id, leaf.PathFaults), patch, nil)
}

// PatchLeafSettings changes settings of one leaf: a JSON object of leaf.Settings' fields.
func (s *Site) PatchLeafSettings(id string, patch json.RawMessage) error {
	return s.client.call(http.MethodPatch, s.leafURL(id, leaf.PathSettings), patch, nil)
}

// LeafStats are one leaf's own counts.
func (s *Site) LeafStats(id string) (leaf.Stats, error) {
	var st leaf.Stats
	return st, s.client.call(http.MethodGet, s.leafURL(id, leaf.PathStats), nil, &st)
}

// LeafRecord is one leaf's own record of executions.
func (s *Site) LeafRecord(id string) (leaf.Record, error) {
	var r leaf.Record
	return r, s.client.call(http.MethodGet, s.leafURL(id, leaf.PathRecord), nil, &r)
}

// LeafIDs lists the document's leaves.
func (s *Site) LeafIDs() []string {
	var ids []string
	for _, m := range s.members() {
		ids = append(ids, m.ID)
	}
	return ids
}

// noLines is for a program that prints nothing on its standard output.
func noLines(io.Reader) error { return nil }

// writeJSON writes a value to a file.
func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
