package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

const (
	what = "settings"
	// minPeerKey is the shortest peer key, in bytes.
	minPeerKey = 16
	maxTimeout = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// rawSettings is the TOML shape, filled with defaults before it is read.
type rawSettings struct {
	Instance string      `toml:"instance"`
	Zone     string      `toml:"zone"`
	Listen   rawListen   `toml:"listen"`
	Platform rawPlatform `toml:"platform"`
	Peer     rawPeer     `toml:"peer"`
	TLS      rawTLS      `toml:"tls"`
	Limits   rawLimits   `toml:"limits"`
	Log      rawLog      `toml:"log"`
	Policy   rawPolicy   `toml:"policy"`
}

// rawListen is the [listen] table as it is written.
type rawListen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// rawPlatform is the [platform] table as it is written.
type rawPlatform struct {
	Address   string `toml:"address"`
	Token     string `toml:"token"`
	TokenFile string `toml:"token_file"`
	Timeout   string `toml:"timeout"`
	CAFile    string `toml:"ca_file"`
}

// rawPeer is the [peer] table as it is written.
type rawPeer struct {
	Key     string   `toml:"key"`
	KeyFile string   `toml:"key_file"`
	Known   []string `toml:"known"`
}

// rawTLS is the [tls] table as it is written.
type rawTLS struct {
	CallersCert string `toml:"callers_cert"`
	CallersKey  string `toml:"callers_key"`
	PeersCert   string `toml:"peers_cert"`
	PeersKey    string `toml:"peers_key"`
	PeersCA     string `toml:"peers_ca"`
}

// rawLimits is the [limits] table as it is written.
type rawLimits struct {
	BodyBytes   int64  `toml:"body_bytes"`
	HeaderBytes int    `toml:"header_bytes"`
	ReadTimeout string `toml:"read_timeout"`
	IdleTimeout string `toml:"idle_timeout"`
	DrainTime   string `toml:"drain_time"`
	Queue       int    `toml:"queue"`
	Queries     int    `toml:"queries"`
	Connections int    `toml:"connections"`
	MemoryBytes int64  `toml:"memory_bytes"`
}

// rawLog is the [log] table as it is written.
type rawLog struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// rawPolicy is the [policy] table as it is written.
type rawPolicy struct {
	Routing    string `toml:"routing"`
	Order      string `toml:"order"`
	Limit      string `toml:"limit"`
	Repetition string `toml:"repetition"`
	Placement  string `toml:"placement"`
}

// defaults are the values of the keys that a file leaves out.
func defaults() rawSettings {
	return rawSettings{
		Platform: rawPlatform{Timeout: "1s"},
		Limits: rawLimits{
			BodyBytes: 1 << 20, HeaderBytes: 16 << 10, ReadTimeout: "10s", IdleTimeout: "2m",
			DrainTime: "10s", Queue: 256, Queries: 4096, MemoryBytes: 256 << 20,
		},
		Log: rawLog{Level: "info", Format: "logfmt"},
		Policy: rawPolicy{
			Routing: "two-choices", Order: "adaptive", Limit: "adaptive",
			Repetition: "budgeted", Placement: "direct",
		},
	}
}

// convert reads durations and secrets.
func (r *rawSettings) convert(list *fault.List) *Settings {
	operators := r.Listen.Operators
	if operators == "" {
		operators = r.Listen.Callers
	}
	return &Settings{
		Instance: r.Instance,
		Zone:     r.Zone,
		Listen:   Listen{Callers: r.Listen.Callers, Peers: r.Listen.Peers, Operators: operators},
		Platform: Platform{
			Address: r.Platform.Address,
			Token:   secret(r.Platform.Token, r.Platform.TokenFile, "platform.token", list),
			Timeout: timeout(r.Platform.Timeout, "platform.timeout", list),
			CAFile:  r.Platform.CAFile,
		},
		Peer: Peer{Key: []byte(secret(r.Peer.Key, r.Peer.KeyFile, "peer.key", list)), Known: r.Peer.Known},
		TLS:  TLS(r.TLS),
		Limits: Limits{
			BodyBytes:   r.Limits.BodyBytes,
			HeaderBytes: r.Limits.HeaderBytes,
			ReadTimeout: timeout(r.Limits.ReadTimeout, "limits.read_timeout", list),
			IdleTimeout: timeout(r.Limits.IdleTimeout, "limits.idle_timeout", list),
			DrainTime:   timeout(r.Limits.DrainTime, "limits.drain_time", list),
			Queue:       r.Limits.Queue,
			Queries:     r.Limits.Queries,
			Connections: r.Limits.Connections,
			MemoryBytes: r.Limits.MemoryBytes,
		},
		Log:    Log(r.Log),
		Policy: Policy(r.Policy),
	}
}

// timeout reads a duration above 0 and up to ten minutes.
func timeout(s, path string, list *fault.List) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		list.Addf(path, "%q is not a duration such as \"200ms\"", s)
		return 0
	}
	if d <= 0 || d > maxTimeout {
		list.Addf(path, "%v must be above 0s and up to %v", d, maxTimeout)
	}
	return d
}

