package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
)

// root is the repository's root, seen from this package.
const root = "../.."

// read returns a file of the repository.
func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// sources returns the Go code of a folder, tests left out.
func sources(t *testing.T, folder string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no source in %s: %v", folder, err)
	}
	var all strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(data)
	}
	return all.String()
}

// matches returns the first group of each match, sorted, each once.
func matches(pattern, text string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// same reports what stands on one side only.
func same(t *testing.T, what string, code, page []string) {
	t.Helper()
	if len(code) == 0 {
		t.Errorf("%s: none found in the code", what)
	}
	for _, name := range code {
		if !slices.Contains(page, name) {
			t.Errorf("%s: %q is in the code and not on the page", what, name)
		}
	}
	for _, name := range page {
		if !slices.Contains(code, name) {
			t.Errorf("%s: %q is on the page and not in the code", what, name)
		}
	}
}

// TestMetricsOnThePage compares the instruments with the page for operators.
func TestMetricsOnThePage(t *testing.T) {
	const instrument = `\.(?:Counter|Timer|Histogram|Gauge)\("([a-z_]+)"`
	var code []string
	for _, name := range matches(instrument, sources(t, "entry/telemetry")) {
		code = append(code, "fuchsiaroad_"+name)
	}
	// Each meter of the node has a scope of its own, named in node.go.
	node := sources(t, "entry/node") + sources(t, "entry/platform") + sources(t, "entry/hosted")
	for _, scope := range regexp.MustCompile(`(\w+Meter)\{(?:[Ss]cope: )?\w+\.metrics\.Scope\.SubScope\("([a-z_]+)"\)`).FindAllStringSubmatch(node, -1) {
		for _, method := range strings.Split(node, "\nfunc ") {
			if !strings.HasPrefix(method, "(m "+scope[1]+")") && !strings.HasPrefix(method, "(m *"+scope[1]+")") {
				continue
			}
			for _, name := range matches(instrument, method) {
				code = append(code, "fuchsiaroad_"+scope[2]+"_"+name)
			}
		}
	}
	same(t, "metrics", code, matches("`?(fuchsiaroad_[a-z_]+)", read(t, "docs/OPERATIONS.md")))
}

// TestLogLinesOnThePage looks each quoted message of node and control up in the code.
func TestLogLinesOnThePage(t *testing.T) {
	code := sources(t, "entry/node") + sources(t, "entry/control")
	quoted := matches(`level=[a-z]+ prefix=(?:node|control) msg="?([a-z :]+?)"?(?: [a-z_]+=.*)?(?m:[`+"`"+`]|$)`, read(t, "docs/OPERATIONS.md"))
	if len(quoted) < 5 {
		t.Fatalf("only %q found on the page", quoted)
	}
	for _, line := range quoted {
		if !strings.Contains(code, `"`+line+`"`) {
			t.Errorf("no part logs %q", line)
		}
	}
}

// TestProblemTypesOnThePage compares the codes of refusals with the callers' page.
func TestProblemTypesOnThePage(t *testing.T) {
	serving := sources(t, "entry/server")
	code := matches(`Code: "([a-z-]+)"`, serving)
	code = append(code, matches(`problemType \+ "([a-z-]+)"`, serving)...)
	code = append(code, matches(`RefusedReason = "([a-z-]+)"`, sources(t, "entry/executor"))...)
	_, table, _ := strings.Cut(read(t, "docs/API.md"), "| type `urn:fuchsiaroad:problem:`")
	table, _, _ = strings.Cut(table, "## Others")
	var page []string
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, "| `") {
			page = append(page, matches("`([a-z-]+)`", strings.Split(line, "|")[1])...)
		}
	}
	page = append(page, matches("(?m)^`([a-z-]+)`, status", table)...)
	same(t, "problem types", code, page)
}

// TestPathsInOpenAPI compares the callers' paths with the description for generators.
func TestPathsInOpenAPI(t *testing.T) {
	code := []string{
		strings.Replace(callerapi.PathQuery, ":service", "{service}", 1),
		strings.Replace(callerapi.PathRouted, "*", "{path}", 1), callerapi.PathHealthz, callerapi.PathReadyz, callerapi.PathStatus, callerapi.PathMetrics,
	}
	same(t, "paths", code, matches(`(?m)^  (/[^:]*):$`, read(t, "docs/openapi.yaml")))
}

// TestFieldsInOpenAPI compares the JSON names of an answer and a refusal.
func TestFieldsInOpenAPI(t *testing.T) {
	page := read(t, "docs/openapi.yaml")
	source := read(t, "api/callerapi/callerapi.go")
	source, _, _ = strings.Cut(source, "// ConfigState is")
	for _, name := range matches("`json:\"([a-z_]+)", source) {
		if !regexp.MustCompile(`\b` + name + `: \{|\b` + name + `:\n`).MatchString(page) {
			t.Errorf("field %q is not described", name)
		}
	}
}

// TestScenarioCommandsOnThePage looks each command of the scripts up on its page.
func TestScenarioCommandsOnThePage(t *testing.T) {
	page := read(t, "scenarios/README.md")
	commands := matches(`(?m)^\t"([a-z-]+)": +command\(`, read(t, "scenarios/commands_test.go"))
	if len(commands) == 0 {
		t.Fatal("no command found in the code")
	}
	for _, name := range commands {
		if !regexp.MustCompile("`" + name + "[ `]").MatchString(page) {
			t.Errorf("command %q is not on the page", name)
		}
	}
}

// TestLinksLead looks the target of every link between pages up.
func TestLinksLead(t *testing.T) {
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md", "scenarios/*.md", "spec/*.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, found...)
	}
	for _, page := range pages {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, target := range matches(`\]\(([^)#:]+)(?:#[^)]*)?\)`, string(data)) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s: no %s", page, target)
			}
		}
	}
}

// TestDesignNotesAreListed compares the index with the folder.
func TestDesignNotesAreListed(t *testing.T) {
	found, err := filepath.Glob(filepath.Join(root, "docs/design/*.md"))
	if err != nil {
		t.Fatal(err)
	}
	var notes []string
	for _, path := range found {
		if name := filepath.Base(path); name != "README.md" {
			notes = append(notes, name)
		}
	}
	same(t, "design notes", notes, matches(`(?m)^\| \[([a-z-]+\.md)\]`, read(t, "docs/design/README.md")))
}

// TestExamplesAreGood checks the files that the README's first query uses.
func TestExamplesAreGood(t *testing.T) {
	if _, err := codec.Parse([]byte(read(t, "docs/examples/titles.toml"))); err != nil {
		t.Errorf("document: %v", err)
	}
	for _, name := range []string{"entry-0.toml", "entry-1.toml"} {
		if _, err := settings.Load(filepath.Join(root, "docs/examples", name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
