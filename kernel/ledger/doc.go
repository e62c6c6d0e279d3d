// Package ledger is the state machine of one bucket of the claim ledger. A
// non-idempotent request runs only after its key's claim stands in the bucket
// object, put there by a conditional update. Nobody takes a claim over: only
// its holder releases it, with proof that the request did not run. So a holder
// that pauses, however long within the retention, can do no harm.
package ledger
