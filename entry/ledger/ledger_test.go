package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/entry/platform"
	"github.com/fuchsiaroad/fuchsiaroad/entry/platform/platformtest"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// runFleet runs 60 callers against eight entries with a faulty store. Entries are
// replaced meanwhile, and the store is down, and then hangs, for a while.
func runFleet(t *testing.T, seed uint64, variant fleetVariant) *fleet {
	f := newFleet(t, seed, 8)
	f.variant = variant
	time.Sleep(time.Second)
	faulty := platformtest.Faults{
		Latency: 2 * time.Millisecond, Jitter: 20 * time.Millisecond,
		FailReads: 0.05, StaleReads: 0.05,
		LoseRequests: 0.05, LoseReplies: 0.05, DelayEffects: 0.05, EffectDelay: 400 * time.Millisecond,
	}
	f.store.SetFaults(faulty)
	var callers sync.WaitGroup
	for i := range 60 {
		callers.Go(func() {
			time.Sleep(time.Duration(f.intn(2000)) * time.Millisecond)
			f.sendAndResend(fmt.Sprint("key", i))
		})
	}
	for i := range 10 {
		time.Sleep(300 * time.Millisecond)
		f.replaceEntry()
		switch i {
		case 3:
			f.store.SetFaults(platformtest.Faults{Down: true})
		case 5:
			f.store.SetFaults(platformtest.Faults{Hang: true})
		default:
			f.store.SetFaults(faulty)
		}
	}
	callers.Wait()
	time.Sleep(faulty.EffectDelay)
	return f
}

func TestAtMostOnceOverEightEntries(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := runFleet(t, seed, fleetCorrect)
				for _, violation := range f.violations() {
					t.Error(violation)
				}
				t.Logf("%d keys ran, answers %v", len(f.leaf.byKey), f.answers)
				if len(f.leaf.byKey) < 20 || f.answers["held"] < 20 || f.answers["not_run"] < 20 {
					t.Errorf("too little happened: %d keys ran, answers %v", len(f.leaf.byKey), f.answers)
				}
			})
		})
	}
}

// The fleet must detect each faulty use of the ledger, or a pass of
// TestAtMostOnceOverEightEntries would prove nothing.
func TestFleetDetectsMisuseOfTheLedger(t *testing.T) {
	for name, variant := range map[string]fleetVariant{
		"dispatch without a claim": fleetDispatchUnclaimed,
		"release after unknown":    fleetReleaseUnknown,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(10) {
					if f := runFleet(t, seed, variant); len(f.violations()) > 0 {
						return
					}
				}
				t.Error("no fault found")
			})
		})
	}
}

func TestResendGetsTheRecordedResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
		<-a.Ready()
		<-b.Ready()
		grant := mustClaim(t, a, "k")
		_ = mustBeHeld(t, b, "k", StateRunning)
		grant.Record(complete)
		if err := a.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := mustBeHeld(t, b, "k", StateRecorded); got != complete {
			t.Fatalf("got %+v, want %+v", got, complete)
		}
		_, err := b.Claim(t.Context(), Request{Caller: "c", Service: "s", Key: "k", Body: []byte("other"), Deadline: time.Now().Add(time.Second)})
		var mismatch *MismatchError
		if !errors.As(err, &mismatch) {
			t.Fatalf("another body: got %v", err)
		}
		if _, err := b.Claim(t.Context(), Request{Caller: "other", Service: "s", Key: "k", Deadline: time.Now().Add(time.Second)}); err != nil {
			t.Fatalf("another caller's key: %v", err)
		}
	})
}

func TestReleasedKeyRunsElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
		<-a.Ready()
		<-b.Ready()
		mustClaim(t, a, "k").Release()
		if err := a.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustClaim(t, b, "k")
	})
}

