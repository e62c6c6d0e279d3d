package loadgen

import (
	"slices"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
)

// What VerifyStandin finds.
const (
	FaultMixed     = "mixed versions"       // data of another version than the answer names
	FaultForeign   = "foreign data"         // data of another request or upstream
	FaultUncovered = "coverage not in data" // covered says more, or less, than the data
	FaultTwice     = "data twice"           // a range stands in the results twice
	FaultUnread    = "unreadable data"      // not a whole body of a stand-in
)

// VerifyStandin checks an answer whose leaves are stand-ins, and lists the
// promises it breaks, each once. The data itself tells its version, range and
// request.
func VerifyStandin(body []byte, answer *callerapi.Answer) []string {
	var faults []string
	add := func(fault string) {
		if !slices.Contains(faults, fault) {
			faults = append(faults, fault)
		}
	}
	question := leaf.Hash(body)
	held := map[string]*keyrange.Set{}
	for _, result := range answer.Results {
		lines, err := leaf.ParseBody(result.Body)
		if err != nil {
			add(FaultUnread)
			continue
		}
		for _, line := range lines {
			checkLine(line, result, answer, question, add)
			set := setOf(held, line.Upstream)
			if set.Overlaps(line.Range) {
				add(FaultTwice)
			}
			set.Add(line.Range)
		}
	}
	if !sameCoverage(held, answer.Covered) {
		add(FaultUncovered)
	}
	return faults
}

// checkLine checks one line of data against the answer and the request.
func checkLine(line leaf.Line, result callerapi.Result, answer *callerapi.Answer, question string, add func(string)) {
	if line.Version != answer.Version {
		add(FaultMixed)
	}
	if line.Question != question || line.Upstream != result.Upstream {
		add(FaultForeign)
	}
}

// setOf returns the set of an upstream.
func setOf(sets map[string]*keyrange.Set, upstream string) *keyrange.Set {
	if sets[upstream] == nil {
		sets[upstream] = &keyrange.Set{}
	}
	return sets[upstream]
}

// sameCoverage reports whether the data held is just what the answer says.
func sameCoverage(held map[string]*keyrange.Set, covered []callerapi.Part) bool {
	stated := map[string]*keyrange.Set{}
	for _, part := range covered {
		setOf(stated, part.Upstream).Add(part.Range)
	}
	if len(stated) != len(held) {
		return false
	}
	for upstream, set := range stated {
		if held[upstream] == nil || !slices.Equal(set.Ranges(), held[upstream].Ranges()) {
			return false
		}
	}
	return true
}
