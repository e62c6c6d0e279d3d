package executor

import (
	"context"
	"errors"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
)

// TestGroupOutcome checks that a group with replies counts as gathered when the query ended
// without waiting for the rest, and that a group without replies then isn't counted.
func TestGroupOutcome(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	lost := errors.New("connection reset")
	for _, tc := range []struct {
		name    string
		ctx     context.Context
		err     error
		replies int
		want    telemetry.GroupOutcome
	}{
		{"whole", t.Context(), nil, 1, telemetry.GroupGathered},
		{"whole as the query ended", ended, nil, 1, telemetry.GroupGathered},
		{"its rest was not needed", ended, lost, 1, telemetry.GroupGathered},
		{"nothing was needed", ended, lost, 0, ""},
		{"not taken", t.Context(), &NotGatheredError{Err: lost}, 0, telemetry.GroupNotTaken},
		{"lost", t.Context(), lost, 0, telemetry.GroupLost},
		{"lost after its first reply", t.Context(), lost, 1, telemetry.GroupLost},
	} {
		if got := groupOutcome(tc.ctx, tc.err, tc.replies); got != tc.want {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}
