package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// good is the least that settings must say.
const good = `instance = "entry-0"
zone = "hall-a"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7070"

[platform]
address = "http://127.0.0.1:7000"
token = "t"

[peer]
key = "a-secret-of-all-entries"
`

// TestExitCodes runs command lines with wrong usage and wrong settings.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, tc := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"good settings", []string{"check", "--settings", write("good.toml", good)}, exitOK, "are good"},
		{"version", []string{"version"}, exitOK, "fuchsiaroad"},
		{"no command", nil, exitSettings, "want a command"},
		{"unknown command", []string{"sing"}, exitSettings, "sing"},
		{"unknown flag", []string{"serve", "--loud"}, exitSettings, "--loud"},
		{"no settings", []string{"serve"}, exitSettings, "--settings"},
		{"missing file", []string{"serve", "--settings", filepath.Join(dir, "none.toml")}, exitSettings, "none.toml"},
		{"unknown key", []string{"check", "--settings", write("key.toml", "zon = 1\n"+good)}, exitSettings, "line 1, column 1: zon: unknown key"},
		{"name for an IP", []string{"check", "--settings", write("ip.toml", strings.Replace(good, "127.0.0.1:8080", "localhost:8080", 1))}, exitSettings, "listen.callers"},
		{"unknown policy", []string{"check", "--settings", write("policy.toml", good+"[policy]\nrouting = \"luck\"\n")}, exitSettings, "luck"},
	} {
		var out bytes.Buffer
		if code := run(tc.args, &out, &out); code != tc.code || !strings.Contains(out.String(), tc.says) {
			t.Errorf("%s: exit code %d, want %d, and %q in:\n%s", tc.name, code, tc.code, tc.says, out.String())
		}
	}
}
