package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
)

// send is a request that was sent to a leaf.
type send struct{ request, leaf string }

// maxUnnamed is the number of sends without a log line that the report names.
const maxUnnamed = 5

// readSends reads from the instances' logs which instances sent which requests to which leaves.
func (r *run) readSends() (map[send][]string, error) {
	out := make(map[send][]string)
	for _, n := range r.site.instances {
		file, err := os.Open(n.log)
		if err != nil {
			return nil, fmt.Errorf("read the log of %s: %w", n.name, err)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var line struct{ Msg, Request, Leaf string }
			if json.Unmarshal(lines.Bytes(), &line) != nil || line.Msg != "sent" {
				continue // what is printed before the log is set up is no JSON
			}
			key := send{line.Request, leafID(line.Leaf)}
			if !slices.Contains(out[key], n.name) {
				out[key] = append(out[key], n.name)
			}
		}
		if err := lines.Err(); err != nil {
			return nil, fmt.Errorf("read the log of %s: %w", n.name, err)
		}
		_ = file.Close()
	}
	return out, nil
}

// leafID returns the ID of the leaf of which a log names an incarnation.
func leafID(incarnation string) string {
	if i := strings.IndexAny(incarnation, "+@"); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}

// checkSends checks that a log names each send that reached a leaf. A process that was killed may
// have had lines left to write.
func (r *run) checkSends(arrivals []arrival) {
	if slices.ContainsFunc(faultsThatKill, func(name string) bool { return r.faults[name] > 0 }) {
		return
	}
	unnamed := 0
	for _, a := range arrivals {
		if _, named := r.sends[send{a.request, a.leaf}]; named {
			continue
		}
		if unnamed++; unnamed <= maxUnnamed {
			r.violation("no log names the send to leaf "+a.leaf, a.request, "")
		}
	}
}

// faultsThatKill are the faults that end processes without a word.
var faultsThatKill = []string{"kill", "kill all", "kill all while leaves decline"}
