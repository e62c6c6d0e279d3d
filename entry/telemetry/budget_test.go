package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestRoutineLinesDontSuppressFailures logs far more routine lines than their budget
// allows: all failures are written, and the suppressed lines are counted in a report.
func TestRoutineLinesDontSuppressFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sink bytes.Buffer
		l, err := NewLog(&sink, Options{Level: "info", Format: "logfmt", LogDecisions: true, DecisionBudgets: Budgets{Failure: 50, Outcome: 20, Routine: 10}})
		if err != nil {
			t.Fatal(err)
		}
		for i := range 40 {
			for range 30 {
				l.LogDecision(Decision{Component: "dispatch", Event: "dispatch", Class: Routine})
			}
			l.LogDecision(Decision{Component: "query", Event: "refuse", Request: "id", Query: uint64(i), Class: Failure})
		}
		time.Sleep(time.Second)
		l.LogDecision(Decision{Component: "query", Event: "answer", Class: Outcome})
		l.Close()
		output := sink.String()
		for text, want := range map[string]int{"msg=dispatch": 10, "msg=refuse": 40, "msg=answer": 1, "request=id": 40} {
			if n := strings.Count(output, text); n != want {
				t.Errorf("%s: %d lines, want %d", text, n, want)
			}
		}
		if !strings.Contains(output, `msg="lines left out" failures=0 outcomes=0 routine=1190 sends=0`) {
			t.Errorf("no report of the suppressed lines:\n%s", output[max(0, len(output)-500):])
		}
	})
}
