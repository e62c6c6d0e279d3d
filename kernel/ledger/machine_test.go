package ledger

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// scriptedMachine is a Machine with a clock that a test script controls.
type scriptedMachine struct {
	t   *testing.T
	m   *Machine
	now time.Time
}

// newScriptedMachine returns a machine that has cached its bucket.
func newScriptedMachine(t *testing.T, cfg Config, version uint64, rs Records) *scriptedMachine {
	t.Helper()
	s := &scriptedMachine{t: t, m: New(cfg, rand.New(rand.NewPCG(1, 2))), now: simulationStart}
	s.m.known, s.m.version, s.m.records, s.m.seenAt = true, version, rs, s.now
	return s
}

// handle passes an event to the machine and returns the actions except WakeAt.
func (s *scriptedMachine) handle(e Event) []Action {
	out := slices.Clone(s.m.Handle(e, s.now))
	return slices.DeleteFunc(out, func(a Action) bool { _, isWake := a.(WakeAt); return isWake })
}

// expect passes an event to the machine and checks the types of the actions.
func (s *scriptedMachine) expect(e Event, want ...Action) []Action {
	s.t.Helper()
	got := s.handle(e)
	same := slices.EqualFunc(got, want, func(x, y Action) bool { return reflect.TypeOf(x) == reflect.TypeOf(y) })
	if !same {
		s.t.Fatalf("after %T: got %+v, want the types of %+v", e, got, want)
	}
	return got
}

// newClaim returns a claim of key k with id and nonce n.
func (s *scriptedMachine) newClaim(k byte, n int) Claim {
	return Claim{ID: ClaimID(n), Key: Key{k}, Fingerprint: Fingerprint(k), Nonce: Nonce(n), Deadline: s.now.Add(300 * time.Millisecond)}
}

// advance advances the clock; the cached bucket counts as just read.
func (s *scriptedMachine) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.m.seenAt = s.now
}

// foreignRecord returns a record of another instance.
func (s *scriptedMachine) foreignRecord(k byte) Record {
	return Record{
		Key: Key{k}, Fingerprint: Fingerprint(k), Nonce: 1000 + Nonce(k),
		Deadline: s.now.Add(time.Second).UnixMilli(), Expires: s.now.Add(time.Hour).UnixMilli(),
	}
}

// newMachineWithRecords returns a machine whose cached bucket holds records of
// other instances for the given keys.
func newMachineWithRecords(t *testing.T, keys ...byte) *scriptedMachine {
	s := newScriptedMachine(t, DefaultConfig(), 5, nil)
	for _, k := range keys {
		s.m.records = append(s.m.records, s.foreignRecord(k))
	}
	return s
}

func TestQueuedClaimsShareOneWrite(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(s.newClaim(1, 1), Write{})
	s.expect(s.newClaim(2, 2))
	s.expect(s.newClaim(3, 3))
	got := s.expect(WriteDone{Version: 6}, Granted{}, Write{})
	if n := len(got[1].(Write).Records); n != 3 {
		t.Fatalf("second write holds %d records, want 3", n)
	}
	s.expect(WriteDone{Version: 7}, Granted{}, Granted{})
}

func TestResultIsWrittenWithNextClaim(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(s.newClaim(1, 1), Write{})
	s.expect(WriteDone{Version: 6}, Granted{})
	want := Result{Outcome: OutcomePartial, Version: 9, ShareBP: 5000}
	s.expect(Settle{ID: 1, Result: want})
	got := s.expect(s.newClaim(2, 2), Write{})
	rec, _ := got[0].(Write).Records.Get(Key{1})
	if !rec.Done || rec.Result != want {
		t.Fatalf("record is %+v, want the result %+v", rec, want)
	}
	s.expect(WriteDone{Version: 7}, Granted{}, Persisted{})
	held := s.expect(s.newClaim(1, 3), Held{})[0].(Held)
	if held.State != StateRecorded || held.Result != want {
		t.Fatalf("resent request got %+v", held)
	}
}

