// Package story finds what became of one request in the logs of instances: its
// own lines in their order, what the instances believed when they ran it, and the
// cause in a sentence.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one record of a log in JSON.
type Line struct {
	Instance string
	At       time.Time
	Prefix   string
	Message  string
	Request  string
	// Fields holds all others by their keys.
	Fields map[string]any
}

// Text returns a field as text, "" when there is none.
func (l *Line) Text(key string) string {
	v, ok := l.Fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// FailedAttempt reports whether the line tells of an attempt that failed while it was needed.
func (l *Line) FailedAttempt() bool {
	return l.Message == "attempt failed" && !strings.Contains(l.Text("why"), "cancelled")
}

// IsStart reports whether a process begins with the line.
func (l *Line) IsStart() bool { return l.Prefix == "node" && l.Message == startMessage }

// Int returns a field as a whole number, 0 when there is none.
func (l *Line) Int(key string) int {
	n, _ := l.Fields[key].(float64)
	return int(n)
}

// Duration returns a field as a duration, 0 when there is none.
func (l *Line) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(l.Text(key))
	return d
}

// Read reads a log. A line may have other text before its record, whose last word
// names the instance; else the instance is the given one. Lines without a record
// are passed over and counted.
func Read(r io.Reader, instance string) (lines []Line, passedOver int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), instance)
		if !ok {
			passedOver++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, passedOver, fmt.Errorf("log of %s: %w", instance, err)
	}
	return lines, passedOver, nil
}

// parse reads one line.
func parse(text []byte, instance string) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	if words := strings.Fields(string(text[:i])); len(words) > 0 {
		instance = words[len(words)-1]
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[i:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Instance: instance, Fields: fields}
	l.Prefix, l.Message, l.Request = l.take("prefix"), l.take("msg"), l.take("request")
	at, err := time.Parse(time.RFC3339Nano, l.take("time"))
	if err != nil {
		return Line{}, false
	}
	l.At = at
	delete(fields, "level")
	return l, true
}

// take removes a field and returns it as text.
func (l *Line) take(key string) string {
	text := l.Text(key)
	delete(l.Fields, key)
	return text
}

// beliefs are the prefixes of lines about what an instance believes.
var beliefs = map[string]bool{"control": true, "fleet": true, "node": true, "settings": true, "log": true}

// startMessage is the line that a process begins with.
const startMessage = "serving"

// Story is what is known of one request.
type Story struct {
	Request string
	// Before are the last lines, before the request, about what the instances that
	// ran it believed: one of each message.
	Before []Line
	// Lines are the request's own.
	Lines []Line
	Cause string
	// Version says how the version of the configuration came that decided, and why a newer
	// one had not; "" where the lines don't tell.
	Version string
}

// Tell finds a request. ok is false when no line names it.
func Tell(request string, lines []Line) (s Story, ok bool) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Request = request
	involved := make(map[string]bool)
	for _, l := range lines {
		if l.Request == request {
			s.Lines = append(s.Lines, l)
			involved[l.Instance] = true
		}
	}
	if len(s.Lines) == 0 {
		return s, false
	}
	s.Before = before(lines, s.Lines[0].At, involved)
	s.Cause = cause(s.Lines)
	if end := Ending(s.Lines); end != nil {
		s.Version = version(end, lines)
	}
	if s.Cause == "" {
		s.Cause = unended(s.Lines[len(s.Lines)-1], lines)
	}
	return s, true
}

// before returns the last line of each message about beliefs.
func before(lines []Line, start time.Time, involved map[string]bool) []Line {
	last := make(map[string]int)
	var out []Line
	for _, l := range lines {
		if !beliefs[l.Prefix] || !involved[l.Instance] || l.At.After(start) {
			continue
		}
		if l.IsStart() {
			out = slices.DeleteFunc(out, func(o Line) bool { return o.Instance == l.Instance })
			clear(last) // what an earlier process believed is gone with it
			for i, o := range out {
				last[o.Instance+"\x00"+o.Prefix+"\x00"+o.Message] = i
			}
		}
		key := l.Instance + "\x00" + l.Prefix + "\x00" + l.Message
		if i, ok := last[key]; ok {
			out[i].Message = "" // an older one of the same message
		}
		last[key] = len(out)
		out = append(out, l)
	}
	return slices.DeleteFunc(out, func(l Line) bool { return l.Message == "" })
}

// Ending is the line that ends a request; nil: none does. Lines are in their order. A group of
// a query that another instance answers does not end it.
func Ending(lines []Line) *Line {
	for i := range slices.Backward(lines) {
		l := &lines[i]
		switch {
		case l.Prefix == "gateway" && l.Message == "refuse", l.Prefix == "query" && l.Message == "refuse":
			return l
		case l.Prefix == "query" && l.Message == "answer" && l.Text("group") == "":
			return l
		}
	}
	return nil
}

// cause says in a sentence why the request ended as it did.
func cause(lines []Line) string {
	l := Ending(lines)
	switch {
	case l == nil:
		return ""
	case l.Message == "answer":
		return answered(l, lines)
	case l.Prefix == "gateway":
		return fmt.Sprintf("refused by %s with status %s, not run: %s", l.Instance, l.Text("status"), l.Text("why"))
	default:
		return fmt.Sprintf("refused by %s, not run: %s", l.Instance, l.Text("why"))
	}
}

// unended explains a request without a line that ends it.
func unended(last Line, lines []Line) string {
	for _, l := range lines {
		if l.Instance == last.Instance && l.At.After(last.At) && l.IsStart() {
			return fmt.Sprintf("the process of %s ended before it answered: the next one began %v later", last.Instance, l.At.Sub(last.At).Round(time.Millisecond))
		}
	}
	return "no line says how it ended: the instance ended, or its lines were left out"
}

// answered explains a line that ends a query.
func answered(l *Line, lines []Line) string {
	text := fmt.Sprintf("%s after %s by %s with configuration %s, %s old", l.Text("why"), l.Text("took"), l.Instance, l.Text("config"), l.Text("config_age"))
	if missing := l.Text("missing"); missing != "" {
		text += "; missing " + missing
	}
	for _, other := range lines {
		if other.FailedAttempt() {
			text += fmt.Sprintf("; leaf %s of %s: %s after %s", other.Text("leaf"), other.Text("shard"), other.Text("why"), other.Text("took"))
		}
	}
	return text
}

// Write prints the story: times count from the request's first line.
func (s *Story) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	fmt.Fprintf(out, "request %s: %s\n", s.Request, s.Cause)
	if s.Version != "" {
		fmt.Fprintln(out, s.Version)
	}
	start := s.Lines[0].At
	if len(s.Before) > 0 {
		fmt.Fprintln(out, "\nwhat the instances believed before:")
		writeLines(out, s.Before, start)
	}
	fmt.Fprintln(out, "\nwhat happened:")
	writeLines(out, s.Lines, start)
	return out.Flush()
}

// writeLines prints lines with their fields in order.
func writeLines(w io.Writer, lines []Line, start time.Time) {
	for _, l := range lines {
		fmt.Fprintf(w, "%+10.1f ms  %s  %s: %s", float64(l.At.Sub(start))/float64(time.Millisecond), l.Instance, l.Prefix, l.Message)
		keys := make([]string, 0, len(l.Fields))
		for k := range l.Fields {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			fmt.Fprintf(w, " %s=%v", k, l.Fields[k])
		}
		fmt.Fprintln(w)
	}
}
