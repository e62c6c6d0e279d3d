package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/sebdah/goldie/v2"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators/operatorstest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

const testGeneration = 7

// ran is what a command did.
type ran struct {
	code           int
	stdout, stderr string
}

// String is the form of the golden files.
func (r ran) String() string {
	return fmt.Sprintf("exit code %d\n-- stdout --\n%s-- stderr --\n%s", r.code, r.stdout, r.stderr)
}

// runConfig runs one config command against an entry.
func runConfig(o *options, stdin []byte, args ...string) ran {
	var stdout, stderr bytes.Buffer
	cmd := newConfig(o)
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetIn(bytes.NewReader(stdin))
	cmd.SetOut(&stdout)
	cmd.SetErr(&stderr)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintln(&stderr, "fuchsiactl:", err)
	}
	text := stderr.String()
	if o.entry != "" {
		text = strings.ReplaceAll(text, o.entry, "ENTRY")
	}
	return ran{exitCode(err), stdout.String(), text}
}

// testEntry serves the operators' API over a control.
func testEntry(t *testing.T, c *operatorstest.Control, output string) *options {
	t.Helper()
	e := echo.New()
	operators.New(operators.Config{Control: c, Quarantine: c, Views: c, FirstToken: "first"}).Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return &options{output: output, entry: server.URL, token: samples.Token("operator")}
}

func testDocument() *document.Document { return samples.CapBon(samples.CapBonBasePort) }

// changedDocument is the text of the document with another share.
func changedDocument(share int) *document.Document {
	d := testDocument()
	d.Callers[0].Share = share
	return d
}

// badDocument has faults of each kind that a parser can't see by itself.
func badDocument() []byte {
	text := string(codec.Format(testDocument()))
	return []byte(strings.NewReplacer(
		`range = "0-3276"`, `range = "0-3000"`,
		`deadline = "1s"`, `deadline = "soon"`,
		`share = 1`, `share = 0`,
	).Replace(text))
}

func TestConfigOutput(t *testing.T) {
	valid, changed := codec.Format(testDocument()), codec.Format(changedDocument(5))
	misspelt := bytes.Replace(valid, []byte("slots = "), []byte("slotz = "), 1)
	for _, tc := range []struct {
		name   string
		output string
		stdin  []byte
		args   string
	}{
		{"validate", outputTable, valid, "validate -"},
		{"validate_json", outputJSON, valid, "validate -"},
		{"validate_bad", outputTable, badDocument(), "validate -"},
		{"validate_bad_json", outputJSON, misspelt, "validate -"},
		{"diff", outputTable, changed, "diff -"},
		{"diff_json", outputJSON, changed, "diff -"},
		{"diff_none", outputTable, valid, "diff -"},
		{"apply", outputTable, changed, "apply -"},
		{"apply_json", outputJSON, changed, "apply - --if-version 7"},
		{"apply_bad", outputTable, misspelt, "apply -"},
		{"apply_stale", outputTable, changed, "apply - --if-version 6"},
		{"status", outputTable, nil, "status"},
		{"status_json", outputJSON, nil, "status"},
		{"no_command", outputTable, nil, ""},
		{"no_file", outputTable, nil, "validate missing.toml"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := operatorstest.New(testGeneration, testDocument())
			c.Status = callerapi.ConfigStatus{Highest: testGeneration, Instances: []callerapi.InstanceConfig{
				{Instance: "entry-0", Generation: testGeneration, Hash: codec.Hash(testDocument()), AgeMS: 0},
				{Instance: "entry-1", Generation: testGeneration - 1, Hash: "", AgeMS: 1500},
				{Instance: "entry-2", Generation: 0, AgeMS: 250},
			}}
			c.List = []platformapi.Instance{
				{ID: "entry-1", Role: platformapi.RoleEntry}, {ID: "entry-3", Role: platformapi.RoleEntry}, {ID: "leaf-0", Role: platformapi.RoleLeaf},
			}
			got := runConfig(testEntry(t, c, tc.output), tc.stdin, strings.Fields(tc.args)...)
			goldie.New(t, goldie.WithFixtureDir("testdata/config")).Assert(t, tc.name, []byte(got.String()))
		})
	}
}

// TestConfigApplyOutcomes checks the exit code and the words of each outcome.
func TestConfigApplyOutcomes(t *testing.T) {
	for fault, want := range map[operatorstest.Fault]struct {
		code  int
		words string
	}{
		operatorstest.LostReply:  {exitUnknown, "may have been saved"},
		operatorstest.Refuse:     {exitNotRun, "the store is down"},
		operatorstest.Overtaken:  {exitNotRun, "generation 8 was stored meanwhile"},
		operatorstest.Unreadable: {exitNotRun, "can't be read yet"},
	} {
		c := operatorstest.New(testGeneration, testDocument())
		c.OvertakeNext(fault, changedDocument(5))
		got := runConfig(testEntry(t, c, outputTable), codec.Format(changedDocument(9)), "apply", "-")
		if got.code != want.code || !strings.Contains(got.stderr, want.words) {
			t.Errorf("fault %d: %s", fault, got)
		}
		if (fault == operatorstest.Overtaken) != strings.Contains(got.stdout, "-share = 5\n+share = 9\n") {
			t.Errorf("fault %d: %s", fault, got)
		}
	}
}

