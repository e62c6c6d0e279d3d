package catalog

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ConfigChange is what leads from one version of the configuration to another.
type ConfigChange struct {
	Version uint64
	Limits  Limits
	// Routes are those that differ or are new, in their order, and GoneRoutes the names of
	// those that are no more.
	Routes     []Route  `json:",omitempty"`
	GoneRoutes []string `json:",omitempty"`
	// Services are those that differ or are new, and GoneServices those that are no more.
	Services     map[string]Service `json:",omitempty"`
	GoneServices []string           `json:",omitempty"`
}

// Change finds what leads from this version to another. Routes that keep their place among the
// others are found by their names; ok is false where that does not lead to the other version.
func (c *Config) Change(to *Config) (change *ConfigChange, ok bool) {
	out := &ConfigChange{Version: to.Version, Limits: to.Limits, Services: make(map[string]Service)}
	before := make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		before[c.Routes[i].Name] = &c.Routes[i]
	}
	for i := range to.Routes {
		was, known := before[to.Routes[i].Name]
		if !known || !was.equal(&to.Routes[i]) {
			out.Routes = append(out.Routes, to.Routes[i])
		}
		delete(before, to.Routes[i].Name)
	}
	out.GoneRoutes = slices.Sorted(maps.Keys(before))
	for name, s := range to.Services {
		if was, known := c.Services[name]; !known || was != s {
			out.Services[name] = s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if _, kept := to.Services[name]; !kept {
			out.GoneServices = append(out.GoneServices, name)
		}
	}
	return out, c.Apply(out).Hash() == to.Hash()
}

// Apply returns the version that a change leads to. It shares with this one what is equal.
func (c *Config) Apply(change *ConfigChange) *Config {
	out := &Config{Version: change.Version, Limits: change.Limits, Services: maps.Clone(c.Services)}
	if out.Services == nil {
		out.Services = make(map[string]Service, len(change.Services))
	}
	maps.Copy(out.Services, change.Services)
	for _, name := range change.GoneServices {
		delete(out.Services, name)
	}
	changed := make(map[string]int, len(change.Routes)) // to the index in change.Routes
	for i := range change.Routes {
		changed[change.Routes[i].Name] = i
	}
	gone := make(map[string]bool, len(change.GoneRoutes))
	for _, name := range change.GoneRoutes {
		gone[name] = true
	}
	out.Routes = make([]Route, 0, len(c.Routes)+len(change.Routes))
	for i := range c.Routes {
		name := c.Routes[i].Name
		if at, ok := changed[name]; ok {
			out.Routes = append(out.Routes, change.Routes[at])
			delete(changed, name)
		} else if !gone[name] {
			out.Routes = append(out.Routes, c.Routes[i])
		}
	}
	for i := range change.Routes {
		if _, added := changed[change.Routes[i].Name]; added {
			out.Routes = append(out.Routes, change.Routes[i])
		}
	}
	return out
}

// Hash is a hash of all that the version says; it is not 0.
func (c *Config) Hash() uint64 {
	h := xxhash.New()
	buf := binary.AppendUvarint(nil, c.Version)
	buf = binary.AppendVarint(buf, int64(c.Limits.HeaderBytes))
	buf = binary.AppendVarint(buf, c.Limits.BodyBytes)
	buf = appendTimes(buf, c.Limits.HeaderTime, c.Limits.IdleTime)
	_, _ = h.Write(buf) // never fails
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		buf = appendText(buf[:0], name, c.Services[name].Name)
		buf = binary.AppendVarint(buf, int64(c.Services[name].ConnectionLimit))
		_, _ = h.Write(buf)
	}
	for i := range c.Routes {
		buf = c.Routes[i].appendKey(buf[:0])
		_, _ = h.Write(buf)
	}
	return max(h.Sum64(), 1)
}

// equal reports whether two routes say the same.
func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Host == o.Host && r.Prefix == o.Prefix && r.Idempotent == o.Idempotent &&
		r.Timeout == o.Timeout && r.Objective == o.Objective && r.Attempts == o.Attempts && r.Priority == o.Priority &&
		r.TopK == o.TopK && r.LeastCoverage == o.LeastCoverage && slices.Equal(r.Shards, o.Shards) && slices.Equal(r.Targets, o.Targets)
}

// appendKey appends all that a route says.
func (r *Route) appendKey(buf []byte) []byte {
	buf = appendText(buf, r.Name, r.Host, r.Prefix)
	buf = strconv.AppendBool(buf, r.Idempotent)
	buf = appendTimes(buf, r.Timeout, r.Objective)
	for _, n := range []int{r.Attempts, r.Priority, r.TopK, len(r.Shards), len(r.Targets)} {
		buf = binary.AppendVarint(buf, int64(n))
	}
	buf = binary.AppendUvarint(buf, math.Float64bits(r.LeastCoverage))
	buf = appendText(buf, r.Shards...)
	for i := range r.Targets {
		buf = appendText(buf, r.Targets[i].Service)
		buf = binary.AppendUvarint(buf, math.Float64bits(r.Targets[i].Weight))
	}
	return buf
}

// appendText appends strings with their lengths.
func appendText(buf []byte, all ...string) []byte {
	for _, s := range all {
		buf = binary.AppendUvarint(buf, uint64(len(s)))
		buf = append(buf, s...)
	}
	return buf
}

// appendTimes appends durations.
func appendTimes(buf []byte, all ...time.Duration) []byte {
	for _, d := range all {
		buf = binary.AppendVarint(buf, int64(d))
	}
	return buf
}
