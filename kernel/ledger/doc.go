// Package ledger is the state machine of one bucket of the ledger of
// idempotency keys. A non-idempotent request runs only after a conditional
// update has stored the claim of its key in the bucket object. Claims are never
// taken over: only the holder releases its claim, with proof that the request
// did not run. A holder that pauses can therefore cause no second execution,
// however long the pause is within the retention.
package ledger
