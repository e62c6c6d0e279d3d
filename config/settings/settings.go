// Package settings reads the settings of one entry instance: who it is, where
// it listens, how it reaches the platform and its peers, its limits and its
// policy plug-ins. Settings are read once, at the start.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

// Settings are the validated settings of one instance.
type Settings struct {
	// Instance is the ID in the platform's list.
	Instance string
	// Zone is the availability zone of the instance.
	Zone     string
	Listen   Listen
	Platform Platform
	Peer     Peer
	TLS      TLS
	Limits   Limits
	Log      Log
	Policy   Policy
}

// Listen holds the addresses to listen on, each IP:port. Operators may share
// the callers' address.
type Listen struct {
	Callers   string
	Peers     string
	Operators string
}

// Platform says how to reach the platform's service.
type Platform struct {
	// Address is the base URL, such as "http://127.0.0.1:7000".
	Address string
	// Token is the bearer token, given inline or read from a file.
	Token string
	// Timeout bounds one call that does not wait, watches excepted.
	Timeout time.Duration
	// CAFile verifies an https platform; empty means the system's roots.
	CAFile string
}

// Peer holds what entries need to trust each other.
type Peer struct {
	// Key is the shared secret of all entries, given inline or read from a file.
	Key []byte
	// Known are peer addresses, IP:port, that are asked for the configuration
	// when the platform can give neither it nor the list of instances.
	Known []string
}

// TLS names the PEM files; empty names mean plain text.
type TLS struct {
	CallersCert, CallersKey      string
	PeersCert, PeersKey, PeersCA string
}

// Limits bound what one request or connection may cost.
type Limits struct {
	BodyBytes   int64 // largest request body
	HeaderBytes int   // largest request header
	ReadTimeout time.Duration
	IdleTimeout time.Duration
	// DrainTime bounds how long a planned stop waits for the balancer to let go.
	DrainTime time.Duration
	// Queue is the most attempts that wait per shard.
	Queue int
	// Queries is the most queries in progress at once.
	Queries int
	// Connections is the most open connections of callers; 0: half of the process's descriptors.
	Connections int
	// MemoryBytes is the most that callers' connections and requests hold, in sum.
	MemoryBytes int64
}

// Log says what is logged and how.
type Log struct {
	Level  string // debug, info, warn, error
	Format string // text, logfmt, json
}

// Policy names the plug-in of each decision.
type Policy struct {
	Routing, Order, Limit, Repetition, Placement string
}

// Load reads and validates a settings file. Faults are a *fault.List.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return s, nil
}

// Parse reads and validates settings; it reads the token and key files that
// they name. Faults are a *fault.List.
func Parse(data []byte) (*Settings, error) {
	raw := defaults()
	if err := fault.Decode(what, data, &raw); err != nil {
		return nil, err
	}
	list := &fault.List{What: what}
	s := raw.convert(list)
	validate(s, list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// secret returns an inline value or the content of a file, less spaces around it.
func secret(inline, file, path string, list *fault.List) string {
	if inline != "" && file != "" {
		list.Addf(path, "give %s or %s_file, not both", path, path)
		return ""
	}
	if file == "" {
		return inline
	}
	data, err := os.ReadFile(file)
	if err != nil {
		list.Addf(path+"_file", "%v", err)
		return ""
	}
	return strings.TrimSpace(string(data))
}
