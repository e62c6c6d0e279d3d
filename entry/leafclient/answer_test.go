package leafclient

import (
	"fmt"
	"net/http"
	"testing"
)

// TestJudgeResponse checks what responses prove, one case for each statement of the protocol.
func TestJudgeResponse(t *testing.T) {
	signed := func(status int) AnswerHead { return AnswerHead{Status: status, Signed: true} }
	for _, tc := range []struct {
		statement string
		head      AnswerHead
		whole     Verdict // where the answer is returned unchanged
		part      Verdict // where it is merged with others
		why       DiscardReason
	}{
		{"a success counts with the signature", signed(200), Answered, Answered, ""},
		{"any 2xx is a success", signed(206), Answered, Answered, ""},
		{"a success without the signature is no answer", AnswerHead{Status: 200}, Unusable, Unusable, DiscardUnsigned},
		{"an encoded body is not the leaf's", AnswerHead{Status: 200, Signed: true, Encoded: true}, Unusable, Unusable, DiscardEncoded},
		{"an encoded failure is not the leaf's", AnswerHead{Status: 404, Signed: true, Encoded: true}, Unusable, Unusable, DiscardEncoded},
		{"a failure is returned unchanged, and is no part although it is signed", signed(404), Answered, Failed, ""},
		{"a redirection is returned unchanged, and is no part", signed(302), Answered, Failed, ""},
		{"an unsigned failure is returned unchanged, and is no part", AnswerHead{Status: 403}, Answered, Failed, ""},
		{"a leaf's 500 counts as run", signed(500), Failed, Failed, DiscardFailure},
		{"a leaf's 504 counts as run", signed(504), Failed, Failed, DiscardFailure},
		{"503 alone does not state that it did not run", signed(503), Unusable, Unusable, DiscardNotRunStatus},
		{"nor does 429", signed(429), Unusable, Unusable, DiscardNotRunStatus},
		{"nor does 408", signed(408), Unusable, Unusable, DiscardNotRunStatus},
		{"503 that states it", AnswerHead{Status: 503, NotRun: true}, NotRun, NotRun, ""},
		{"429 that states it", AnswerHead{Status: 429, NotRun: true}, NotRun, NotRun, ""},
		{"400 that states it", AnswerHead{Status: 400, NotRun: true}, NotRun, NotRun, ""},
		{"421 alone states it", AnswerHead{Status: 421, Misdirected: true}, Misdirected, Misdirected, ""},
		{"a success that states it proves neither", AnswerHead{Status: 200, Signed: true, NotRun: true}, Unusable, Unusable, DiscardContradiction},
	} {
		t.Run(tc.statement, func(t *testing.T) {
			whole, why := tc.head.judge(false)
			part, partWhy := tc.head.judge(true)
			if whole != tc.whole || part != tc.part || why != tc.why {
				t.Errorf("whole %v (%q), part %v, want %v (%q), %v", whole, why, part, tc.whole, tc.why, tc.part)
			}
			if (part == Unusable || part == Failed) == (partWhy == "") {
				t.Errorf("part %v is discarded for %q", part, partWhy)
			}
		})
	}
}

// TestOnlySuccessIsAPart checks all statuses.
func TestOnlySuccessIsAPart(t *testing.T) {
	for status := minFinalStatus; status < 600; status++ {
		head := AnswerHead{Status: status, Signed: true}
		got, _ := head.judge(true)
		if isPart := got == Answered; isPart != (status < http.StatusMultipleChoices) {
			t.Error(fmt.Sprint(status, " gives ", got))
		}
	}
}