// If the reply to a write is lost, the ledger reads the bucket back and grants
// the claim if it finds the claim's nonce there.
func TestLostReplyIsSettledByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		e := startEntry(t, store, 1, nil)
		<-e.Ready()
		store.SetFaults(platformtest.Faults{LoseReplies: 1})
		mustClaim(t, e, "k")
	})
}

// A claim that its caller abandons during the write must not block the key: its
// record is removed.
func TestAbandonedClaimIsReleased(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"slow store": {Latency: 100 * time.Millisecond},
		"late write": {Latency: 100 * time.Millisecond, DelayEffects: 1, EffectDelay: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New(1)
				a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
				<-a.Ready()
				<-b.Ready()
				store.SetFaults(faults)
				ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
				defer cancel()
				if _, err := a.Claim(ctx, request("k", time.Second)); err == nil {
					t.Fatal("claim was granted to a caller that had gone")
				}
				time.Sleep(faults.EffectDelay)
				store.SetFaults(platformtest.Faults{})
				time.Sleep(time.Second)
				mustClaim(t, b, "k")
			})
		})
	}
}

// The claim of a killed entry stays in the store. As the request may have run, a
// resend to another entry is answered running until the deadline and unknown
// after it.
func TestResendAfterKillIsAnsweredUnknown(t *testing.T) {
	for name, step := range map[string]func(*Grant){
		"before dispatch":   func(*Grant) {},
		"after dispatch":    func(g *Grant) { g.MayDispatch() },
		"result not stored": func(g *Grant) { g.Record(complete) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New(1)
				a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
				<-a.Ready()
				<-b.Ready()
				step(mustClaim(t, a, "k"))
				a.stop()
				_ = mustBeHeld(t, b, "k", StateRunning)
				time.Sleep(time.Second)
				_ = mustBeHeld(t, b, "k", StateUnknown)
			})
		})
	}
	t.Run("before the claim", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := platformtest.New(1)
			a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
			<-a.Ready()
			<-b.Ready()
			a.stop()
			if _, err := a.Claim(t.Context(), request("k", time.Second)); err == nil {
				t.Fatal("a stopped ledger granted a claim")
			}
			mustClaim(t, b, "k")
		})
	})
}

// An entry whose process was paused past the deadline must not dispatch, and no
// other entry is granted the key before the paused one releases it.
func TestPausedHolderMayNotDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		a, b := startEntry(t, store, 1, nil), startEntry(t, store, 2, nil)
		<-a.Ready()
		<-b.Ready()
		grant := mustClaim(t, a, "k")
		time.Sleep(10 * time.Minute)
		_ = mustBeHeld(t, b, "k", StateUnknown)
		if grant.MayDispatch() {
			t.Fatal("a paused holder may start stale work")
		}
		grant.Release()
		if err := a.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		mustClaim(t, b, "k")
	})
}

