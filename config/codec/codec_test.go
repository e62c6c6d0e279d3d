package codec_test

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// faults parses a document that must be refused.
func faults(t *testing.T, text string) []fault.Fault {
	t.Helper()
	_, err := codec.Parse([]byte(text))
	var list *fault.List
	if !errors.As(err, &list) {
		t.Fatalf("got %v, want a list of faults", err)
	}
	return list.Faults
}

func TestRoundTrip(t *testing.T) {
	doc := samples.Recife(samples.RecifeBasePort)
	text := codec.Format(doc)
	again, err := codec.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if got := codec.Format(again); string(got) != string(text) {
		t.Errorf("the canonical form changed when it was read back:\n%s", codec.Diff(doc, again))
	}
	if codec.Hash(doc) != codec.Hash(again) {
		t.Error("the hash changed")
	}
}

// TestRoutesAreKept reads a route and writes it again.
func TestRoutesAreKept(t *testing.T) {
	doc, err := codec.Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	want := []document.Route{{Name: "all", Host: "desk.example", Prefix: "/search/", Targets: []document.RouteTarget{{Service: "read", Weight: codec.DefaultWeight}}}}
	if !reflect.DeepEqual(doc.Routes, want) {
		t.Fatalf("routes %+v, want %+v", doc.Routes, want)
	}
	again, err := codec.Parse(codec.Format(doc))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(again.Routes, want) {
		t.Errorf("routes %+v after they were written and read, want %+v", again.Routes, want)
	}
}

func TestHashIgnoresOrder(t *testing.T) {
	a, b := samples.CapBon(1000), samples.CapBon(1000)
	slices.Reverse(b.Upstreams)
	slices.Reverse(b.Upstreams[0].Shards)
	slices.Reverse(b.Callers)
	if codec.Hash(a) != codec.Hash(b) {
		t.Error("the order of tables changed the hash")
	}
	b.Callers[0].Share++
	if codec.Hash(a) == codec.Hash(b) {
		t.Error("a changed share kept the hash")
	}
}

func TestDefaults(t *testing.T) {
	doc, err := codec.Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	read, write := doc.Services[0], doc.Services[1]
	if read.KeyRequired || !write.KeyRequired {
		t.Errorf("key_required: read %v, write %v", read.KeyRequired, write.KeyRequired)
	}
	if read.HedgeBudget != codec.DefaultHedgeBudget || write.HedgeBudget != 0 {
		t.Errorf("hedge_budget: read %v, write %v", read.HedgeBudget, write.HedgeBudget)
	}
	if doc.Upstreams[0].KeySpace != codec.DefaultKeySpace {
		t.Errorf("key_space %d", doc.Upstreams[0].KeySpace)
	}
}

const small = `site = "s"
[[upstream]]
name = "u"
connection_limit = 25
slots = 2
[[upstream.shard]]
range = "0-65536"
[[upstream.shard.leaf]]
id = "l1"
zone = "z"
address = "127.0.0.1:9000"
[[service]]
name = "read"
upstreams = ["u"]
deadline = "200ms"
idempotent = true
[[service]]
name = "write"
upstreams = ["u"]
deadline = "200ms"
[[caller]]
name = "op"
token_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
operator = true
[[route]]
name = "all"
host = "desk.example"
prefix = "/search/"
[[route.target]]
service = "read"
`

