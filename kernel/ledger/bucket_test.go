package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// bench is one machine under a script.
type bench struct {
	t   *testing.T
	m   *Machine
	now time.Time
}

// newBench makes a machine that knows its bucket at a version.
func newBench(t *testing.T, cfg Config, version uint64, rs Records) *bench {
	t.Helper()
	b := &bench{t: t, m: New(cfg, rand.New(rand.NewPCG(1, 2))), now: worldStart}
	b.m.known, b.m.version, b.m.records, b.m.seenAt = true, version, rs, b.now
	return b
}

// do gives an event and returns the actions, less the wake-ups.
func (b *bench) do(e Event) []Action {
	out := slices.Clone(b.m.Handle(e, b.now))
	return slices.DeleteFunc(out, func(a Action) bool { _, wake := a.(WakeAt); return wake })
}

// expect gives an event and checks the types of the actions.
func (b *bench) expect(e Event, want ...Action) []Action {
	b.t.Helper()
	got := b.do(e)
	same := slices.EqualFunc(got, want, func(x, y Action) bool { return reflect.TypeOf(x) == reflect.TypeOf(y) })
	if !same {
		b.t.Fatalf("after %T: got %+v, want the types of %+v", e, got, want)
	}
	return got
}

// claimOf builds a claim of key k with id and nonce n.
func (b *bench) claimOf(k byte, n int) Claim {
	return Claim{ID: ClaimID(n), Key: Key{k}, Fingerprint: Fingerprint(k), Nonce: Nonce(n), Deadline: b.now.Add(300 * time.Millisecond)}
}

// later lets time pass; the bucket is taken to have been seen just then.
func (b *bench) later(d time.Duration) {
	b.now = b.now.Add(d)
	b.m.seenAt = b.now
}

// foreign is a record of another entry.
func (b *bench) foreign(k byte) Record {
	return Record{
		Key: Key{k}, Fingerprint: Fingerprint(k), Nonce: 1000 + Nonce(k),
		Deadline: b.now.Add(time.Second).UnixMilli(), Expires: b.now.Add(time.Hour).UnixMilli(),
	}
}

// start gives a bench whose own records use its clock.
func start(t *testing.T, keys ...byte) *bench {
	b := newBench(t, DefaultConfig(), 5, nil)
	for _, k := range keys {
		b.m.records = append(b.m.records, b.foreign(k))
	}
	return b
}

func TestClaimsAreCombined(t *testing.T) {
	b := start(t)
	b.expect(b.claimOf(1, 1), Write{})
	b.expect(b.claimOf(2, 2))
	b.expect(b.claimOf(3, 3))
	got := b.expect(WriteDone{Version: 6}, Granted{}, Write{})
	if n := len(got[1].(Write).Records); n != 3 {
		t.Fatalf("second write holds %d records, want 3", n)
	}
	b.expect(WriteDone{Version: 7}, Granted{}, Granted{})
}

func TestResultsRideAlong(t *testing.T) {
	b := start(t)
	b.expect(b.claimOf(1, 1), Write{})
	b.expect(WriteDone{Version: 6}, Granted{})
	want := Result{Outcome: OutcomePartial, Version: 9, ShareBP: 5000}
	b.expect(Settle{ID: 1, Result: want})
	got := b.expect(b.claimOf(2, 2), Write{})
	rec, _ := got[0].(Write).Records.Get(Key{1})
	if !rec.Done || rec.Result != want {
		t.Fatalf("record is %+v, want the result %+v", rec, want)
	}
	b.expect(WriteDone{Version: 7}, Granted{}, Persisted{})
	held := b.expect(b.claimOf(1, 3), Held{})[0].(Held)
	if held.State != StateRecorded || held.Result != want {
		t.Fatalf("resend got %+v", held)
	}
}

