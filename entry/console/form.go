package console

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// fieldKind says how a field is shown.
type fieldKind string

// The kinds of fields.
const (
	fieldText    fieldKind = "text"
	fieldArea    fieldKind = "area"
	fieldBox     fieldKind = "box"
	fieldChoices fieldKind = "choices"
)

// hintName tells the form of names.
const hintName = "1 to 63 lower-case letters, digits, dots and hyphens, starting with a letter or digit."

// group is a set of fields under one legend.
type group struct {
	Legend string
	Fields []*field
}

// field is one control with its label, hint and faults.
type field struct {
	Kind              fieldKind
	Name, Label, Hint string
	Value             string   // text and area
	Checked           bool     // box
	Options           []option // choices
	Faults            []string
	Focus             bool
}

// option is one of the choices.
type option struct {
	Value   string
	Checked bool
}

// ID is the control's ID in the page.
func (f *field) ID() string { return "field-" + f.Name }

func text(values url.Values, name, label, hint string) *field {
	return &field{Kind: fieldText, Name: name, Label: label, Hint: hint, Value: values.Get(name)}
}

func area(values url.Values, name, label, hint string) *field {
	return &field{Kind: fieldArea, Name: name, Label: label, Hint: hint, Value: values.Get(name)}
}

func box(values url.Values, name, label, hint string) *field {
	return &field{Kind: fieldBox, Name: name, Label: label, Hint: hint, Checked: values.Get(name) != ""}
}

// choices offers names, and what was chosen of names that are gone.
func choices(values url.Values, name, label, hint string, names []string) *field {
	f := &field{Kind: fieldChoices, Name: name, Label: label, Hint: hint}
	for _, n := range names {
		f.Options = append(f.Options, option{n, slices.Contains(values[name], n)})
	}
	for _, n := range values[name] {
		if !slices.Contains(names, n) {
			f.Options = append(f.Options, option{n, true})
		}
	}
	return f
}

// nameField asks for the name of a new item.
func nameField(values url.Values, name string) []*field {
	if name != "" {
		return nil
	}
	return []*field{text(values, "name", "Name", hintName+" It can't be changed later.")}
}

// checked is the value of a box.
func checked(on bool) []string {
	if on {
		return []string{"on"}
	}
	return nil
}

// formPage is the content of a form's page.
type formPage struct {
	Kind, Name string
	Removal    bool
	Action     string
	// IfVersion is the version that a save replaces.
	IfVersion uint64
	Groups    []group
	Notice    *notice
	// Faults link to the fields at fault, General are the others.
	Faults  []faultLink
	General []generalFault
	// Diff is what saving the form now would change in generation DiffOver.
	Diff     string
	DiffOver uint64
}

// notice tells what became of a save.
type notice struct {
	State string // the class of its looks
	Title string
	Text  string
}

// faultLink is a field's fault in the list above the form.
type faultLink struct{ ID, Label, Text string }

// generalFault is a fault elsewhere in the document, with the form to mend it.
type generalFault struct{ Text, Path string }

// HasFaults reports whether the list of faults is shown.
func (p *formPage) HasFaults() bool { return len(p.Faults)+len(p.General) > 0 }

// showFaults puts faults beside their fields and into the list. The first
// faulty field gets the focus.
func (p *formPage) showFaults(faults fieldFaults) {
	for _, g := range p.Groups {
		for _, f := range g.Fields {
			f.Faults = faults[f.Name]
			f.Focus = len(f.Faults) > 0 && len(p.Faults) == 0
			for _, t := range f.Faults {
				p.Faults = append(p.Faults, faultLink{f.ID(), f.Label, t})
			}
		}
	}
}

// shardPath is a path within an upstream that its field shows as a line.
var shardPath = regexp.MustCompile(`^shard\[(\d+)\](?:\.leaf\[(\d+)\])?\.?(.*)$`)

// assign sorts the document's faults into those of the form's fields and the
// others. A field that could not be read is left with that fault.
func (e *edit) assign(list []fault.Fault, faults fieldFaults) []generalFault {
	unread := map[string]bool{}
	for name := range faults {
		unread[name] = true
	}
	var general []generalFault
	for _, f := range list {
		name, reason, ok := e.fieldOf(f)
		switch {
		case !ok:
			general = append(general, describe(e.doc, f))
		case !unread[name]:
			faults.addf(name, "%s", reason)
		}
	}
	return general
}

// fieldOf finds the field of a fault and what to say there.
func (e *edit) fieldOf(f fault.Fault) (name, reason string, ok bool) {
	if e.prefix == "" {
		return f.Path, f.Reason, f.Path == kindSite
	}
	rest, ok := strings.CutPrefix(f.Path, e.prefix+".")
	if !ok {
		return "", "", false
	}
	if m := shardPath.FindStringSubmatch(rest); m != nil {
		return "shard", e.line(m[1], m[2], m[3]) + f.Reason, true
	}
	end := strings.IndexAny(rest, ".[")
	if end < 0 {
		end = len(rest)
	}
	return rest[:end], f.Reason, true
}

// line names the line of a shard or leaf, and what of it is meant.
func (e *edit) line(shard, leaf, what string) string {
	j, _ := strconv.Atoi(shard)
	k, _ := strconv.Atoi(leaf) // none: the shard's first leaf
	if j >= len(e.lines) || k >= len(e.lines[j]) {
		return ""
	}
	if what == "" {
		return fmt.Sprintf("line %d: ", e.lines[j][k])
	}
	return fmt.Sprintf("line %d, %s: ", e.lines[j][k], what)
}

// itemPattern is the start of a path that leads into an item.
var itemPattern = regexp.MustCompile(`^(upstream|service|caller|route)\[(\d+)\]\.?`)

// describe tells a fault of another item by the item's name.
func describe(doc *document.Document, f fault.Fault) generalFault {
	m := itemPattern.FindStringSubmatch(f.Path)
	if m == nil {
		return generalFault{Text: f.String()}
	}
	at, _ := strconv.Atoi(m[2])
	name := itemAt(doc, m[1], at)
	if name == "" {
		return generalFault{Text: f.String()}
	}
	label := m[1] + " " + name + ": "
	if rest := f.Path[len(m[0]):]; rest != "" {
		label += rest + ": "
	}
	return generalFault{Text: label + f.Reason, Path: Root + m[1] + "/edit/" + url.PathEscape(name)}
}

// itemAt is the name of an item; empty if there is none.
func itemAt(doc *document.Document, kind string, at int) string {
	switch {
	case kind == kindUpstream && at < len(doc.Upstreams):
		return doc.Upstreams[at].Name
	case kind == kindService && at < len(doc.Services):
		return doc.Services[at].Name
	case kind == kindCaller && at < len(doc.Callers):
		return doc.Callers[at].Name
	case kind == kindRoute && at < len(doc.Routes):
		return doc.Routes[at].Name
	}
	return ""
}
