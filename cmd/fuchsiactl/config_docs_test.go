package main

import (
	"errors"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/config/settings"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
	_ "github.com/fuchsiaroad/fuchsiaroad/plugins" // registers the policies
)

// Top levels of the two files on the page.
const (
	topOfDocument = "Top level of the document"
	topOfSettings = "Top level of the settings"
)

// row is one line of a table of keys.
type row struct{ key, def, bounds string }

var rowPattern = regexp.MustCompile("^\\| `([a-z0-9_]+)` \\|[^|]*\\|([^|]*)\\|([^|]*)\\|")

// readPage reads the tables of keys by heading, and the examples by their mark.
func readPage(t *testing.T) (tables map[string][]row, examples map[string]string) {
	t.Helper()
	text, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	tables, examples = map[string][]row{}, map[string]string{}
	heading, example := "", ""
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(line, "### "); ok && example == "" {
			heading = strings.Trim(strings.TrimSpace(name), "`")
		}
		if mark, ok := strings.CutPrefix(line, "```toml "); ok {
			example = strings.TrimSpace(mark)
			continue
		}
		if strings.HasPrefix(line, "```") {
			example = ""
		}
		if example != "" {
			examples[example] += line
		}
		if m := rowPattern.FindStringSubmatch(line); m != nil {
			tables[heading] = append(tables[heading], row{m[1], strings.TrimSpace(m[2]), strings.TrimSpace(m[3])})
		}
	}
	return tables, examples
}

// allowedKeys asks a parser which keys a table has, by giving it one that none has.
func allowedKeys(t *testing.T, parse func([]byte) error, header string) []string {
	t.Helper()
	err := parse([]byte(header + "\nno-such-key = 1\n"))
	var list *fault.List
	if !errors.As(err, &list) {
		t.Fatalf("%s: got %v, want faults", header, err)
	}
	for _, f := range list.Faults {
		if _, keys, ok := strings.Cut(f.Reason, "allowed: "); ok {
			return strings.Split(keys, ", ")
		}
	}
	t.Fatalf("%s: no fault lists the keys: %v", header, err)
	return nil
}

func parseDocument(text []byte) error {
	_, err := codec.Parse(text)
	return err
}

func parseSettings(text []byte) error {
	_, err := settings.Parse(text)
	return err
}

// TestConfigurationPageHasEachKey compares the page's tables with the keys that
// the parsers take, both ways.
func TestConfigurationPageHasEachKey(t *testing.T) {
	tables, _ := readPage(t)
	check := func(parse func([]byte) error, heading, header string, skip []string) []string {
		keys := allowedKeys(t, parse, header)
		want := slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return slices.Contains(skip, k) })
		var got []string
		for _, r := range tables[heading] {
			got = append(got, r.key)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s: the page has %v, the parser takes %v", heading, got, want)
		}
		delete(tables, heading)
		return keys
	}
	check(parseDocument, topOfDocument, "", nil)
	for _, table := range []string{"upstream", "upstream.shard", "upstream.shard.leaf", "service", "caller", "route", "route.target"} {
		check(parseDocument, "[["+table+"]]", "[["+table+"]]", nil)
	}
	// Keys of the top level that are tables have sections of their own.
	all := allowedKeys(t, parseSettings, "")
	sections := slices.DeleteFunc(slices.Clone(all), func(k string) bool { return k == "instance" || k == "zone" })
	check(parseSettings, topOfSettings, "", sections)
	for _, section := range sections {
		check(parseSettings, "["+section+"]", "["+section+"]", nil)
	}
	for heading := range tables {
		t.Errorf("%s: a table of keys that no parser takes", heading)
	}
}

var quoted = regexp.MustCompile("^`([^`]*)`")

// TestConfigurationPageDefaults compares the defaults on the page with those
// that the parsers fill in.
func TestConfigurationPageDefaults(t *testing.T) {
	tables, examples := readPage(t)
	doc, err := codec.Parse([]byte(examples["document"]))
	if err != nil {
		t.Fatal(err)
	}
	var filled map[string][]map[string]any
	if err := toml.Unmarshal(codec.Format(doc)[len("site = \"cap-bon\"\n"):], &filled); err != nil {
		t.Fatal(err)
	}
	// The example's service is not idempotent.
	notIdempotent := map[string]string{"hedge_budget": "0.0", "key_required": "true"}
	for _, table := range []string{"upstream", "service", "caller"} {
		for _, r := range tables["[["+table+"]]"] {
			def := quoted.FindStringSubmatch(r.def)
			if def == nil {
				continue
			}
			want := def[1]
			if other, ok := notIdempotent[r.key]; ok {
				want = other
			}
			if got := filled[table][0][r.key]; !sameValue(got, want) {
				t.Errorf("%s.%s: the page says %s, the parser %v", table, r.key, want, got)
			}
		}
	}
	s, err := settings.Parse([]byte(examples["settings"]))
	if err != nil {
		t.Fatal(err)
	}
	checkSettingsDefaults(t, tables, reflect.ValueOf(*s))
}

// checkSettingsDefaults compares each default with the field of its key's name.
func checkSettingsDefaults(t *testing.T, tables map[string][]row, s reflect.Value) {
	checked := 0
	for _, section := range []string{"platform", "limits", "log", "policy"} {
		table := fieldOf(s, section)
		for _, r := range tables["["+section+"]"] {
			def := quoted.FindStringSubmatch(r.def)
			if def == nil {
				continue
			}
			checked++
			if got := fieldOf(table, r.key).Interface(); !sameValue(got, def[1]) {
				t.Errorf("%s.%s: the page says %s, the parser %v", section, r.key, def[1], got)
			}
		}
	}
	if checked != 17 {
		t.Errorf("%d defaults of settings were compared, want 17", checked)
	}
}

// fieldOf is the field of a key: body_bytes is BodyBytes.
func fieldOf(v reflect.Value, key string) reflect.Value {
	return v.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, strings.ReplaceAll(key, "_", "")) })
}

// sameValue compares a value with what the page says.
func sameValue(got any, page string) bool {
	if d, ok := got.(time.Duration); ok {
		want, err := time.ParseDuration(page)
		return err == nil && d == want
	}
	var want map[string]any
	if err := toml.Unmarshal([]byte("v = "+page), &want); err != nil {
		return got == page
	}
	return reflect.ValueOf(got).Convert(reflect.TypeOf(want["v"])).Interface() == want["v"]
}

// TestConfigurationPagePolicies checks that the page names each plug-in.
func TestConfigurationPagePolicies(t *testing.T) {
	tables, _ := readPage(t)
	registered := map[string][]string{
		"routing": plugin.Routings.Names(), "order": plugin.Orders.Names(), "limit": plugin.Limits.Names(),
		"repetition": plugin.Repetitions.Names(), "placement": plugin.Placements.Names(),
	}
	for _, r := range tables["[policy]"] {
		var got []string
		for _, m := range regexp.MustCompile("`([^`]*)`").FindAllStringSubmatch(r.bounds, -1) {
			got = append(got, m[1])
		}
		slices.Sort(got)
		if !slices.Equal(got, registered[r.key]) {
			t.Errorf("%s: the page names %v, registered are %v", r.key, got, registered[r.key])
		}
	}
}
