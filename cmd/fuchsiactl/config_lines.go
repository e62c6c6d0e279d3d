package main

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
)

// locateFaults gives each fault that has only a path the line of its key in
// the text, or that of the table which lacks the key.
func locateFaults(text []byte, faults []fault.Fault) []operators.Fault {
	lines := linesOf(text)
	out := make([]operators.Fault, 0, len(faults))
	for _, f := range faults {
		if f.Line == 0 {
			f.Line, f.Column = lines.of(f.Path), 1
		}
		if f.Line == 0 {
			f.Column = 0
		}
		out = append(out, operators.Fault{Path: f.Path, Line: f.Line, Column: f.Column, Reason: f.Reason})
	}
	return out
}

// pathLines maps paths such as "upstream[3].shard[0].range" to lines.
type pathLines map[string]int

// of is the line of a path, or of the nearest table around it; 0 if there is none.
func (p pathLines) of(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 0
}

// linesOf finds the line of each table and key of a text. It stops at what is
// not TOML.
func linesOf(text []byte) pathLines {
	lines := pathLines{}
	counts := map[string]int{} // array tables seen, by path
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		keys, line := keysOf(&p, e)
		switch e.Kind {
		case unstable.ArrayTable:
			table = openTable(counts, keys)
			lines[table] = line
		case unstable.Table:
			table = strings.Join(keys, ".")
			lines[table] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(table+"."+strings.Join(keys, "."), ".")] = line
		default:
		}
	}
	return lines
}

// keysOf is the key of an expression and its line.
func keysOf(p *unstable.Parser, e *unstable.Node) ([]string, int) {
	if e.Kind != unstable.ArrayTable && e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
		return nil, 0
	}
	var keys []string
	line := 0
	for it := e.Key(); it.Next(); {
		keys = append(keys, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return keys, line
}

// openTable counts a new element of an array of tables and is its path: each
// key but the last stands for the newest element of that name.
func openTable(counts map[string]int, keys []string) string {
	path := ""
	for i, key := range keys {
		path = strings.TrimPrefix(path+"."+key, ".")
		if i == len(keys)-1 {
			counts[path]++
		}
		path = fmt.Sprintf("%s[%d]", path, max(0, counts[path]-1))
	}
	return path
}
