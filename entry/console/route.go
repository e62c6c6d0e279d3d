package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// routeResource leads requests of a host and path prefix to services.
type routeResource struct{}

func (routeResource) kind() string { return kindRoute }

func (routeResource) values(doc *document.Document, name string) (url.Values, bool) {
	if name == "" {
		return url.Values{"prefix": {"/"}}, true
	}
	for i := range doc.Routes {
		if r := &doc.Routes[i]; r.Name == name {
			return url.Values{"host": {r.Host}, "prefix": {r.Prefix}, "target": {writeTargets(r.Targets)}}, true
		}
	}
	return nil, false
}

func (routeResource) groups(_ *document.Document, values url.Values, name string) []group {
	return []group{
		{"Route", slices.Concat(nameField(values, name), []*field{
			text(values, "host", "Host", "The host that requests name, in lower case and without a port."),
			text(values, "prefix", "Path prefix", "It begins and ends with a slash. Of a host's routes the longest prefix of a path wins."),
		})},
		{"Services", []*field{
			area(values, "target", "Services", "One service a line, with its weight if it is not 1; such as title-search 3. Several must all be idempotent."),
		}},
	}
}

func (routeResource) put(doc *document.Document, name string, in *input) edit {
	c := copyOf(doc)
	item := document.Route{
		Name: itemName(name, in, routeNames(c)), Host: in.text("host"), Prefix: in.text("prefix"),
		Targets: readTargets(in, "target"),
	}
	var at int
	c.Routes, at = place(c.Routes, item, name == "", func(r document.Route) string { return r.Name })
	return edit{doc: c, prefix: itemPath(kindRoute, at)}
}

func (routeResource) remove(doc *document.Document, name string) *document.Document {
	c := copyOf(doc)
	c.Routes = slices.DeleteFunc(c.Routes, func(r document.Route) bool { return r.Name == name })
	return c
}

// routeNames lists the routes of a document.
func routeNames(doc *document.Document) []string {
	var names []string
	for i := range doc.Routes {
		names = append(names, doc.Routes[i].Name)
	}
	return names
}

// writeTargets writes one line a service.
func writeTargets(targets []document.RouteTarget) string {
	var b strings.Builder
	for _, t := range targets {
		fmt.Fprintf(&b, "%s %s\n", t.Service, decimal(t.Weight))
	}
	return b.String()
}

// readTargets reads one service a line, with or without a weight.
func readTargets(in *input, field string) []document.RouteTarget {
	var out []document.RouteTarget
	line := 0
	for text := range strings.Lines(in.values.Get(field)) {
		line++
		words := strings.Fields(text)
		switch len(words) {
		case 0:
		case 1:
			out = append(out, document.RouteTarget{Service: words[0], Weight: codec.DefaultWeight})
		case 2:
			weight, err := strconv.ParseFloat(words[1], 64)
			if err != nil {
				in.faults.addf(field, "line %d: %q is not a weight such as 0.5", line, words[1])
			}
			out = append(out, document.RouteTarget{Service: words[0], Weight: weight})
		default:
			in.faults.addf(field, "line %d: want a service and its weight, found %d words", line, len(words))
		}
	}
	return out
}
