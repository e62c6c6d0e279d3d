package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
)

const minimal = `instance = "entry-1"
zone = "boa-vista"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7080"
[platform]
address = "http://127.0.0.1:7000"
token = "t"
[peer]
key = "0123456789abcdef"
[limits]
[policy]
`

func TestMinimalSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.Listen.Operators != s.Listen.Callers {
		t.Errorf("operators listen on %q", s.Listen.Operators)
	}
	if s.Limits.BodyBytes != 1<<20 || s.Policy.Routing == "" {
		t.Errorf("defaults are missing: %+v", s)
	}
}

func TestTokenFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse([]byte(strings.Replace(minimal, `token = "t"`, `token_file = "`+path+`"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Platform.Token != "secret" {
		t.Errorf("token %q", s.Platform.Token)
	}
}

// TestFaultsNameTheirPath breaks one rule at a time.
func TestFaultsNameTheirPath(t *testing.T) {
	cases := []struct{ old, new, path string }{
		{`"entry-1"`, `""`, "instance"},
		{`"boa-vista"`, `"Boa Vista"`, "zone"},
		{`callers = "127.0.0.1:8080"`, `callers = "localhost:1"`, "listen.callers"},
		{`peers = "127.0.0.1:7080"`, ``, "listen.peers"},
		{`"http://127.0.0.1:7000"`, `"ftp://x"`, "platform.address"},
		{`token = "t"`, ``, "platform.token"},
		{`token = "t"`, "token = \"t\"\ntoken_file = \"x\"", "platform.token"},
		{`token = "t"`, `token_file = "does-not-exist"`, "platform.token_file"},
		{`token = "t"`, "token = \"t\"\ntimeout = \"-1s\"", "platform.timeout"},
		{`"0123456789abcdef"`, `"short"`, "peer.key"},
		{`[limits]`, "known = [\"127.0.0.1:1\", \"x\"]\n[limits]", "peer.known[1]"},
		{`[limits]`, "[limits]\nbody_bytes = 0", "limits.body_bytes"},
		{`[limits]`, "[limits]\nqueue = 0", "limits.queue"},
		{`[limits]`, "[limits]\nread_timeout = \"x\"", "limits.read_timeout"},
		{`[limits]`, "[log]\nlevel = \"loud\"", "log.level"},
		{`[limits]`, "[tls]\ncallers_cert = \"c.pem\"", "tls.callers_cert"},
		{`[policy]`, "[policy]\nrouting = \"\"", "policy.routing"},
		{`[policy]`, "[policy]\nluck = 1", "policy.luck"},
	}
	for _, c := range cases {
		text := strings.Replace(minimal, c.old, c.new, 1)
		if text == minimal {
			t.Fatalf("case %s does not change the settings", c.path)
		}
		_, err := settings.Parse([]byte(text))
		var list *fault.List
		if !errors.As(err, &list) {
			t.Fatalf("%s: got %v, want a list of faults", c.path, err)
		}
		if !slices.ContainsFunc(list.Faults, func(f fault.Fault) bool { return f.Path == c.path }) {
			t.Errorf("faults %v do not name %s", list.Faults, c.path)
		}
	}
}
