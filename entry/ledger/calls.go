package ledger

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// maxBuckets is what the four hexadecimal digits of a bucket's name allow.
const maxBuckets = 1 << 16

// layoutName is the name of the object that holds the number of buckets.
const layoutName = "layout"

// bucketName returns the name of the object that holds bucket i.
func bucketName(i int) string { return fmt.Sprintf("bucket-%04x", i) }

// startCall runs do, a call to the store, in its own goroutine with the timeout
// OpTimeout, and posts the message that do returns.
func (r *runtime) startCall(do func(ctx context.Context) message) {
	ctx, timeout := r.callCtx, r.ledger.cfg.OpTimeout
	r.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		m := do(ctx)
		select {
		case r.ledger.mailbox <- m:
		case <-r.callCtx.Done():
		}
	})
}

// startRead starts a read of bucket i.
func (r *runtime) startRead(i int) {
	store := r.ledger.cfg.Store
	r.startCall(func(ctx context.Context) message {
		return readBucket(ctx, store, i)
	})
}

// startWrite starts a write of bucket i.
func (r *runtime) startWrite(i int, w ledger.Write) {
	store, meter := r.ledger.cfg.Store, r.ledger.cfg.Meter
	r.startCall(func(ctx context.Context) message {
		value := ledger.Encode(w.Records)
		meter.LedgerWrite(len(w.Records), len(value))
		return writeBucket(ctx, store, i, w.IfVersion, value)
	})
}

// startProbe starts a probe of the store. The probe reads the layout object, so
// that each probe also checks the number of buckets.
func (r *runtime) startProbe() {
	store, buckets := r.ledger.cfg.Store, r.ledger.cfg.Buckets
	r.startCall(func(ctx context.Context) message {
		if err := checkLayout(ctx, store, buckets); err != nil {
			return probeMessage{breaker: ledger.ProbeFailed{RetryAfter: platform.RetryAfter(err)}, err: err}
		}
		return probeMessage{breaker: ledger.ProbeSucceeded{}}
	})
}

// readBucket reads a bucket and returns the outcome. A successful read sends the
// breaker no event, because a store may serve reads and yet refuse writes.
func readBucket(ctx context.Context, store Store, i int) message {
	obj, err := store.Get(ctx, platformapi.KindLedger, bucketName(i))
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return callMessage{bucket: i, event: ledger.ReadDone{}}
	}
	if err != nil {
		wait := platform.RetryAfter(err)
		return callMessage{bucket: i, event: ledger.ReadFailed{RetryAfter: wait}, breaker: ledger.CallFailed{RetryAfter: wait}, err: err}
	}
	records, err := ledger.Decode(obj.Value)
	if err != nil {
		// The store answered, so the breaker gets no event; only this bucket's
		// content is unreadable.
		return callMessage{bucket: i, event: ledger.ReadFailed{}, err: err}
	}
	return callMessage{bucket: i, event: ledger.ReadDone{Version: obj.Version, Records: records}}
}

// writeBucket writes a bucket and returns the outcome: done, conflict, refused
// (surely not applied) or unknown.
func writeBucket(ctx context.Context, store Store, i int, ifVersion uint64, value []byte) message {
	version, err := store.Put(ctx, platformapi.KindLedger, bucketName(i), ifVersion, value)
	if err == nil {
		return callMessage{bucket: i, event: ledger.WriteDone{Version: version}, breaker: ledger.CallSucceeded{}}
	}
	var conflict *platform.ConflictError
	var notFound *platform.NotFoundError
	if errors.As(err, &conflict) || errors.As(err, &notFound) {
		return callMessage{bucket: i, event: ledger.WriteConflict{}, breaker: ledger.CallSucceeded{}}
	}
	wait := platform.RetryAfter(err)
	if isNotApplied(err) {
		return callMessage{bucket: i, event: ledger.WriteRefused{RetryAfter: wait}, breaker: ledger.CallFailed{RetryAfter: wait}, err: err}
	}
	return callMessage{bucket: i, event: ledger.WriteUnknown{}, breaker: ledger.CallFailed{RetryAfter: wait}, err: err}
}

// isNotApplied reports whether err proves that a write was not applied. After
// any other error the write may or may not have been applied.
func isNotApplied(err error) bool {
	var unavailable *platform.UnavailableError
	var limited *platform.RateLimitedError
	var rejected *platform.RejectedError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &rejected)
}

// checkLayout compares the configured number of buckets with the one in the
// store, and stores it if there is none. If the reply to that write is lost, or
// another instance wrote first, it returns an error and the next probe reads
// what was stored.
func checkLayout(ctx context.Context, store Store, buckets int) error {
	obj, err := store.Get(ctx, platformapi.KindLedger, layoutName)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		_, err = store.Put(ctx, platformapi.KindLedger, layoutName, 0, []byte(strconv.Itoa(buckets)))
		return err
	}
	if err != nil {
		return err
	}
	stored, err := strconv.Atoi(string(obj.Value))
	if err != nil || stored != buckets {
		return &LayoutError{Stored: stored, Configured: buckets}
	}
	return nil
}
