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

// maxBuckets keeps bucket names at four hexadecimal digits.
const maxBuckets = 1 << 16

// layoutName is the object that holds the number of buckets.
const layoutName = "layout"

// bucketName is the name of a bucket's object.
func bucketName(i int) string { return fmt.Sprintf("bucket-%04x", i) }

// call runs a call to the store in its own goroutine and posts its end.
func (r *runtime) call(do func(ctx context.Context) message) {
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

// startRead reads a bucket.
func (r *runtime) startRead(i int) {
	store := r.ledger.cfg.Store
	r.call(func(ctx context.Context) message {
		return readBucket(ctx, store, i)
	})
}

// startWrite writes a bucket.
func (r *runtime) startWrite(i int, w ledger.Write) {
	store, meter := r.ledger.cfg.Store, r.ledger.cfg.Meter
	r.call(func(ctx context.Context) message {
		value := ledger.Encode(w.Records)
		meter.LedgerWrite(len(w.Records), len(value))
		return writeBucket(ctx, store, i, w.IfVersion, value)
	})
}

// startProbe asks for the layout object, which is also checked that way.
func (r *runtime) startProbe() {
	store, buckets := r.ledger.cfg.Store, r.ledger.cfg.Buckets
	r.call(func(ctx context.Context) message {
		if err := checkLayout(ctx, store, buckets); err != nil {
			return probeMessage{gate: ledger.ProbeFailed{RetryAfter: platform.RetryAfter(err)}, err: err}
		}
		return probeMessage{gate: ledger.ProbeSucceeded{}}
	})
}

// readBucket reads a bucket and tells what the read showed. A read that
// succeeds tells the gate nothing: the store may read and yet take no writes.
func readBucket(ctx context.Context, store Store, i int) message {
	obj, err := store.Get(ctx, platformapi.KindLedger, bucketName(i))
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return callMessage{bucket: i, event: ledger.ReadDone{}}
	}
	if err != nil {
		wait := platform.RetryAfter(err)
		return callMessage{bucket: i, event: ledger.ReadFailed{RetryAfter: wait}, gate: ledger.CallFailed{RetryAfter: wait}, err: err}
	}
	records, err := ledger.Decode(obj.Value)
	if err != nil {
		// The store works; this bucket does not.
		return callMessage{bucket: i, event: ledger.ReadFailed{}, err: err}
	}
	return callMessage{bucket: i, event: ledger.ReadDone{Version: obj.Version, Records: records}}
}

// writeBucket writes a bucket and tells what is known of the write's effect.
func writeBucket(ctx context.Context, store Store, i int, ifVersion uint64, value []byte) message {
	version, err := store.Put(ctx, platformapi.KindLedger, bucketName(i), ifVersion, value)
	if err == nil {
		return callMessage{bucket: i, event: ledger.WriteDone{Version: version}, gate: ledger.CallSucceeded{}}
	}
	var conflict *platform.ConflictError
	var notFound *platform.NotFoundError
	if errors.As(err, &conflict) || errors.As(err, &notFound) {
		return callMessage{bucket: i, event: ledger.WriteConflict{}, gate: ledger.CallSucceeded{}}
	}
	wait := platform.RetryAfter(err)
	if provablyWithoutEffect(err) {
		return callMessage{bucket: i, event: ledger.WriteRefused{RetryAfter: wait}, gate: ledger.CallFailed{RetryAfter: wait}, err: err}
	}
	return callMessage{bucket: i, event: ledger.WriteUnknown{}, gate: ledger.CallFailed{RetryAfter: wait}, err: err}
}

// provablyWithoutEffect tells whether a failed write surely changed nothing.
// All other errors leave the effect unknown.
func provablyWithoutEffect(err error) bool {
	var unavailable *platform.UnavailableError
	var limited *platform.RateLimitedError
	var rejected *platform.RejectedError
	return errors.As(err, &unavailable) || errors.As(err, &limited) || errors.As(err, &rejected)
}

// checkLayout checks the number of buckets against the store's, or sets it
// there. A lost reply or a race is settled by the next probe's read.
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
