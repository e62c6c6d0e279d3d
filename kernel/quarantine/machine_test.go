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
	fp     = "f00d"
	shards = 8
	above  = 4
)

func crash(solo bool) quarantine.AttemptEnded {
	return quarantine.AttemptEnded{Fingerprint: fp, Leaf: "l", Crashed: true, Solo: solo}
}

func success() quarantine.AttemptEnded { return quarantine.AttemptEnded{Fingerprint: fp, Leaf: "l"} }

// wantMode fails unless the fingerprint would run in a mode.
func wantMode(t *testing.T, m *quarantine.Machine, now time.Time, want quarantine.Mode) quarantine.Decision {
	t.Helper()
	d := m.Admit(fp, shards, above, now)
	if d.Mode != want {
		t.Fatalf("mode %d, want %d", d.Mode, want)
	}
	return d
}

func TestCanaryRule(t *testing.T) {
	m := quarantine.New(cfg)
	wantMode(t, m, epoch, quarantine.ModeCanary)
	for _, c := range []struct{ shards, above int }{{above, above}, {shards, 0}} {
		if d := m.Admit(fp, c.shards, c.above, epoch); d.Mode != quarantine.ModeRun {
			t.Fatalf("%d shards with the canary above %d: mode %d", c.shards, c.above, d.Mode)
		}
	}
	m.Handle(success(), epoch)
	wantMode(t, m, epoch, quarantine.ModeRun)
}

func TestTwoBreaksQuarantineForATime(t *testing.T) {
	m := quarantine.New(cfg)
	m.Handle(success(), epoch)
	m.Handle(crash(false), epoch)
	wantMode(t, m, epoch, quarantine.ModeSuspect)
	m.Handle(crash(false), epoch) // the same break, seen by another attempt
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

func TestSuccessClearsANeighbour(t *testing.T) {
	here, there := quarantine.New(cfg), quarantine.New(cfg)
	here.Handle(crash(false), epoch)
	there.Handle(quarantine.RecordsReceived{Records: here.Digest(epoch)}, epoch)
	wantMode(t, there, epoch, quarantine.ModeSuspect)
	actions := here.Handle(success(), epoch)
	if len(actions) != 2 {
		t.Fatalf("actions %v", actions)
	}
	announced := actions[0].(quarantine.Announce).Record
	wantMode(t, here, epoch, quarantine.ModeRun)
	here.Handle(quarantine.RecordsReceived{Records: there.Digest(epoch)}, epoch)
	wantMode(t, here, epoch, quarantine.ModeRun)
	changed := there.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{announced}}, epoch)
	if len(changed) != 2 || changed[0].(quarantine.Announce).Record != announced || changed[1].(quarantine.PhaseChanged).Phase != quarantine.PhaseClear {
		t.Fatalf("actions %v", changed)
	}
	if again := there.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{announced}}, epoch); len(again) != 0 {
		t.Fatalf("old news is passed on: %v", again)
	}
	wantMode(t, there, epoch, quarantine.ModeRun)
}

func TestLiftedStaysLifted(t *testing.T) {
	here, there := quarantine.New(cfg), quarantine.New(cfg)
	here.Handle(crash(false), epoch)
	here.Handle(crash(true), epoch)
	there.Handle(quarantine.RecordsReceived{Records: here.Digest(epoch)}, epoch)
	here.Handle(quarantine.Lifted{Fingerprint: fp}, epoch)
	here.Handle(quarantine.RecordsReceived{Records: there.Digest(epoch)}, epoch)
	wantMode(t, here, epoch, quarantine.ModeRun)
}

func TestExpiredRecordsAreNotMerged(t *testing.T) {
	m := quarantine.New(cfg)
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: 2, ExpiresAt: epoch}, {Fingerprint: fp, ExpiresAt: epoch.Add(time.Hour)}}}, epoch)
	wantMode(t, m, epoch, quarantine.ModeCanary)
}

// TestMergeIsASemilattice merges records in any order, grouping and number.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Record {
			return quarantine.Record{
				Fingerprint: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fp"),
				Level:       rapid.IntRange(1, 7).Draw(t, "level"),
				ExpiresAt:   epoch.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "until")) * time.Second),
			}
		}), 1, 10).Draw(t, "records")
		one, other := quarantine.New(cfg), quarantine.New(cfg)
		one.Handle(quarantine.RecordsReceived{Records: records}, epoch)
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			via := quarantine.New(cfg)
			via.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{r}}, epoch)
			other.Handle(quarantine.RecordsReceived{Records: via.Digest(epoch)}, epoch)
			via.Handle(quarantine.RecordsReceived{Records: other.Digest(epoch)}, epoch)
			other.Handle(quarantine.RecordsReceived{Records: via.Digest(epoch)}, epoch)
		}
		if a, b := one.Records(epoch), other.Records(epoch); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

func TestBounds(t *testing.T) {
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
		if m.Admit(name(i), shards, above, epoch).Mode == quarantine.ModeRun {
			good++
		}
	}
	if good != 4 || m.Admit("j", shards, above, epoch).Mode != quarantine.ModeRun {
		t.Fatalf("%d known good", good)
	}
}

// TestAFaultyPeerIsBounded merges a level and a time that no honest peer has.
func TestAFaultyPeerIsBounded(t *testing.T) {
	m := quarantine.New(cfg)
	far := epoch.Add(200 * 365 * 24 * time.Hour)
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: math.MaxInt - 1, ExpiresAt: far}}}, epoch)
	if got := m.Records(epoch); len(got) != 0 {
		t.Errorf("a level beyond reason was taken: %v", got)
	}
	m.Handle(quarantine.RecordsReceived{Records: []quarantine.Record{{Fingerprint: fp, Level: 2, ExpiresAt: far}}}, epoch)
	wantMode(t, m, epoch, quarantine.ModeRefuse)
	if got := m.Records(epoch); len(got) != 1 || got[0].ExpiresAt.After(epoch.Add(cfg.QuarantineDuration+cfg.SuspectDuration)) {
		t.Errorf("a peer's record lasts until %v", got)
	}
}