// A bucket cached longer than MaxCacheAge is read before it is written.
func TestStaleBucketIsReadBeforeWrite(t *testing.T) {
	s := newMachineWithRecords(t)
	s.now = s.now.Add(s.m.cfg.MaxCacheAge + 1)
	s.expect(s.newClaim(1, 1), Read{})
	s.expect(ReadDone{Version: 9}, Write{})
}

// A claim of a held key is answered only from a bucket that was read after the
// claim arrived: the cached one may hold a claim that has been released since.
func TestBucketIsReadBeforeHeldKeyIsRefused(t *testing.T) {
	s := newMachineWithRecords(t, 1)
	s.expect(s.newClaim(1, 1), Read{})
	s.expect(ReadDone{Version: 6}, Write{})
	s.expect(WriteDone{Version: 7}, Granted{})
}

func TestKeyHeldByAnotherInstance(t *testing.T) {
	s := newMachineWithRecords(t, 1)
	s.expect(s.newClaim(1, 1), Read{})
	held := s.expect(ReadDone{Version: 5, Records: s.m.records}, Held{})[0].(Held)
	if held.State != StateRunning || held.RetryAfter < s.m.cfg.CombineDelay {
		t.Fatalf("got %+v, want running, with a retry once a result may be recorded", held)
	}
	deadline := time.UnixMilli(s.m.records[0].Deadline)
	for i, row := range []struct{ past, want time.Duration }{
		{time.Millisecond, s.m.maxRecordDelay() - time.Millisecond},
		{s.m.maxRecordDelay() + time.Millisecond, 0}, // too late for a result to be recorded
	} {
		past, want := row.past, row.want
		s.now = deadline.Add(past)
		s.expect(s.newClaim(1, 10+i), Read{})
		held = s.expect(ReadDone{Version: 5, Records: s.m.records}, Held{})[0].(Held)
		if held.State != StateUnknown || held.RetryAfter != want {
			t.Fatalf("%v past the deadline: got %+v, want unknown, with a retry in %v", past, held, want)
		}
	}
}

func TestReusedKeyWithOtherBodyIsRefused(t *testing.T) {
	s := newMachineWithRecords(t, 1)
	c := s.newClaim(1, 1)
	c.Fingerprint = 77
	s.expect(c, Read{})
	s.expect(ReadDone{Version: 5, Records: s.m.records}, Mismatch{})
	own := s.newClaim(2, 2)
	s.expect(own, Write{})
	own.ID, own.Fingerprint = 3, 77
	s.expect(own, Mismatch{})
}

func TestFirstSettleOrReleaseWins(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(s.newClaim(1, 1), Write{})
	s.expect(WriteDone{Version: 6}, Granted{})
	s.expect(Settle{ID: 1, Result: Result{Outcome: OutcomeComplete}})
	s.expect(Settle{ID: 1, Result: Result{Outcome: OutcomeFailed}})
	s.expect(Release{ID: 1})
	rec, _ := s.expect(Flush{}, Write{})[0].(Write).Records.Get(Key{1})
	if rec.Result.Outcome != OutcomeComplete {
		t.Fatalf("record is %+v, want the first result", rec)
	}
	s.expect(WriteDone{Version: 7}, Persisted{})
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(s.newClaim(1, 1), Write{})
	s.expect(WriteDone{Version: 6}, Granted{})
	s.expect(Release{ID: 1})
	rec, _ := s.expect(s.newClaim(1, 2), Write{})[0].(Write).Records.Get(Key{1})
	if rec.Nonce != 2 {
		t.Fatalf("record has nonce %d, want the new claim's", rec.Nonce)
	}
	s.expect(WriteDone{Version: 7}, Granted{}, Persisted{})
}

func TestFullBucketRefusesClaims(t *testing.T) {
	s := newMachineWithRecords(t, 1, 2, 3)
	s.m.cfg.MaxRecords = 3
	got := s.expect(s.newClaim(4, 4), Unavailable{})[0].(Unavailable)
	if got.Reason != ReasonFull || got.RetryAfter <= 0 {
		t.Fatalf("got %+v, want full with a retry delay", got)
	}
	s.advance(time.Hour + time.Minute)
	w := s.expect(s.newClaim(4, 5), Write{})[0].(Write)
	if len(w.Records) != 1 {
		t.Fatalf("after the retention the write holds %d records, want 1", len(w.Records))
	}
}

