// Package hosted writes what the users' platform gives to an instance and what its
// leaves say, in the platform's words: settings files, configurations, leaves'
// entries, requests and answers. Tests and the soak share it.
package hosted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// SettingsVariable is the environment variable with the path of the settings file.
const SettingsVariable = "FUCHSIAROAD_NODE_FILE"

// Headers of requests and answers.
const (
	HeaderRequest    = "Fuchsiaroad-Request-Id"
	HeaderDeadlineMS = "Fuchsiaroad-Deadline-Ms"
	HeaderExpect     = "Fuchsiaroad-Expect-Instance"
	HeaderSignature  = "Fuchsiaroad-Server-Stamp"
	HeaderSignatures = "Fuchsiaroad-Part-Stamps"
	HeaderMissing    = "Fuchsiaroad-Missing-Parts"
	HeaderNotRun     = "Fuchsiaroad-Not-Executed"
	HeaderInstance   = "Fuchsiaroad-Instance-Id"
)

// Settings are what an instance reads.
type Settings struct {
	Name, Zone string
	// Clients, Ready and Peers are addresses of the instance, IP:port.
	Clients, Ready, Peers string
	Store                 string
	// Seeds are addresses like Peers of instances that the platform names; empty: it
	// gives no control addresses.
	Seeds        []string
	Grace, Bound time.Duration
	Ratio, Slack float64
	Window       time.Duration
	Heartbeat    time.Duration
	// First says that all instances start, for the first time.
	First bool
	// MemoryBytes and Descriptors are the limits of the process; 0: MemoryBytes and none.
	MemoryBytes int64
	Descriptors int
}

// MemoryBytes is the memory that the settings grant to an instance.
const MemoryBytes = 284 << 20

// File is the settings file. It has a field that no instance knows.
func (s Settings) File() (map[string]any, error) {
	ip, peerPort, err := net.SplitHostPort(s.Peers)
	if err != nil {
		return nil, fmt.Errorf("peers' address: %w", err)
	}
	port, err := strconv.Atoi(peerPort)
	if err != nil {
		return nil, fmt.Errorf("peers' port: %w", err)
	}
	listen := map[string]string{"front": s.Clients, "ready-addr": s.Ready}
	if len(s.Seeds) > 0 {
		listen["control"] = s.Peers
	}
	limits := map[string]any{"cpu-share": 0.5, "cpu-cores": 1, "memory-mb": MemoryBytes >> 20}
	if s.MemoryBytes > 0 {
		limits["memory-mb"] = s.MemoryBytes >> 20
	}
	if s.Descriptors > 0 {
		limits["max-fds"] = s.Descriptors
	}
	return map[string]any{
		"node-name": s.Name, "zone": s.Zone, "ip": ip, "internal-ports": []int{port, port},
		"listen-addrs": listen, "seeds": s.Seeds, "heartbeat-ms": s.Heartbeat.Milliseconds(), "bootstrap": s.First,
		"limits": limits,
		"parameters": map[string]any{
			"grace-period-s": s.Grace.Seconds(), "config-apply-ms": s.Bound.Milliseconds(), "drain-timeout-ms": s.Bound.Milliseconds(),
			"retry-budget-ratio": s.Ratio, "retry-slack": s.Slack, "retry-window-s": s.Window.Seconds(),
		},
		"platform":   map[string]string{"address": s.Store},
		"unheard-of": "ignored",
	}, nil
}

// Route is a route of a configuration: to one service, or to shards.
type Route struct {
	Name, Prefix string
	// Once says that its requests are not idempotent.
	Once               bool
	Timeout, Objective time.Duration
	Attempts           int
	Service            string
	Shards             []string
	TopK               int
	LeastShare         float64
}

// Host is the host of all routes.
const Host = "site.example"

// configRoute is a route in the platform's words.
type configRoute struct {
	Name       string   `json:"name"`
	Host       string   `json:"host"`
	Prefix     string   `json:"path-prefix"`
	Type       string   `json:"type"`
	TimeoutMS  int64    `json:"timeout-ms"`
	GoalMS     int64    `json:"latency-goal-ms"`
	Attempts   int      `json:"attempts"`
	Service    string   `json:"service,omitempty"`
	Shards     []string `json:"shards,omitempty"`
	TopK       int      `json:"top-k,omitempty"`
	LeastShare float64  `json:"min-success-share,omitempty"`
}

