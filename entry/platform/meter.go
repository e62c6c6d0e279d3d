package platform

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Call is the type of a call to the platform.
type Call string

// The types of calls. The platform counts each call, and a watch as one call
// however long it waits.
const (
	CallGet       Call = "get"
	CallPut       Call = "put"
	CallDelete    Call = "delete"
	CallList      Call = "list"
	CallWatch     Call = "watch"
	CallInstances Call = "instances"
)

// Result is how a call ended.
type Result string

// The results of a call.
const (
	ResultOK            Result = "ok"
	ResultConflict      Result = "conflict"
	ResultNotFound      Result = "not_found"
	ResultGone          Result = "gone"
	ResultRateLimited   Result = "rate_limited"
	ResultRejected      Result = "rejected"
	ResultUnavailable   Result = "unavailable"
	ResultUnknownEffect Result = "unknown_effect"
)

// Meter counts calls. It must be safe for concurrent use.
type Meter interface {
	// PlatformCall records the result and latency of a finished call.
	PlatformCall(call Call, result Result, latency time.Duration)
}

// nopMeter counts nothing.
type nopMeter struct{}

func (nopMeter) PlatformCall(Call, Result, time.Duration) {}

// ScopeMeter is a Meter that records calls in a metrics scope, by type and result.
type ScopeMeter struct{ Scope tally.Scope }

// PlatformCall implements Meter.
func (m ScopeMeter) PlatformCall(call Call, result Result, latency time.Duration) {
	s := m.Scope.Tagged(map[string]string{"call": string(call), "result": string(result)})
	s.Counter("calls").Inc(1)
	s.Timer("latency").Record(latency)
}