// A bucket that was seen long ago is read before it is written.
func TestOldBucketIsReadFirst(t *testing.T) {
	b := start(t)
	b.now = b.now.Add(b.m.cfg.MaxCacheAge + 1)
	b.expect(b.claimOf(1, 1), Read{})
	b.expect(ReadDone{Version: 9}, Write{})
}

// A resend is answered by a bucket that was read after it came: the cached one
// may hold a claim that its holder has since released.
func TestHeldIsReadAfresh(t *testing.T) {
	b := start(t, 1)
	b.expect(b.claimOf(1, 1), Read{})
	b.expect(ReadDone{Version: 6}, Write{})
	b.expect(WriteDone{Version: 7}, Granted{})
}

func TestHeldByAnother(t *testing.T) {
	b := start(t, 1)
	b.expect(b.claimOf(1, 1), Read{})
	held := b.expect(ReadDone{Version: 5, Records: b.m.records}, Held{})[0].(Held)
	if held.State != StateRunning || held.RetryAfter < b.m.cfg.CombineDelay {
		t.Fatalf("got %+v, want running, to come back when a result may be recorded", held)
	}
	deadline := time.UnixMilli(b.m.records[0].Deadline)
	for i, row := range []struct{ past, want time.Duration }{
		{time.Millisecond, b.m.recordTime() - time.Millisecond},
		{b.m.recordTime() + time.Millisecond, 0}, // it will not be recorded any more
	} {
		past, want := row.past, row.want
		b.now = deadline.Add(past)
		b.expect(b.claimOf(1, 10+i), Read{})
		held = b.expect(ReadDone{Version: 5, Records: b.m.records}, Held{})[0].(Held)
		if held.State != StateUnknown || held.RetryAfter != want {
			t.Fatalf("%v past the deadline: got %+v, want unknown, to come back in %v", past, held, want)
		}
	}
}

func TestAnotherBodyIsRefused(t *testing.T) {
	b := start(t, 1)
	c := b.claimOf(1, 1)
	c.Fingerprint = 77
	b.expect(c, Read{})
	b.expect(ReadDone{Version: 5, Records: b.m.records}, Mismatch{})
	own := b.claimOf(2, 2)
	b.expect(own, Write{})
	own.ID, own.Fingerprint = 3, 77
	b.expect(own, Mismatch{})
}

func TestFirstWordAboutAClaimStands(t *testing.T) {
	b := start(t)
	b.expect(b.claimOf(1, 1), Write{})
	b.expect(WriteDone{Version: 6}, Granted{})
	b.expect(Settle{ID: 1, Result: Result{Outcome: OutcomeComplete}})
	b.expect(Settle{ID: 1, Result: Result{Outcome: OutcomeFailed}})
	b.expect(Release{ID: 1})
	rec, _ := b.expect(Flush{}, Write{})[0].(Write).Records.Get(Key{1})
	if rec.Result.Outcome != OutcomeComplete {
		t.Fatalf("record is %+v, want the first result", rec)
	}
	b.expect(WriteDone{Version: 7}, Persisted{})
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	b := start(t)
	b.expect(b.claimOf(1, 1), Write{})
	b.expect(WriteDone{Version: 6}, Granted{})
	b.expect(Release{ID: 1})
	rec, _ := b.expect(b.claimOf(1, 2), Write{})[0].(Write).Records.Get(Key{1})
	if rec.Nonce != 2 {
		t.Fatalf("record has nonce %d, want the new claim's", rec.Nonce)
	}
	b.expect(WriteDone{Version: 7}, Granted{}, Persisted{})
}

func TestFullBucketDropsNothing(t *testing.T) {
	b := start(t, 1, 2, 3)
	b.m.cfg.MaxRecords = 3
	got := b.expect(b.claimOf(4, 4), Unavailable{})[0].(Unavailable)
	if got.Reason != ReasonFull || got.RetryAfter <= 0 {
		t.Fatalf("got %+v, want full with a time to come back", got)
	}
	b.later(time.Hour + time.Minute)
	w := b.expect(b.claimOf(4, 5), Write{})[0].(Write)
	if len(w.Records) != 1 {
		t.Fatalf("after the retention the write holds %d records, want 1", len(w.Records))
	}
}