// validate checks every rule of the settings.
func validate(s *Settings, list *fault.List) {
	name(s.Instance, "instance", list)
	name(s.Zone, "zone", list)
	address(s.Listen.Callers, "listen.callers", list)
	address(s.Listen.Peers, "listen.peers", list)
	address(s.Listen.Operators, "listen.operators", list)
	platformURL(s.Platform.Address, list)
	if s.Platform.Token == "" {
		list.Addf("platform.token", "it is needed, inline or by platform.token_file")
	}
	if len(s.Peer.Key) < minPeerKey {
		list.Addf("peer.key", "it needs at least %d bytes, inline or by peer.key_file", minPeerKey)
	}
	for i, known := range s.Peer.Known {
		address(known, fmt.Sprintf("peer.known[%d]", i), list)
	}
	pair(s.TLS.CallersCert, s.TLS.CallersKey, "tls.callers", list)
	pair(s.TLS.PeersCert, s.TLS.PeersKey, "tls.peers", list)
	if (s.TLS.PeersCA == "") != (s.TLS.PeersCert == "") {
		list.Addf("tls.peers_ca", "it goes with tls.peers_cert and tls.peers_key")
	}
	between(s.Limits.BodyBytes, 1, 64<<20, "limits.body_bytes", list)
	between(int64(s.Limits.HeaderBytes), 1<<10, 1<<20, "limits.header_bytes", list)
	between(int64(s.Limits.Queue), 1, 1<<20, "limits.queue", list)
	between(int64(s.Limits.Queries), 1, 1<<20, "limits.queries", list)
	between(int64(s.Limits.Connections), 0, 1<<20, "limits.connections", list)
	between(s.Limits.MemoryBytes, max(16<<20, minMemoryBodies*s.Limits.BodyBytes), 1<<40, "limits.memory_bytes", list)
	oneOf(s.Log.Level, "log.level", list, "debug", "info", "warn", "error")
	oneOf(s.Log.Format, "log.format", list, "text", "logfmt", "json")
	name(s.Policy.Routing, "policy.routing", list)
	name(s.Policy.Order, "policy.order", list)
	name(s.Policy.Limit, "policy.limit", list)
	name(s.Policy.Repetition, "policy.repetition", list)
	name(s.Policy.Placement, "policy.placement", list)
}

// minMemoryBodies is the number of the largest bodies for which there must be memory.
const minMemoryBodies = 4

// name checks a name.
func name(s, path string, list *fault.List) {
	if !namePattern.MatchString(s) {
		list.Addf(path, "%q must be 1 to 63 lower-case letters, digits, dots and hyphens", s)
	}
}

// address checks an IP:port.
func address(s, path string, list *fault.List) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		list.Addf(path, "%q is not IP:port", s)
	}
}

// platformURL checks the base of the platform's API.
func platformURL(s string, list *fault.List) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		list.Addf("platform.address", "%q is not a URL such as \"http://10.0.0.1:7000\"", s)
	}
}

// pair checks that a certificate and its key are both given or both absent.
func pair(cert, key, path string, list *fault.List) {
	if (cert == "") != (key == "") {
		list.Addf(path+"_cert", "%s_cert and %s_key go together", path, path)
	}
}

// between checks the bounds of a number, both included.
func between(v, low, high int64, path string, list *fault.List) {
	if v < low || v > high {
		list.Addf(path, "%d must be from %d to %d", v, low, high)
	}
}

// oneOf checks that a word is allowed.
func oneOf(s, path string, list *fault.List, allowed ...string) {
	if !slices.Contains(allowed, s) {
		list.Addf(path, "%q must be one of %s", s, strings.Join(allowed, ", "))
	}
}
