package entryclient

import (
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
)

// TestProblemText checks that a refusal says what is wrong and when to come back.
func TestProblemText(t *testing.T) {
	for _, tc := range []struct {
		problem callerapi.Problem
		want    string
	}{
		{callerapi.Problem{Status: 503, Title: "Not run", Detail: "overloaded", RetryAfterMS: 1200}, "entry E: 503 Not run: overloaded; come back in 1.2s"},
		{callerapi.Problem{Status: 400, Title: "Malformed", Field: "body", Detail: "too long"}, "entry E: 400 Malformed: body: too long"},
		{callerapi.Problem{Status: 401, Title: "No such caller"}, "entry E: 401 No such caller"},
	} {
		if got := (&ProblemError{Entry: "E", Problem: tc.problem}).Error(); got != tc.want {
			t.Errorf("got %q, want %q", got, tc.want)
		}
	}
}
