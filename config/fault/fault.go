// Package fault holds the errors of the config module: every fault of a
// document or settings file, each with its path and, when known, its position.
package fault

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Fault is one thing wrong with a file.
type Fault struct {
	// Path names the field, such as "upstream[3].shard[0].range"; it is empty
	// for a syntax error.
	Path string
	// Line and Column start at 1; 0 means unknown.
	Line, Column int
	Reason       string
}

// String writes the fault as "line 3, column 5: path: reason".
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// List is an error that holds every fault found.
type List struct {
	// What names the kind of file: "document" or "settings".
	What   string
	Faults []Fault
}

// Error writes all faults, one a line.
func (l *List) Error() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = f.String()
	}
	return "invalid " + l.What + ": " + strings.Join(lines, "\n  ")
}

// Addf records a fault at a path.
func (l *List) Addf(path, format string, args ...any) {
	l.Faults = append(l.Faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the list as an error, or nil when it is empty.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	return l
}

// Decode reads TOML into v, which must be a pointer to a struct with toml
// tags. A key that v does not have is a fault that names what is allowed there.
func Decode(what string, data []byte, v any) error {
	dec := toml.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	list := &List{What: what}
	var missing *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		for i := range missing.Errors {
			list.Faults = append(list.Faults, unknownKey(&missing.Errors[i], v))
		}
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		reason := strings.TrimPrefix(syntax.Error(), "toml: ")
		list.Faults = append(list.Faults, Fault{Path: strings.Join(syntax.Key(), "."), Line: line, Column: column, Reason: reason})
	default:
		list.Faults = append(list.Faults, Fault{Reason: strings.TrimPrefix(err.Error(), "toml: ")})
	}
	return list
}

// unknownKey describes a key that the target has no field for.
func unknownKey(e *toml.DecodeError, v any) Fault {
	line, column := e.Position()
	key := e.Key()
	reason := "unknown key"
	if len(key) > 0 {
		reason += "; allowed: " + strings.Join(allowed(reflect.TypeOf(v), key[:len(key)-1]), ", ")
	}
	return Fault{Path: strings.Join(key, "."), Line: line, Column: column, Reason: reason}
}

// allowed lists the keys of the table that the path leads to.
func allowed(t reflect.Type, path []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		if len(path) > 0 && name == path[0] {
			return allowed(t.Field(i).Type, path[1:])
		}
		keys = append(keys, name)
	}
	slices.Sort(keys)
	return keys
}
