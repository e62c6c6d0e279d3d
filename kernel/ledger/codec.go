package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A bucket's value is, in order:
//
//	magic "FRL" and the format 1                     4 bytes
//	number of records                                uvarint
//	base time, the least of all times, Unix ms       uvarint
//	records, sorted by key:
//	    key 16, fingerprint 8, nonce 8               32 bytes
//	    outcome, 0 while there is none               1 byte
//	    deadline above the base time, ms             uvarint
//	    expiry above the base time, ms               uvarint
//	    with an outcome: version, share              2 uvarint
//	xxhash64 of all before                           8 bytes
//
// A value that does not decode whole is an error, never an empty bucket.
const (
	magic           = "FRL\x01"
	fixedRecordSize = 32 + 1
	checksumSize    = 8
	// maxTime bounds times, so that sums can't overflow: the year 10889.
	maxTime = 1 << 48
	// typicalRecordSize is what a record takes at the usual retention.
	typicalRecordSize = 48
)

// MaxRecordSize is the most bytes that one record takes.
const MaxRecordSize = fixedRecordSize + 2*7 + binary.MaxVarintLen64 + binary.MaxVarintLen16

// headSize is the most bytes around the records.
const headSize = len(magic) + 2*binary.MaxVarintLen64 + checksumSize

// MaxRecordsPerValue is how many records surely fit a value of the platform,
// which is a megabyte.
const MaxRecordsPerValue = (1<<20 - headSize) / MaxRecordSize

// Encode gives a bucket's value. The records are sorted and valid, as Decode
// and the machine give them.
func Encode(rs Records) []byte {
	base := baseTime(rs)
	out := make([]byte, 0, headSize+len(rs)*typicalRecordSize)
	out = append(out, magic...)
	out = binary.AppendUvarint(out, uint64(len(rs)))
	out = binary.AppendUvarint(out, uint64(base))
	for i := range rs {
		out = appendRecord(out, &rs[i], base)
	}
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(out))
}

// baseTime is the least deadline or expiry.
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

// appendRecord adds one record.
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

// Decode reads a bucket's value.
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

// fail keeps the first error and stops the reading.
func (d *decoder) fail(field, reason string) {
	if d.err == nil {
		d.err = &CodecError{Field: field, Reason: reason}
	}
	d.rest = nil
}

// records reads the head and all records.
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

// bytes reads n bytes.
func (d *decoder) bytes(field string, n int) []byte {
	if len(d.rest) < n {
		d.fail(field, "is cut off")
		return nil
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

// uvarint reads a number of at most limit.
func (d *decoder) uvarint(field string, limit uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > limit {
		d.fail(field, "is cut off or too large")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}
