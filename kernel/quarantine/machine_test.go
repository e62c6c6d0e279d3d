package quarantine_test

import (
	"flag"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

var (
	epoch = time.Date(2030, 1, 1, 9, 0, 0, 0, time.UTC)
	cfg   = quarantine.Config{QuarantineDuration: time.Minute, SuspectDuration: 5 * time.Minute, MaxRecords: 64, MaxKnownGood: 64, MaxDigestRecords: 16}
)

const (
	fp          = "f00d"
	shards      = 8
	canaryAbove = 4
)

func crash(solo bool) quarantine.AttemptEnded {
	return quarantine.AttemptEnded{Fingerprint: fp, Leaf: "l", Crashed: true, Solo: solo}
}

func success() quarantine.AttemptEnded { return quarantine.AttemptEnded{Fingerprint: fp, Leaf: "l"} }

// wantMode fails the test unless the fingerprint would run in the given mode, and
// returns the decision.
func wantMode(t *testing.T, m *quarantine.Machine, now time.Time, want quarantine.Mode) quarantine.Decision {
	t.Helper()
	d := m.Admit(fp, shards, canaryAbove, now)
	if d.Mode != want {
		t.Fatalf("mode %d, want %d", d.Mode, want)
	}
	return d
}

func TestCanaryOnlyForUnknownWideFanOut(t *testing.T) {
	m := quarantine.New(cfg)
	wantMode(t, m, epoch, quarantine.ModeCanary)
	for _, c := range []struct{ shards, canaryAbove int }{{canaryAbove, canaryAbove}, {shards, 0}} {
		if d := m.Admit(fp, c.shards, c.canaryAbove, epoch); d.Mode != quarantine.ModeRun {
			t.Fatalf("%d shards with the canary above %d: mode %d", c.shards, c.canaryAbove, d.Mode)
		}
	}
	m.Handle(success(), epoch)
	wantMode(t, m, epoch, quarantine.ModeRun)
}

func TestSecondCrashAloneQuarantinesForATime(t *testing.T) {
	m := quarantine.New(cfg)
	m.Handle(success(), epoch)
	m.Handle(crash(false), epoch)
	wantMode(t, m, epoch, quarantine.ModeSuspect)
	m.Handle(crash(false), epoch) // the same crash, seen by another attempt
	wantMode(t, m, epoch, quarantine.ModeSuspect)
	m.Handle(crash(true), epoch)
	now := epoch.Add(20 * time.Second)
	if d := wantMode(t, m, now, quarantine.ModeRefuse); d.RetryAfter != 40*time.Second {
		t.Fatalf("retry after %v", d.RetryAfter)
	}
	now = epoch.Add(cfg.QuarantineDuration)
	wantMode(t, m, now, quarantine.ModeSuspect)
	m.Handle(crash(true), now)
	wantMode(t, m, now, quarantine.ModeRefuse)
	wantMode(t, m, now.Add(cfg.QuarantineDuration+cfg.SuspectDuration), quarantine.ModeCanary)
}

func TestSuccessClearsSuspectAtAllInstances(t *testing.T) {
	local, peer := quarantine.New(cfg), quarantine.New(cfg)
	local.Handle(crash(false), epoch)
	peer.Handle(quarantine.RecordsReceived{Records: local.Digest(epoch)}, epoch)
	wantMode(t, peer, epoch, quarantine.ModeSuspect)
	actions := local.Handle(success(), epoch)
	if len(actions) != 2 {
		t.Fatalf("actions %v", actions)
	}
	announced := actions[0].(quarantine.Announce).Record
	wantMode(t, local, epoch, quarantine.ModeRun)
	local.Handle(quarantine.RecordsReceived{Records: peer.Digest(epoch)}, epoch)
	wantMode(t, local, epoch, quarantine.ModeRun)
	changed := peer.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{announced}}, epoch)
	if len(changed) != 2 || changed[0].(quarantine.Announce).Record != announced || changed[1].(quarantine.PhaseChanged).Phase != quarantine.PhaseClear {
		t.Fatalf("actions %v", changed)
	}
	if again := peer.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{announced}}, epoch); len(again) != 0 {
		t.Fatalf("a known record is announced again: %v", again)
	}
	wantMode(t, peer, epoch, quarantine.ModeRun)
}

