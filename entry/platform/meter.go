package platform

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Call is the kind of a call to the platform.
type Call string

// The calls. The platform counts each one, a waiting watch as one.
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

// Meter counts calls. Its methods are called by many goroutines.
type Meter interface {
	// PlatformCall counts one ended call and how long it took.
	PlatformCall(call Call, result Result, latency time.Duration)
}

// nopMeter counts nothing.
type nopMeter struct{}

func (nopMeter) PlatformCall(Call, Result, time.Duration) {}

// ScopeMeter counts calls to the platform by kind and result. It implements Meter.
type ScopeMeter struct{ Scope tally.Scope }

// PlatformCall implements Meter.
func (m ScopeMeter) PlatformCall(call Call, result Result, latency time.Duration) {
	s := m.Scope.Tagged(map[string]string{"call": string(call), "result": string(result)})
	s.Counter("calls").Inc(1)
	s.Timer("latency").Record(latency)
}
