package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// Key is the hash of (caller, service, Idempotency-Key). It does not reveal the
// caller's idempotency key.
type Key [16]byte

// Fingerprint is the hash of a request's body.
type Fingerprint uint64

// Nonce identifies one claim attempt, so that its holder can recognise it in the
// bucket after the reply to its write was lost. It is random and used once.
type Nonce uint64

// KeyOf returns the key of a request. Each hashed field is preceded by its
// length, so that two different triples never give the same input.
func KeyOf(caller, service, idempotencyKey string) Key {
	h := sha256.New()
	for _, field := range []string{caller, service, idempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// FingerprintOf returns the fingerprint of a request's body.
func FingerprintOf(body []byte) Fingerprint {
	sum := sha256.Sum256(body)
	return Fingerprint(binary.BigEndian.Uint64(sum[:8]))
}

// Bucket returns the index of the key's bucket, in [0, count).
func (k Key) Bucket(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Outcome is how a claimed request ended. A request that provably did not run
// has no outcome: its claim is released.
type Outcome uint8

// The outcomes, with the names that callers see.
const (
	OutcomeComplete Outcome = iota + 1 // "complete"
	OutcomePartial                     // "partial"
	OutcomeUnknown                     // "unknown"
	OutcomeFailed                      // "failed"
)

// outcomeNames are the names that callers see.
var outcomeNames = [...]string{OutcomeComplete: "complete", OutcomePartial: "partial", OutcomeUnknown: "unknown", OutcomeFailed: "failed"}

// String returns the name that callers see.
func (o Outcome) String() string {
	if !o.valid() {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

func (o Outcome) valid() bool {
	return o >= OutcomeComplete && o <= OutcomeFailed
}

// ParseOutcome is the inverse of String. Its error is a *OutcomeError.
func ParseOutcome(s string) (Outcome, error) {
	i := slices.Index(outcomeNames[:], s)
	if i < int(OutcomeComplete) {
		return 0, &OutcomeError{Text: s}
	}
	return Outcome(i), nil
}

// Result is the recorded result of a request that ran or may have run.
type Result struct {
	Outcome Outcome
	// Version is the index version of the answer, or 0 without one.
	Version uint64
	// ShareBP is the share of keys that the answer covers, in basis points: 0 to
	// 10,000.
	ShareBP uint16
}

// MaxShareBP is full coverage, in basis points.
const MaxShareBP = 10_000

// Record is one claimed key in a bucket.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	Nonce       Nonce
	// Deadline is the request's deadline, in Unix milliseconds. The holder starts
	// no work after it; the record is kept until Expires all the same.
	Deadline int64
	// Expires is the end of the retention, in Unix milliseconds. From then on the
	// record may be dropped, and a request resent with its key is a new one.
	Expires int64
	// Done is whether Result is recorded; until then the request may be running.
	Done   bool
	Result Result
}

// Records is a bucket's content, sorted by key, without duplicate keys. It is
// immutable: a change makes a new slice.
type Records []Record

// find returns the index of a key, or the index at which it would be inserted.
func (rs Records) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(rs, k, func(r Record, k Key) int { return bytes.Compare(r.Key[:], k[:]) })
}

// Get returns the record of a key.
func (rs Records) Get(k Key) (Record, bool) {
	i, ok := rs.find(k)
	if !ok {
		return Record{}, false
	}
	return rs[i], true
}
