package ledger

import "time"

// MayDispatch reports whether the holder of a granted claim may still start the
// request. Call it right before the first byte is sent to a leaf: a holder that
// was paused since its grant must not start work whose caller has given up, or
// whose record may have been dropped. Both the monotonic and the wall clock are
// compared, as the monotonic clock stops while a machine is suspended.
func MayDispatch(deadline, now time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}
