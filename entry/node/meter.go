package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
)

// platformMeter counts calls to the platform by kind and result.
type platformMeter struct{ scope tally.Scope }

// PlatformCall implements platform.Meter.
func (m platformMeter) PlatformCall(call platform.Call, result platform.Result, latency time.Duration) {
	s := m.scope.Tagged(map[string]string{"call": string(call), "result": string(result)})
	s.Counter("calls").Inc(1)
	s.Timer("latency").Record(latency)
}