// While the store is down claims are refused without waiting, and after it has
// recovered they are granted again.
func TestOutageRefusesClaimsAtOnce(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"down":          {Down: true},
		"hangs":         {Hang: true},
		"loses replies": {LoseRequests: 1, FailReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := platformtest.New(1)
				e := startEntry(t, store, 1, nil)
				<-e.Ready()
				grant := mustClaim(t, e, "before")
				store.SetFaults(faults)
				for i := range 20 {
					_, _ = e.Claim(t.Context(), request(fmt.Sprint(i), time.Minute))
				}
				begin := time.Now()
				_, err := e.Claim(t.Context(), request("k", time.Minute))
				var unavailable *UnavailableError
				if !errors.As(err, &unavailable) || unavailable.RetryAfter <= 0 {
					t.Fatalf("got %v, want unavailable with a time to come back", err)
				}
				if waited := time.Since(begin); waited != 0 {
					t.Fatalf("refusal took %v, want none", waited)
				}
				grant.Record(complete)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var unsaved *FlushError
				if err := e.Flush(ctx); !errors.As(err, &unsaved) || unsaved.Unsaved < 1 {
					t.Fatalf("flush in an outage: got %v", err)
				}
				store.SetFaults(platformtest.Faults{})
				time.Sleep(2 * ledger.DefaultConfig().RetryMax)
				mustClaim(t, e, "after")
				if err := e.Flush(t.Context()); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// While the store is down an entry only probes it: claims cause no further calls.
func TestOutageCostsFewCalls(t *testing.T) {
	for name, test := range map[string]struct {
		faults platformtest.Faults
		most   int
	}{
		"down":           {platformtest.Faults{Down: true}, 30},
		"takes no write": {platformtest.Faults{LoseRequests: 1}, 200},
	} {
		t.Run(name, func(t *testing.T) { checkCallsInOutage(t, test.faults, test.most) })
	}
}

// checkCallsInOutage checks that an entry makes at most that many calls to the
// store in one minute of an outage, with 1000 claims.
func checkCallsInOutage(t *testing.T, faults platformtest.Faults, most int) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		e := startEntry(t, store, 1, func(c *Config) { c.Buckets = 64 })
		<-e.Ready()
		store.SetFaults(faults)
		for i := range 200 {
			_, _ = e.Claim(t.Context(), request(fmt.Sprint("warm", i), time.Second))
		}
		before := store.Calls(platform.CallGet) + store.Calls(platform.CallPut)
		for i := range 1000 {
			_, _ = e.Claim(t.Context(), request(fmt.Sprint(i), time.Second))
			time.Sleep(60 * time.Millisecond)
		}
		calls := store.Calls(platform.CallGet) + store.Calls(platform.CallPut) - before
		t.Logf("a minute of outage cost %d calls", calls)
		if calls > most {
			t.Fatalf("want %d at most", most)
		}
	})
}

// An entry configured with another number of buckets would look for keys in the
// wrong buckets, so it must take no claims.
func TestMismatchedBucketCountTakesNoClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := platformtest.New(1)
		a := startEntry(t, store, 1, nil)
		<-a.Ready()
		b := startEntry(t, store, 2, func(c *Config) { c.Buckets = 3 })
		time.Sleep(time.Minute)
		if _, err := b.Claim(t.Context(), request("k", time.Second)); err == nil {
			t.Fatal("claim was granted in another layout")
		}
	})
}

func TestBadRequestNamesItsField(t *testing.T) {
	l, err := New(Config{Store: platformtest.New(1)})
	if err != nil {
		t.Fatal(err)
	}
	good := request("k", time.Second)
	for field, change := range map[string]func(*Request){
		"caller":   func(r *Request) { r.Caller = "" },
		"service":  func(r *Request) { r.Service = "" },
		"key":      func(r *Request) { r.Key = "" },
		"deadline": func(r *Request) { r.Deadline = r.Deadline.Add(time.Hour) },
	} {
		req := good
		change(&req)
		_, err := l.Claim(t.Context(), req)
		var bad *RequestError
		if !errors.As(err, &bad) || bad.Field != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestBadConfigNamesItsField(t *testing.T) {
	store := platformtest.New(1)
	for name, cfg := range map[string]Config{
		"no store":          {},
		"too many buckets":  {Store: store, Buckets: maxBuckets + 1},
		"negative timeout":  {Store: store, OpTimeout: -1},
		"partial bucket":    {Store: store, Bucket: ledger.Config{MaxRecords: 5}},
		"bucket too large":  {Store: store, Bucket: func() ledger.Config { c := ledger.DefaultConfig(); c.MaxRecords = 1 << 20; return c }()},
		"no claim timeout":  {Store: store, Bucket: func() ledger.Config { c := ledger.DefaultConfig(); c.ClaimTimeout = 0; return c }()},
		"retry max too low": {Store: store, Bucket: func() ledger.Config { c := ledger.DefaultConfig(); c.RetryMax = 1; return c }()},
	} {
		if _, err := New(cfg); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
