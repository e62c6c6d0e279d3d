package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
)

// Generation is the configuration in force at an entry; number 0 is none.
type Generation struct {
	Phase  string `json:"phase"`
	Number uint64 `json:"generation"`
	Hash   string `json:"hash"`
}

// Generation asks the entry which configuration is in force at it.
func (e *Entry) Generation(c *http.Client) (Generation, error) {
	var g Generation
	resp, err := c.Get(e.URL() + callerapi.PathStatus)
	if err != nil {
		return g, fmt.Errorf("status of %s: %w", e.ID, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&g); err != nil {
		return g, fmt.Errorf("status of %s: %w", e.ID, err)
	}
	return g, nil
}

// Saved is an entry's answer to a submitted document.
type Saved struct {
	State      string `json:"state"` // accepted, conflict, refused, unknown or invalid
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
	Detail     string `json:"detail"`
}

// Save submits a document at the entry, as an operator does, on condition of
// the version that it was made from.
func (e *Entry) Save(c *http.Client, token string, toml []byte, ifVersion uint64) (Saved, error) {
	var s Saved
	url := fmt.Sprintf("%s%s?if_version=%d", e.URL(), callerapi.PathConfig, ifVersion)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(toml))
	if err != nil {
		return s, fmt.Errorf("save at %s: %w", e.ID, err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := c.Do(req)
	if err != nil {
		return s, fmt.Errorf("save at %s: %w", e.ID, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return s, fmt.Errorf("save at %s: %w", e.ID, err)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("save at %s: status %d: %s", e.ID, resp.StatusCode, data)
	}
	return s, nil
}
