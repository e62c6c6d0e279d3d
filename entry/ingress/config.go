package ingress

import "time"

// Limits are the limits on one client. A value of 0 takes the default.
type Limits struct {
	// HeadBytes is the maximum length of a head. HeadTime is the time from its first byte to its
	// last.
	HeadBytes int
	HeadTime  time.Duration
	// IdleTime is the time between requests, and the time in which a client must take some bytes
	// of an answer.
	IdleTime time.Duration
}

// Defaults of Limits.
const (
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 5 * time.Minute
)

// withDefaults replaces the values that are 0.
func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = defaultHeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = defaultIdleTime
	}
	return l
}

// Config holds the bounds of a Guard. Its functions are called often and from any goroutine.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// Connections returns the maximum number of open connections.
	Connections func() int
	// Memory returns the maximum sum of what connections and requests hold, in bytes.
	Memory func() int64
	// RequestTime bounds the time from the first byte of a head to the last one of its body; 0: no
	// bound.
	RequestTime time.Duration
	// RetryAfter is the value of the header Retry-After in refusals.
	RetryAfter string
	// ConnectionCost is the memory of an idle connection in bytes; 0: that of one without TLS.
	ConnectionCost int64
	// MinLifetime is the time that a connection has for its next progress before it may be closed
	// for a new one; 0: a default.
	MinLifetime time.Duration
	// OnReject is called when a connection or request is rejected. It must not block.
	OnReject func(Reason)
}

// Reason is why a connection or a request was rejected.
type Reason string

// The reasons.
const (
	// ReasonHead is a head over the limit or one that is not a request.
	ReasonHead Reason = "head over the limit"
	// ReasonHeadTime is a head that took longer than it may.
	ReasonHeadTime Reason = "head takes too long"
	// ReasonIdle is an idle connection that was closed for a new one.
	ReasonIdle Reason = "idle while connections are used up"
	// ReasonSlow is a connection whose request had not arrived, closed for a new one.
	ReasonSlow Reason = "unfinished while connections are used up"
	// ReasonConnections is a new connection for which no other could be closed.
	ReasonConnections Reason = "no connection is left"
	// ReasonMemory is a request for which no memory was left.
	ReasonMemory Reason = "no memory is left for requests"
	// ReasonRequests is a request beyond the number that may run.
	ReasonRequests Reason = "too many requests"
)