// TestConfigApplyNamesTheVersion checks that a save names the version asked
// for, or else the one in force, and that the first document goes with 0.
func TestConfigApplyNamesTheVersion(t *testing.T) {
	text := codec.Format(changedDocument(5))
	c := operatorstest.New(testGeneration, testDocument())
	o := testEntry(t, c, outputTable)
	runConfig(o, text, "apply", "-", "--if-version", "3")
	runConfig(o, text, "apply", "-")
	if s := c.Submitted(); len(s) != 2 || s[0].IfVersion != 3 || s[1].IfVersion != testGeneration {
		t.Errorf("submitted %+v", s)
	}
	c = operatorstest.New(0, nil)
	o = testEntry(t, c, outputTable)
	o.token = "first"
	if got := runConfig(o, text, "apply", "-"); got.code != exitNotRun || len(c.Submitted()) != 0 {
		t.Errorf("without a version and a document: %s", got)
	}
	if got := runConfig(o, text, "apply", "-", "--if-version", "0"); got.code != exitOK {
		t.Errorf("first document: %s", got)
	}
}

// TestConfigApplyCutOff checks that only what provably did not arrive, or was
// refused by an entry, is told as not run.
func TestConfigApplyCutOff(t *testing.T) {
	text := codec.Format(testDocument())
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			fmt.Fprint(w, body)
		}
	}
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		code    int
	}{
		"hangs up":            {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, exitUnknown},
		"balancer gave up":    {answer(http.StatusGatewayTimeout, "<html>"), exitUnknown},
		"entry failed":        {answer(500, `{"type":"urn:fuchsiaroad:problem:internal"}`), exitUnknown},
		"entry has none":      {answer(503, `{"type":"urn:fuchsiaroad:problem:no-document"}`), exitNotRun},
		"not an operator":     {answer(403, `{"type":"urn:fuchsiaroad:problem:not-operator"}`), exitNotRun},
		"not an entry at all": {answer(200, `{}`), exitUnknown},
	} {
		server := httptest.NewServer(tc.handler)
		o := &options{output: outputTable, entry: server.URL, token: "t"}
		if got := runConfig(o, text, "apply", "-", "--if-version", "1"); got.code != tc.code {
			t.Errorf("%s: %s", name, got)
		}
		server.Close()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	o := &options{output: outputTable, entry: listener.Addr().String(), token: "t"}
	if got := runConfig(o, text, "apply", "-", "--if-version", "1"); got.code != exitNotRun {
		t.Errorf("nobody listens: %s", got)
	}
}

func TestConfigShow(t *testing.T) {
	o := testEntry(t, operatorstest.New(testGeneration, testDocument()), outputTable)
	if got := runConfig(o, nil, "show"); got.code != exitOK || got.stdout != string(codec.Format(testDocument())) {
		t.Errorf("code %d, %s", got.code, got.stderr)
	}
}

// TestConfigFiles checks that files do as well as standard input.
func TestConfigFiles(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.toml"), filepath.Join(dir, "b.toml")
	for name, doc := range map[string]*document.Document{a: testDocument(), b: changedDocument(5)} {
		if err := os.WriteFile(name, codec.Format(doc), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got := runConfig(&options{output: outputTable}, nil, "diff", a, b)
	if got.code != exitOK || !strings.Contains(got.stdout, "+share = 5\n") {
		t.Errorf("%s", got)
	}
}

// TestFaultLines checks lines against the text itself.
func TestFaultLines(t *testing.T) {
	text := []byte("# a comment\nsite = \"s\"\n\n[[upstream]]\nname = \"u\"\n[[upstream.shard]]\nrange = \"0-1\"\n" +
		"[[upstream.shard.leaf]]\nid = \"l\"\n[[upstream]]\nname = \"v\"\n[[upstream.shard]]\nrange = \"0-1\"\n")
	lines := linesOf(text)
	for path, want := range map[string]int{
		"site":                              2,
		"upstream[0].name":                  5,
		"upstream[0].shard[0].range":        7,
		"upstream[0].shard[0].leaf[0].id":   9,
		"upstream[0].shard[0].leaf[0].zone": 8,
		"upstream[1].name":                  11,
		"upstream[1].slots":                 10,
		"upstream[1].shard[0].range":        13,
		"upstream[1].shard[0].leaf":         12,
		"service":                           0,
		"service[0].name":                   0,
	} {
		if got := lines.of(path); got != want {
			t.Errorf("%s: line %d, want %d", path, got, want)
		}
	}
}