// TestFaultsNameTheirPath breaks one rule at a time.
func TestFaultsNameTheirPath(t *testing.T) {
	cases := []struct{ old, new, path string }{
		{`site = "s"`, `site = ""`, "site"},
		{`slots = 2`, `slots = 0`, "upstream[0].slots"},
		{`connection_limit = 25`, `connection_limit = -1`, "upstream[0].connection_limit"},
		{`slots = 2`, "slots = 2\nkey_space = -5", "upstream[0].key_space"},
		{`slots = 2`, "slots = 2\ndial_cost = \"soon\"", "upstream[0].dial_cost"},
		{`"0-65536"`, `"0-100"`, "upstream[0].shard[0].range"},
		{`"0-65536"`, `"5-65536"`, "upstream[0].shard[0].range"},
		{`"0-65536"`, `"0-65537"`, "upstream[0].shard[0].range"},
		{`"0-65536"`, `"all"`, "upstream[0].shard[0].range"},
		{`127.0.0.1:9000`, `localhost:9000`, "upstream[0].shard[0].leaf[0].address"},
		{`id = "l1"`, `id = "L 1"`, "upstream[0].shard[0].leaf[0].id"},
		{`["u"]`, `["v"]`, "service[0].upstreams[0]"},
		{`["u"]`, `[]`, "service[0].upstreams"},
		{`"200ms"`, `"0s"`, "service[0].deadline"},
		{`"200ms"`, `"200"`, "service[0].deadline"},
		{`idempotent = true`, "idempotent = true\nsettle = \"1s\"", "service[0].settle"},
		{`idempotent = true`, "hedge_budget = 0.1", "service[0].hedge_budget"},
		{`idempotent = true`, "least_coverage = 1.5", "service[0].least_coverage"},
		{`idempotent = true`, "retry_budget = nan", "service[0].retry_budget"},
		{`idempotent = true`, "hedge_quantile = 1.0", "service[0].hedge_quantile"},
		{`idempotent = true`, "canary_above = -1", "service[0].canary_above"},
		{`"write"`, `"read"`, "service[1].name"},
		{`token_sha256 = "0`, `token_sha256 = "Z`, "caller[0].token_sha256"},
		{`operator = true`, `share = 0`, "caller[0].share"},
		{`idempotent = true`, "objective = \"1s\"", "service[0].objective"},
		{`idempotent = true`, "priority = -1", "service[0].priority"},
		{`idempotent = true`, "attempts = 17", "service[0].attempts"},
		{`name = "all"`, `name = "All"`, "route[0].name"},
		{`"desk.example"`, `"desk.example:80"`, "route[0].host"},
		{`"/search/"`, `"/search"`, "route[0].prefix"},
		{`"/search/"`, `"/a b/"`, "route[0].prefix"},
		{`service = "read"`, `service = "none"`, "route[0].target[0]"},
		{`service = "read"`, "service = \"read\"\nweight = -1.0", "route[0].target[0].weight"},
		{`service = "read"`, "service = \"read\"\nweight = 0.0", "route[0].target"},
		{`service = "read"`, "service = \"read\"\n[[route.target]]\nservice = \"read\"", "route[0].target[1]"},
		{`service = "read"`, "service = \"read\"\n[[route.target]]\nservice = \"write\"", "route[0].target[1].service"},
		{`service = "read"`, "service = \"read\"\n[[route]]\nname = \"b\"\nhost = \"desk.example\"\nprefix = \"/search/\"\n[[route.target]]\nservice = \"write\"", "route[1].prefix"},
		{`operator = true`, `operator = false`, "caller"},
	}
	for _, c := range cases {
		text := strings.Replace(small, c.old, c.new, 1)
		if text == small {
			t.Fatalf("case %s does not change the document", c.path)
		}
		found := faults(t, text)
		if !slices.ContainsFunc(found, func(f fault.Fault) bool { return f.Path == c.path }) {
			t.Errorf("%s -> %s: faults %v do not name %s", c.old, c.new, found, c.path)
		}
	}
}

func TestAllFaultsAreListed(t *testing.T) {
	text := strings.NewReplacer("slots = 2", "slots = 0", `["u"]`, `["v"]`, "0-65536", "0-1").Replace(small)
	if got := len(faults(t, text)); got != 4 {
		t.Errorf("%d faults, want 4: slots, range and two references", got)
	}
}

func TestUnknownKeyHasPositionAndAllowedKeys(t *testing.T) {
	found := faults(t, strings.Replace(small, "slots = 2", "slotz = 2", 1))
	want := "line 5, column 1: upstream.slotz: unknown key; allowed: connection_limit, dial_cost, key_space, name, shard, slots"
	if len(found) != 1 || found[0].String() != want {
		t.Errorf("got %v\nwant %s", found, want)
	}
}

func TestSyntaxAndTypeFaultsHavePosition(t *testing.T) {
	for _, text := range []string{"site = \n", "site = 3\n", strings.Replace(small, "slots = 2", `slots = "two"`, 1)} {
		if found := faults(t, text); found[0].Line == 0 {
			t.Errorf("%q: no line in %v", text, found)
		}
	}
}

func TestDiff(t *testing.T) {
	a, b := samples.Recife(1000), samples.Recife(1000)
	if d := codec.Diff(a, b); d != "" {
		t.Errorf("equal documents differ:\n%s", d)
	}
	b.Upstreams[0].Slots = 9
	d := codec.Diff(a, b)
	if !strings.Contains(d, "-slots = 2\n+slots = 9\n") {
		t.Errorf("the change is not shown:\n%s", d)
	}
}
