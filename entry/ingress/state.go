package ingress

// state is what a connection does. Connections are closed for new ones in the order of the states.
type state int

const (
	stateEnding  state = iota // refused; the refusal is being sent
	stateNew                  // has sent nothing yet
	stateIdle                 // between requests
	stateAhead                // waits with a request that was sent ahead
	stateStalled              // does not take its answer
	stateLarge                // a large request arrives
	stateSmall                // a small request arrives
	evictableStates
	// stateRunning is a complete request. It is never ended for another one.
	stateRunning
	stateClosed
)

// isPassive reports whether a connection of this state may be closed at once, as nothing of a
// request is expected to arrive.
func (s state) isPassive() bool { return s == stateEnding || s == stateIdle || s == stateAhead }
