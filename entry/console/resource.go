package console

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Kinds of resources: the parts of their pages' paths and the keys of their
// tables in the document.
const (
	kindSite     = "site"
	kindUpstream = "upstream"
	kindService  = "service"
	kindCaller   = "caller"
	kindRoute    = "route"
)

// sitePath is the path of the site's form; there is one site.
const sitePath = Root + kindSite

// resource is a part of the document that has a form. The fields of a form are
// named as the document's keys. An item is known by its name; an empty name
// stands for a new one.
type resource interface {
	kind() string
	// values fills the form from the document, or with defaults for a new item.
	// It reports whether there is such an item.
	values(doc *document.Document, name string) (url.Values, bool)
	// groups lays the fields out.
	groups(doc *document.Document, values url.Values, name string) []group
	// put puts the input into a copy of the document.
	put(doc *document.Document, name string, in *input) edit
	// remove takes an item out of a copy of the document.
	remove(doc *document.Document, name string) *document.Document
}

// resources are all there is a form for.
var resources = []resource{siteResource{}, upstreamResource{}, serviceResource{}, callerResource{}, routeResource{}}

// edit is a changed copy of a document, in the order of its canonical form.
type edit struct {
	doc *document.Document
	// prefix is the path of the item in the document, such as "service[3]".
	prefix string
	// lines are the lines of the leaves in the form, by shard and leaf.
	lines [][]int
}

// copyOf copies a document as far as lists go. Items are replaced whole and
// never changed, as the document in force is shared.
func copyOf(doc *document.Document) *document.Document {
	c := *doc
	c.Upstreams = slices.Clone(doc.Upstreams)
	c.Services = slices.Clone(doc.Services)
	c.Callers = slices.Clone(doc.Callers)
	c.Routes = slices.Clone(doc.Routes)
	return &c
}

// place puts an item into a list, instead of the one of its name or, when it is
// new, after it, and sorts the list. It returns the item's index.
func place[T any](list []T, item T, isNew bool, name func(T) string) ([]T, int) {
	same := func(t T) bool { return name(t) == name(item) }
	if at := slices.IndexFunc(list, same); at >= 0 && !isNew {
		list[at] = item
	} else {
		list = append(list, item)
	}
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	for at := len(list) - 1; at >= 0; at-- {
		if same(list[at]) {
			return list, at
		}
	}
	return list, 0
}

// itemName is the name of an item: that of its page, or what a new one's form
// says. A new one must not take a name in use.
func itemName(name string, in *input, taken []string) string {
	if name != "" {
		return name
	}
	given := in.text("name")
	if slices.Contains(taken, given) {
		in.faults.addf("name", "%q is in use", given)
	}
	return given
}

// itemPath is the path of an item in the document.
func itemPath(kind string, index int) string { return fmt.Sprintf("%s[%d]", kind, index) }

// siteResource is the name of the installation.
type siteResource struct{}

func (siteResource) kind() string { return kindSite }

func (siteResource) values(doc *document.Document, _ string) (url.Values, bool) {
	return url.Values{kindSite: {doc.Site}}, true
}

func (siteResource) groups(_ *document.Document, values url.Values, _ string) []group {
	return []group{{"Site", []*field{text(values, kindSite, "Name", hintName)}}}
}

func (siteResource) put(doc *document.Document, _ string, in *input) edit {
	c := copyOf(doc)
	c.Site = in.text(kindSite)
	return edit{doc: c}
}

func (siteResource) remove(doc *document.Document, _ string) *document.Document { return doc }

// callerResource is an authenticated user of services.
type callerResource struct{}

func (callerResource) kind() string { return kindCaller }

func (callerResource) values(doc *document.Document, name string) (url.Values, bool) {
	if name == "" {
		return url.Values{"share": {"1"}}, true
	}
	for i := range doc.Callers {
		if c := &doc.Callers[i]; c.Name == name {
			return url.Values{
				"token_sha256": {c.TokenSHA256}, "share": {fmt.Sprint(c.Share)},
				"services": c.Services, "operator": checked(c.Operator),
			}, true
		}
	}
	return nil, false
}

func (callerResource) groups(doc *document.Document, values url.Values, name string) []group {
	return []group{
		{"Caller", slices.Concat(nameField(values, name), []*field{
			text(values, "token_sha256", "SHA-256 of the token", "64 lower-case hex digits, as printed by: printf %s TOKEN | sha256sum. The token itself is never kept or shown."),
			text(values, "share", "Share", "Weight in a contended queue, a whole number from 1 to 1000."),
		})},
		{"Rights", []*field{
			choices(values, "services", "Services", "The services the caller may use.", serviceNames(doc)),
			box(values, "operator", "Operator", "May change the configuration, here and by fuchsiactl."),
		}},
	}
}

func (callerResource) put(doc *document.Document, name string, in *input) edit {
	c := copyOf(doc)
	item := document.Caller{
		Name:        itemName(name, in, callerNames(c)),
		TokenSHA256: in.text("token_sha256"),
		Share:       in.whole("share"),
		Services:    in.list("services"),
		Operator:    in.flag("operator"),
	}
	for _, o := range c.Callers {
		if o.TokenSHA256 == item.TokenSHA256 && o.Name != item.Name {
			in.faults.addf("token_sha256", "caller %s has the same token", o.Name)
		}
	}
	var at int
	c.Callers, at = place(c.Callers, item, name == "", func(o document.Caller) string { return o.Name })
	return edit{doc: c, prefix: itemPath(kindCaller, at)}
}

func (callerResource) remove(doc *document.Document, name string) *document.Document {
	c := copyOf(doc)
	c.Callers = slices.DeleteFunc(c.Callers, func(o document.Caller) bool { return o.Name == name })
	return c
}

// callerNames lists the callers of a document.
func callerNames(doc *document.Document) []string {
	var names []string
	for i := range doc.Callers {
		names = append(names, doc.Callers[i].Name)
	}
	return names
}

// serviceNames lists the services of a document.
func serviceNames(doc *document.Document) []string {
	var names []string
	for i := range doc.Services {
		names = append(names, doc.Services[i].Name)
	}
	return names
}

// upstreamNames lists the upstreams of a document.
func upstreamNames(doc *document.Document) []string {
	var names []string
	for i := range doc.Upstreams {
		names = append(names, doc.Upstreams[i].Name)
	}
	return names
}
