package ledger

import "time"

// MayDispatch tells whether the holder of a granted claim may still start the
// request. It must be asked right before the first byte is sent to a leaf: a
// holder that was paused since its grant must not start work whose caller has
// given up, nor any when the record may have been dropped. Both the monotonic
// and the wall clock are compared, as a suspended machine stops the first.
func MayDispatch(deadline, now time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}
