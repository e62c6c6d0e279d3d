package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// sampleRecords returns n valid records with deadlines within an hour, half of them
// with a result.
func sampleRecords(n int) Records {
	rng := rand.New(rand.NewPCG(3, 4))
	rs := make(Records, n)
	for i := range rs {
		r := &rs[i]
		binary.BigEndian.PutUint64(r.Key[:], uint64(i)<<32|rng.Uint64()>>32)
		binary.BigEndian.PutUint64(r.Key[8:], rng.Uint64())
		r.Fingerprint = Fingerprint(rng.Uint64())
		r.Nonce = Nonce(rng.Uint64())
		r.Deadline = simulationStart.UnixMilli() + rng.Int64N(time.Hour.Milliseconds())
		r.Expires = r.Deadline + time.Hour.Milliseconds()
		r.Done = i%2 == 0
		if r.Done {
			r.Result = Result{Outcome: OutcomeComplete, Version: 40_000 + rng.Uint64N(1000), ShareBP: MaxShareBP}
		}
	}
	return rs
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := sampleRecords(rapid.IntRange(0, 50).Draw(t, "n"))
		for i := range want {
			want[i].Fingerprint = Fingerprint(rapid.Uint64().Draw(t, "fp"))
			want[i].Expires = want[i].Deadline + rapid.Int64Range(0, 1<<40).Draw(t, "expires")
			if want[i].Done {
				want[i].Result.Version = rapid.Uint64().Draw(t, "version")
				want[i].Result.ShareBP = rapid.Uint16Range(0, MaxShareBP).Draw(t, "share")
				want[i].Result.Outcome = Outcome(rapid.IntRange(1, 4).Draw(t, "outcome"))
			}
		}
		got, err := Decode(Encode(want))
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// withChecksum appends the checksum of body, so that Decode checks the fields.
func withChecksum(body []byte) []byte {
	return binary.BigEndian.AppendUint64(slices.Clone(body), xxhash.Sum64(body))
}

func TestDecodeRejectsDamagedValue(t *testing.T) {
	valid := Encode(sampleRecords(3))
	body := valid[:len(valid)-checksumSize]
	unsorted := sampleRecords(2)
	slices.Reverse(unsorted)
	badOutcome := slices.Clone(Encode(sampleRecords(1)))
	badOutcome[len(magic)+1+6+32] = 9
	for field, value := range map[string][]byte{
		"head":      nil,
		"checksum":  append(slices.Clone(body), make([]byte, checksumSize)...),
		"tail":      withChecksum(append(slices.Clone(body), 0)),
		"key":       Encode(unsorted),
		"count":     withChecksum(append([]byte(magic), 200)),
		"base time": withChecksum(append([]byte(magic), 0, 0x80)),
		"record":    withChecksum(append([]byte(magic), binary.AppendUvarint([]byte{1}, 1<<40)...)),
		"outcome":   withChecksum(badOutcome[:len(badOutcome)-checksumSize]),
		"share":     withChecksum(body[:len(body)-1]),
	} {
		_, err := Decode(value)
		var codec *CodecError
		if !errors.As(err, &codec) {
			t.Errorf("%s: got error %v, want a CodecError", field, err)
			continue
		}
		if codec.Field != field && field != "record" && field != "count" {
			t.Errorf("%s: got %v", field, codec)
		}
	}
	for i := range valid {
		damaged := slices.Clone(valid)
		damaged[i] ^= 0x10
		if _, err := Decode(damaged); err == nil {
			t.Errorf("a flipped bit in byte %d was not detected", i)
		}
	}
}

func TestLargestBucketFitsStoreValue(t *testing.T) {
	rs := sampleRecords(MaxRecordsPerValue)
	rs[0].Deadline = 0
	for i := range rs {
		rs[i].Expires = maxTime
		if i > 0 {
			rs[i].Deadline = maxTime
		}
		rs[i].Done = true
		rs[i].Result = Result{Outcome: OutcomeFailed, Version: 1<<64 - 1, ShareBP: MaxShareBP}
	}
	if n := len(Encode(rs)); n > 1<<20 {
		t.Fatalf("%d records take %d bytes, more than a megabyte", len(rs), n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(nil))
	f.Add(Encode(nil))
	f.Add(Encode(sampleRecords(1)))
	f.Add(Encode(sampleRecords(7)))
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, value []byte) {
		for _, v := range [][]byte{value, withChecksum(value)} {
			rs, err := Decode(v)
			if err != nil {
				continue
			}
			decoded, err := Decode(Encode(rs))
			if err != nil || !slices.Equal(decoded, rs) {
				t.Fatalf("%+v does not survive a round trip: %+v, %v", rs, decoded, err)
			}
		}
	})
}

func TestKeyOfSeparatesFields(t *testing.T) {
	if KeyOf("a", "bc", "d") == KeyOf("ab", "c", "d") {
		t.Error("two callers share a key")
	}
}

func TestParseOutcome(t *testing.T) {
	for o := OutcomeComplete; o <= OutcomeFailed; o++ {
		if got, err := ParseOutcome(o.String()); err != nil || got != o {
			t.Errorf("%v: got %v, %v", o, got, err)
		}
	}
	for _, text := range []string{"", "not_run"} {
		if _, err := ParseOutcome(text); err == nil {
			t.Errorf("%q is accepted as an outcome", text)
		}
	}
}

// bucketSizes are the numbers of records in the benchmarked buckets.
var bucketSizes = []int{10, 1_000, 10_000}

func BenchmarkEncode(b *testing.B) {
	for _, n := range bucketSizes {
		rs := sampleRecords(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Encode(rs)
			}
			b.ReportMetric(float64(len(Encode(rs))), "value-bytes")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range bucketSizes {
		value := Encode(sampleRecords(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkClaim measures a claim that is granted, settled and persisted by two
// writes in a bucket of n records, without encoding.
func BenchmarkClaim(b *testing.B) {
	for _, n := range bucketSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.CombineDelay = 0
			m := New(cfg, rand.New(rand.NewPCG(1, 2)))
			now := simulationStart
			m.known, m.version, m.records, m.seenAt = true, 1, sampleRecords(n), now
			b.ReportAllocs()
			for b.Loop() {
				m.records = m.records[:n:n]
				id := ClaimID(m.version)
				m.Handle(Claim{ID: id, Key: Key{255, 255}, Nonce: Nonce(id), Deadline: now.Add(time.Second)}, now)
				m.Handle(WriteDone{Version: m.version + 1}, now)
				m.Handle(Settle{ID: id, Result: Result{Outcome: OutcomeComplete}}, now)
				m.Handle(WriteDone{Version: m.version + 1}, now)
				if !m.Idle() {
					b.Fatal("claim is not complete")
				}
			}
		})
	}
}