func TestExpiryAllowsForClockSkew(t *testing.T) {
	b := start(t, 1)
	b.later(time.Hour + b.m.cfg.MaxClockSkew - time.Millisecond)
	b.expect(b.claimOf(1, 1), Read{})
	b = start(t, 1)
	b.later(time.Hour + b.m.cfg.MaxClockSkew)
	b.expect(b.claimOf(1, 1), Write{})
}

func TestRefusedAtOnceWhileDown(t *testing.T) {
	b := start(t)
	b.expect(StoreDown{RetryAfter: time.Second})
	got := b.expect(b.claimOf(1, 1), Unavailable{})[0].(Unavailable)
	if got.Reason != ReasonStoreDown || got.RetryAfter <= 0 {
		t.Fatalf("got %+v, want store_down with a time to come back", got)
	}
	b.expect(StoreUp{})
	b.expect(b.claimOf(1, 2), Write{})
	b.expect(WriteRefused{}, Unavailable{})
	b.expect(b.claimOf(1, 3), Unavailable{})
	b.later(time.Second)
	b.expect(b.claimOf(1, 4), Write{})
}

// A bucket that was seen and then reads as absent was deleted or is read from
// the past: it takes no claims, as keys that ran would run again.
func TestDeletedBucketIsNotEmpty(t *testing.T) {
	b := start(t, 1)
	b.expect(b.claimOf(1, 1), Read{})
	b.expect(ReadDone{Version: 0}, Unavailable{})
}

// A write of unknown effect is settled by its nonce, also when it lands only
// after the bucket was read back.
func TestLostReplyIsSettledByNonce(t *testing.T) {
	b := start(t)
	first := b.expect(b.claimOf(1, 1), Write{})[0].(Write)
	b.expect(WriteUnknown{}, Read{})
	again := b.expect(ReadDone{Version: 5}, Write{})[0].(Write)
	if again.IfVersion != first.IfVersion {
		t.Fatalf("second write is on version %d, want %d", again.IfVersion, first.IfVersion)
	}
	b.expect(WriteConflict{}, Read{}) // the first one has landed
	b.expect(ReadDone{Version: 6, Records: first.Records}, Granted{})
}

// A store that reads but whose writes do nothing is not asked without pause.
func TestWritesWithoutEffectBackOff(t *testing.T) {
	b := start(t)
	b.expect(b.claimOf(1, 1), Write{})
	for range 2 {
		b.expect(WriteUnknown{}, Read{})
		b.expect(ReadDone{Version: 5}, Write{})
	}
	b.expect(WriteUnknown{}, Unavailable{})
	b.expect(Tick{})
	b.later(b.m.cfg.RetryMax)
	b.expect(Tick{}, Read{})
	b.expect(ReadDone{Version: 5}, Write{}) // without the claim, to end the doubt
	b.expect(WriteDone{Version: 6}, Persisted{})
}

func TestTimedOutClaimIsReleasedLater(t *testing.T) {
	b := start(t)
	first := b.expect(b.claimOf(1, 1), Write{})[0].(Write)
	b.expect(WriteUnknown{}, Read{})
	b.later(time.Second)
	b.expect(Tick{}, Unavailable{})
	second := b.expect(ReadDone{Version: 6, Records: first.Records}, Write{})[0].(Write)
	if len(second.Records) != 0 {
		t.Fatalf("release leaves %+v", second.Records)
	}
	b.expect(WriteDone{Version: 7}, Persisted{})
}

func TestMayDispatch(t *testing.T) {
	deadline := worldStart
	if !MayDispatch(deadline, deadline.Add(-time.Millisecond)) {
		t.Error("refused before the deadline")
	}
	if MayDispatch(deadline, deadline) {
		t.Error("allowed at the deadline")
	}
}