func TestExpiryAllowsForClockSkew(t *testing.T) {
	s := newMachineWithRecords(t, 1)
	s.advance(time.Hour + s.m.cfg.MaxClockSkew - time.Millisecond)
	s.expect(s.newClaim(1, 1), Read{})
	s = newMachineWithRecords(t, 1)
	s.advance(time.Hour + s.m.cfg.MaxClockSkew)
	s.expect(s.newClaim(1, 1), Write{})
}

func TestClaimsAreRefusedWhileStoreIsDown(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(StoreDown{RetryAfter: time.Second})
	got := s.expect(s.newClaim(1, 1), Unavailable{})[0].(Unavailable)
	if got.Reason != ReasonStoreDown || got.RetryAfter <= 0 {
		t.Fatalf("got %+v, want store_down with a retry delay", got)
	}
	s.expect(StoreUp{})
	s.expect(s.newClaim(1, 2), Write{})
	s.expect(WriteRefused{}, Unavailable{})
	s.expect(s.newClaim(1, 3), Unavailable{})
	s.advance(time.Second)
	s.expect(s.newClaim(1, 4), Write{})
}

// A bucket that existed and then reads as absent was deleted, or the read is
// stale. It accepts no claims, as keys that have run would run again.
func TestDeletedBucketAcceptsNoClaims(t *testing.T) {
	s := newMachineWithRecords(t, 1)
	s.expect(s.newClaim(1, 1), Read{})
	s.expect(ReadDone{Version: 0}, Unavailable{})
}

// The nonce in the bucket shows whether a write with a lost reply took effect, also
// when it does so only after the bucket was read back.
func TestLostWriteReplyIsResolvedByNonce(t *testing.T) {
	s := newMachineWithRecords(t)
	first := s.expect(s.newClaim(1, 1), Write{})[0].(Write)
	s.expect(WriteUnknown{}, Read{})
	second := s.expect(ReadDone{Version: 5}, Write{})[0].(Write)
	if second.IfVersion != first.IfVersion {
		t.Fatalf("second write is on version %d, want %d", second.IfVersion, first.IfVersion)
	}
	s.expect(WriteConflict{}, Read{}) // the first write has taken effect
	s.expect(ReadDone{Version: 6, Records: first.Records}, Granted{})
}

// A store that answers reads while its writes have no effect and no reply is
// retried with a backoff.
func TestUnknownWritesBackOff(t *testing.T) {
	s := newMachineWithRecords(t)
	s.expect(s.newClaim(1, 1), Write{})
	for range 2 {
		s.expect(WriteUnknown{}, Read{})
		s.expect(ReadDone{Version: 5}, Write{})
	}
	s.expect(WriteUnknown{}, Unavailable{})
	s.expect(Tick{})
	s.advance(s.m.cfg.RetryMax)
	s.expect(Tick{}, Read{})
	s.expect(ReadDone{Version: 5}, Write{}) // without the claim, to resolve the write in doubt
	s.expect(WriteDone{Version: 6}, Persisted{})
}

func TestTimedOutClaimIsReleasedLater(t *testing.T) {
	s := newMachineWithRecords(t)
	first := s.expect(s.newClaim(1, 1), Write{})[0].(Write)
	s.expect(WriteUnknown{}, Read{})
	s.advance(time.Second)
	s.expect(Tick{}, Unavailable{})
	second := s.expect(ReadDone{Version: 6, Records: first.Records}, Write{})[0].(Write)
	if len(second.Records) != 0 {
		t.Fatalf("release leaves %+v", second.Records)
	}
	s.expect(WriteDone{Version: 7}, Persisted{})
}

func TestMayDispatch(t *testing.T) {
	deadline := simulationStart
	if !MayDispatch(deadline, deadline.Add(-time.Millisecond)) {
		t.Error("refused before the deadline")
	}
	if MayDispatch(deadline, deadline) {
		t.Error("allowed at the deadline")
	}
}
