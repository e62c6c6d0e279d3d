package ledger

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
)

// Key is the hash of (caller, service, Idempotency-Key). It says nothing of
// the caller's own key.
type Key [16]byte

// Fingerprint is the hash of a request's body.
type Fingerprint uint64

// Nonce names one claim attempt, so that its holder can recognise it after a
// lost reply. It is drawn at random and never used twice.
type Nonce uint64

// KeyOf hashes what identifies a request. Each field is preceded by its length,
// so that no two different triples give the same input.
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

// FingerprintOf hashes a request's body.
func FingerprintOf(body []byte) Fingerprint {
	sum := sha256.Sum256(body)
	return Fingerprint(binary.BigEndian.Uint64(sum[:8]))
}

// Bucket picks the key's bucket out of count.
func (k Key) Bucket(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Outcome is how a claimed request ended. A request that provably did not run
// has no outcome: its claim is released.
type Outcome uint8

// The outcomes, with the words that callers see.
const (
	OutcomeComplete Outcome = iota + 1 // "complete"
	OutcomePartial                     // "partial"
	OutcomeUnknown                     // "unknown"
	OutcomeFailed                      // "failed"
)

// outcomeNames are the words that callers see.
var outcomeNames = [...]string{OutcomeComplete: "complete", OutcomePartial: "partial", OutcomeUnknown: "unknown", OutcomeFailed: "failed"}

// String is the word that callers see.
func (o Outcome) String() string {
	if !o.valid() {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return outcomeNames[o]
}

// valid tells whether o is one of the outcomes.
func (o Outcome) valid() bool {
	return o >= OutcomeComplete && o <= OutcomeFailed
}

// ParseOutcome is the inverse of String.
func ParseOutcome(s string) (Outcome, error) {
	i := slices.Index(outcomeNames[:], s)
	if i < int(OutcomeComplete) {
		return 0, &OutcomeError{Text: s}
	}
	return Outcome(i), nil
}

// Result is what is kept of a request that ran or may have run.
type Result struct {
	Outcome Outcome
	// Version is the index version of the answer; 0 when it has none.
	Version uint64
	// ShareBP is the share of keys covered, in basis points: 0 to 10,000.
	ShareBP uint16
}

// MaxShareBP is a share of one, in basis points.
const MaxShareBP = 10_000

// Record is one claimed key in a bucket.
type Record struct {
	Key         Key
	Fingerprint Fingerprint
	Nonce       Nonce
	// Deadline is the request's own, in milliseconds of Unix time: past it, a
	// holder starts no work. The record stands until Expires all the same.
	Deadline int64
	// Expires is the end of the retention, in milliseconds of Unix time: from
	// then on the record may be dropped, and a resend is a new request.
	Expires int64
	// Done says that Result is recorded; until then the request may be running.
	Done   bool
	Result Result
}

// Records is a bucket's content, sorted by key, each key once. It is immutable:
// changes give a new slice.
type Records []Record

// find gives the index of a key, or where it would stand.
func (rs Records) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(rs, k, func(r Record, k Key) int { return bytes.Compare(r.Key[:], k[:]) })
}

// Get gives the record of a key.
func (rs Records) Get(k Key) (Record, bool) {
	i, ok := rs.find(k)
	if !ok {
		return Record{}, false
	}
	return rs[i], true
}
