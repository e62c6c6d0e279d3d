package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A bucket's value consists of, in order:
//
//	magic "FRL" and the format 1                     4 bytes
//	number of records                                uvarint
//	base time, the earliest of all times, Unix ms    uvarint
//	records, sorted by key:
//	    key 16, fingerprint 8, nonce 8               32 bytes
//	    outcome, 0 while there is none               1 byte
//	    deadline minus the base time, ms             uvarint
//	    expiry minus the base time, ms               uvarint
//	    only with an outcome: version, share         2 uvarint
//	xxhash64 of all bytes before                     8 bytes
//
// A value that does not decode completely is an error, never an empty bucket.
const (
	magic           = "FRL\x01"
	fixedRecordSize = 32 + 1
	checksumSize    = 8
	// maxTime bounds times in Unix milliseconds, so that sums can't overflow. It
	// is in the year 10889.
	maxTime = 1 << 48
	// typicalRecordSize is the encoded size of a record at the default retention.
	typicalRecordSize = 48
)

// MaxRecordSize is the largest encoded size of a record, in bytes.
const MaxRecordSize = fixedRecordSize + 2*7 + binary.MaxVarintLen64 + binary.MaxVarintLen16

// maxOverheadSize is the largest size of all fields outside the records, in bytes.
const maxOverheadSize = len(magic) + 2*binary.MaxVarintLen64 + checksumSize

// MaxRecordsPerValue is the number of records that always fit a value of the
// platform's store, whose limit is 1 MiB.
const MaxRecordsPerValue = (1<<20 - maxOverheadSize) / MaxRecordSize

// Encode returns a bucket's value. The records must be sorted and valid, as
// Decode and Machine return them.
func Encode(rs Records) []byte {
	base := baseTime(rs)
	out := make([]byte, 0, maxOverheadSize+len(rs)*typicalRecordSize)
	out = append(out, magic...)
	out = binary.AppendUvarint(out, uint64(len(rs)))
	out = binary.AppendUvarint(out, uint64(base))
	for i := range rs {
		out = appendRecord(out, &rs[i], base)
	}
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

// baseTime returns the earliest deadline or expiry, in Unix milliseconds.
func baseTime(rs Records) int64 {
	if len(rs) == 0 {
		return 0
	}
	base := rs[0].Deadline
	for i := range rs {
		base = min(base, rs[i].Deadline, rs[i].Expires)
	}
	return base
}

func appendRecord(out []byte, r *Record, base int64) []byte {
	out = append(out, r.Key[:]...)
	out = binary.BigEndian.AppendUint64(out, uint64(r.Fingerprint))
	out = binary.BigEndian.AppendUint64(out, uint64(r.Nonce))
	outcome := Outcome(0)
	if r.Done {
		outcome = r.Result.Outcome
	}
	out = append(out, byte(outcome))
	out = binary.AppendUvarint(out, uint64(r.Deadline-base))
	out = binary.AppendUvarint(out, uint64(r.Expires-base))
	if r.Done {
		out = binary.AppendUvarint(out, r.Result.Version)
		out = binary.AppendUvarint(out, uint64(r.Result.ShareBP))
	}
	return out
}

// Decode decodes a bucket's value. Its errors are of type *CodecError.
func Decode(value []byte) (Records, error) {
	if len(value) < len(magic)+checksumSize || string(value[:len(magic)]) != magic {
		return nil, &CodecError{Field: "head", Reason: "not a ledger bucket of this format"}
	}
	body, sum := value[:len(value)-checksumSize], value[len(value)-checksumSize:]
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(sum) {
		return nil, &CodecError{Field: "checksum", Reason: "does not match"}
	}
	d := &decoder{rest: body[len(magic):]}
	rs := d.records()
	if d.err != nil {
		return nil, d.err
	}
	if len(d.rest) != 0 {
		return nil, &CodecError{Field: "tail", Reason: fmt.Sprintf("%d bytes too many", len(d.rest))}
	}
	return rs, nil
}

// decoder reads fields and keeps the first error.
type decoder struct {
	rest []byte
	err  error
}

// fail keeps the first error and ends the decoding.
func (d *decoder) fail(field, reason string) {
	if d.err == nil {
		d.err = &CodecError{Field: field, Reason: reason}
	}
	d.rest = nil
}

// records reads the number of records, the base time and all records.
func (d *decoder) records() Records {
	count := d.uvarint("count", uint64(len(d.rest)/fixedRecordSize))
	base := int64(d.uvarint("base time", maxTime))
	rs := make(Records, 0, count)
	for range count {
		r := d.record(base)
		if d.err != nil {
			return nil
		}
		if n := len(rs); n > 0 && bytes.Compare(rs[n-1].Key[:], r.Key[:]) >= 0 {
			d.fail("key", "is out of order or twice")
			return nil
		}
		rs = append(rs, r)
	}
	return rs
}

// record reads one record.
func (d *decoder) record(base int64) Record {
	var r Record
	fixed := d.bytes("record", fixedRecordSize)
	if d.err != nil {
		return r
	}
	r.Key = Key(fixed[:16])
	r.Fingerprint = Fingerprint(binary.BigEndian.Uint64(fixed[16:]))
	r.Nonce = Nonce(binary.BigEndian.Uint64(fixed[24:]))
	r.Deadline = base + int64(d.uvarint("deadline", uint64(maxTime-base)))
	r.Expires = base + int64(d.uvarint("expiry", uint64(maxTime-base)))
	outcome := Outcome(fixed[32])
	if outcome == 0 {
		return r
	}
	if !outcome.valid() {
		d.fail("outcome", "is unknown")
		return r
	}
	r.Done = true
	r.Result.Outcome = outcome
	r.Result.Version = d.uvarint("version", 1<<64-1)
	r.Result.ShareBP = uint16(d.uvarint("share", MaxShareBP))
	return r
}

func (d *decoder) bytes(field string, n int) []byte {
	if len(d.rest) < n {
		d.fail(field, "is cut off")
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

// uvarint reads a number, which must be at most limit.
func (d *decoder) uvarint(field string, limit uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > limit {
		d.fail(field, "is cut off or too large")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}