// Limits bound what clients may send; 0: the configuration states none.
type Limits struct {
	HeaderBytes          int
	BodyBytes            int64
	HeaderTime, IdleTime time.Duration
}

// Configure writes a version of the configuration into the store, with BodyLimit as its only limit.
func Configure(store *platform.Server, version uint64, routes ...Route) error {
	return ConfigureLimits(store, version, Limits{BodyBytes: BodyLimit}, routes...)
}

// ConfigureLimits writes a version of the configuration into the store.
func ConfigureLimits(store *platform.Server, version uint64, l Limits, routes ...Route) error {
	list := make([]configRoute, 0, len(routes))
	for _, r := range routes {
		kind := "idempotent"
		if r.Once {
			kind = "non_idempotent"
		}
		list = append(list, configRoute{
			Name: r.Name, Host: Host, Prefix: r.Prefix, Type: kind, TimeoutMS: r.Timeout.Milliseconds(), GoalMS: r.Objective.Milliseconds(),
			Attempts: r.Attempts, Service: r.Service, Shards: r.Shards, TopK: r.TopK, LeastShare: r.LeastShare,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": []any{}, "limits": map[string]int64{
			"max-header-bytes": int64(l.HeaderBytes), "max-body-bytes": l.BodyBytes,
			"header-timeout-ms": l.HeaderTime.Milliseconds(), "idle-timeout-ms": l.IdleTime.Milliseconds(),
		},
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	store.Set("config", "main", data)
	return nil
}

// BodyLimit is the most bytes of a request's body that configurations allow.
const BodyLimit = 100_000

// Leaf is a leaf's entry.
type Leaf struct {
	ID, Service, Zone, Address string
	Draining                   bool
	// WarmUp is the rest of the slow start.
	WarmUp time.Duration
	// Sequence changes with each heartbeat.
	Sequence int64
	// Born is the Unix millisecond of the leaf's start; 0: it does not say.
	Born int64
}

// slots is what entries say of the requests that a leaf runs at once.
const slots = 2

// Register writes a leaf's entry into the store.
func Register(store *platform.Server, l Leaf) { store.Set(KindLeaves, l.ID, l.entry()) }

// Beat writes a leaf's heartbeat: only the sequence of its entry is new, which is no change. A leaf
// without an entry has to register.
func Beat(store *platform.Server, l Leaf) { store.Refresh(KindLeaves, l.ID, l.entry()) }

// Replace writes a leaf's entry if the store has one, as a heartbeat does.
func Replace(store *platform.Server, l Leaf) {
	if _, found := store.Object(KindLeaves, l.ID); found {
		Register(store, l)
	}
}

// entry returns the value of a leaf's entry.
func (l Leaf) entry() []byte {
	phase := "ready"
	if l.Draining {
		phase = "draining"
	}
	born := ""
	if l.Born != 0 {
		born = fmt.Sprintf(`,"born":%d`, l.Born)
	}
	return fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":%d,"phase":%q,"warmup-left-ms":%d,"sequence":%d%s}`,
		l.Service, l.Address, l.Zone, slots, phase, l.WarmUp.Milliseconds(), l.Sequence, born)
}

// KindLeaves is the kind of the leaves' entries.
const KindLeaves = "servers"

// Unregister removes a leaf's entry.
func Unregister(store *platform.Server, id string) { store.Unset(KindLeaves, id) }

// Answer is a sound answer to a request.
func Answer(r rawleaf.Seen, signature, body string) []byte {
	return rawleaf.Response(http.StatusOK, body, HeaderRequest+": "+r.Header.Get(HeaderRequest), HeaderSignature+": "+signature)
}

// Declined is a leaf's word that it did not run a request.
func Declined(r rawleaf.Seen) []byte {
	return rawleaf.Response(http.StatusServiceUnavailable, "", HeaderNotRun+": 1", HeaderRequest+": "+r.Header.Get(HeaderRequest))
}

// Misdirected is the answer of a leaf that a request does not name.
func Misdirected(r rawleaf.Seen, id string) []byte {
	return rawleaf.Response(http.StatusMisdirectedRequest, "", HeaderInstance+": "+id, HeaderRequest+": "+r.Header.Get(HeaderRequest))
}

// FreeAddresses finds n different addresses of an IP on which nothing listens.
func FreeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free address: %w", err)
		}
		defer l.Close() // all at the end: a port that is given back could come again
		out = append(out, l.Addr().String())
	}
	return out, nil
}