func TestLiftedQuarantineIsNotRestoredByPeer(t *testing.T) {
	local, peer := quarantine.New(cfg), quarantine.New(cfg)
	local.Handle(crash(false), epoch)
	local.Handle(crash(true), epoch)
	peer.Handle(quarantine.RecordsReceived{Records: local.Digest(epoch)}, epoch)
	local.Handle(quarantine.Lifted{Fingerprint: fp}, epoch)
	local.Handle(quarantine.RecordsReceived{Records: peer.Digest(epoch)}, epoch)
	wantMode(t, local, epoch, quarantine.ModeRun)
}

func TestExpiredRecordsAreNotMerged(t *testing.T) {
	m := quarantine.New(cfg)
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: 2, ExpiresAt: epoch}, {Fingerprint: fp, ExpiresAt: epoch.Add(time.Hour)}}}, epoch)
	wantMode(t, m, epoch, quarantine.ModeCanary)
}

// TestMergeIsIndependentOfOrder merges the same records in different orders, groups
// and repetitions.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Record {
			return quarantine.Record{
				Fingerprint: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fp"),
				Level:       rapid.IntRange(1, 7).Draw(t, "level"),
				ExpiresAt:   epoch.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "until")) * time.Second),
			}
		}), 1, 10).Draw(t, "records")
		direct, relayed := quarantine.New(cfg), quarantine.New(cfg)
		direct.Handle(quarantine.RecordsReceived{Records: records}, epoch)
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			via := quarantine.New(cfg)
			via.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{r}}, epoch)
			relayed.Handle(quarantine.RecordsReceived{Records: via.Digest(epoch)}, epoch)
			via.Handle(quarantine.RecordsReceived{Records: relayed.Digest(epoch)}, epoch)
			relayed.Handle(quarantine.RecordsReceived{Records: via.Digest(epoch)}, epoch)
		}
		if a, b := direct.Records(epoch), relayed.Records(epoch); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func TestRecordsAndKnownGoodAreBounded(t *testing.T) {
	small := cfg
	small.MaxRecords, small.MaxDigestRecords, small.MaxKnownGood = 3, 2, 4
	m := quarantine.New(small)
	name := func(i int) string { return string(rune('a' + i)) }
	for i := range 10 {
		m.Handle(quarantine.AttemptEnded{Fingerprint: name(i), Crashed: true}, epoch.Add(time.Duration(i)))
		if i == 0 {
			m.Handle(quarantine.AttemptEnded{Fingerprint: name(i), Crashed: true, Solo: true}, epoch)
		}
	}
	records := m.Records(epoch)
	if len(records) != 3 || records[0].Fingerprint != "a" || records[1].Fingerprint != "j" {
		t.Fatalf("kept %v", records)
	}
	if d := m.Digest(epoch); !slices.Equal(d, records[:2]) {
		t.Fatalf("digest %v", d)
	}
	m = quarantine.New(small)
	for i := range 10 {
		m.Handle(quarantine.AttemptEnded{Fingerprint: name(i)}, epoch)
	}
	good := 0
	for i := range 10 {
		if m.Admit(name(i), shards, canaryAbove, epoch).Mode == quarantine.ModeRun {
			good++
		}
	}
	if good != 4 || m.Admit("j", shards, canaryAbove, epoch).Mode != quarantine.ModeRun {
		t.Fatalf("%d known good", good)
	}
}

// TestFaultyPeerRecordIsBounded merges a level and an expiry that no correct peer sends.
func TestFaultyPeerRecordIsBounded(t *testing.T) {
	m := quarantine.New(cfg)
	far := epoch.Add(200 * 365 * 24 * time.Hour)
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: math.MaxInt - 1, ExpiresAt: far}}}, epoch)
	if got := m.Records(epoch); len(got) != 0 {
		t.Errorf("a level out of range was accepted: %v", got)
	}
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: 2, ExpiresAt: far}}}, epoch)
	wantMode(t, m, epoch, quarantine.ModeRefuse)
	if got := m.Records(epoch); len(got) != 1 || got[0].ExpiresAt.After(epoch.Add(cfg.QuarantineDuration+cfg.SuspectDuration)) {
		t.Errorf("a peer's record expires at %v", got)
	}
}

// TestProbesGetRarer has a suspect crash a leaf in each probe: the quarantines get longer, up to
// the last one, and a success starts anew.
func TestProbesGetRarer(t *testing.T) {
	c := cfg
	c.LaterQuarantines = []time.Duration{time.Hour, 24 * time.Hour}
	c.SuspectDuration = 24 * time.Hour
	m := quarantine.New(c)
	m.Handle(crash(false), epoch)
	now := epoch
	probe := func() quarantine.Record {
		t.Helper()
		r, ok := m.NextProbe(fp, now)
		if !ok {
			t.Fatal("no probe may start")
		}
		m.Handle(quarantine.ProbeStarted{Record: r}, now)
		if _, ok := m.NextProbe(fp, now); ok {
			t.Fatal("a second probe may start beside the first one")
		}
		return r
	}
	for i, want := range []time.Duration{time.Minute, time.Hour, 24 * time.Hour, 24 * time.Hour} {
		r := probe()
		m.Handle(crash(true), now.Add(time.Millisecond))
		if got := r.ExpiresAt.Sub(now); got != want || r.Probes != i+1 {
			t.Fatalf("probe %d: quarantine of %v after %d probes, want %v", i+1, got, r.Probes, want)
		}
		now = r.ExpiresAt.Add(-time.Millisecond)
		wantMode(t, m, now, quarantine.ModeRefuse)
		now = r.ExpiresAt
		wantMode(t, m, now, quarantine.ModeSuspect)
	}
	probe()
	m.Handle(success(), now)
	wantMode(t, m, now, quarantine.ModeRun)
	m.Handle(crash(false), now)
	if r := probe(); r.Probes != 1 {
		t.Errorf("probe %d after a success, want 1", r.Probes)
	}
}

// TestRefusalDuringProbeAsksToReturnSoon refuses a request during a probe, which may clear it,
// and after the probe's usual time.
func TestRefusalDuringProbeAsksToReturnSoon(t *testing.T) {
	m := quarantine.New(cfg)
	m.Handle(crash(false), epoch)
	r, _ := m.NextProbe(fp, epoch)
	m.Handle(quarantine.ProbeStarted{Record: r}, epoch)
	if d := wantMode(t, m, epoch.Add(100*time.Millisecond), quarantine.ModeRefuse); d.RetryAfter > time.Second {
		t.Errorf("retry after %v during the probe", d.RetryAfter)
	}
	if d := wantMode(t, m, epoch.Add(2*time.Second), quarantine.ModeRefuse); d.RetryAfter != 58*time.Second {
		t.Errorf("retry after %v when the probe is over", d.RetryAfter)
	}
}

// TestLoadedQuarantineThatHasPassedLeavesSuspect loads a record from a store after its
// quarantine has passed, and after it has expired altogether.
func TestLoadedQuarantineThatHasPassedLeavesSuspect(t *testing.T) {
	stored := quarantine.Record{Fingerprint: fp, Level: 2, Probes: 1, ExpiresAt: epoch}
	for _, tc := range []struct {
		at   time.Duration
		want quarantine.Mode
	}{{-time.Second, quarantine.ModeRefuse}, {time.Second, quarantine.ModeSuspect}, {cfg.SuspectDuration, quarantine.ModeCanary}} {
		m := quarantine.New(cfg)
		m.Handle(quarantine.RecordsLoaded{Records: []quarantine.Record{stored}}, epoch.Add(tc.at))
		wantMode(t, m, epoch.Add(tc.at), tc.want)
	}
}
