package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/loadgen"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// replicas returns the leaves of the shard that has a leaf.
func replicas(doc *document.Document, id string) []document.Leaf {
	for _, u := range doc.Upstreams {
		for _, s := range u.Shards {
			if slices.ContainsFunc(s.Leaves, func(l document.Leaf) bool { return l.ID == id }) {
				return s.Leaves
			}
		}
	}
	return nil
}

// allowed reports whether the caller with a token may use a service.
func allowed(doc *document.Document, token, service string) bool {
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	return slices.ContainsFunc(doc.Callers, func(c document.Caller) bool {
		return c.TokenSHA256 == hash && slices.Contains(c.Services, service)
	})
}

func TestSitesFitTheirDocuments(t *testing.T) {
	for _, name := range []string{Recife, CapBon} {
		spec, err := specOf(name)
		if err != nil {
			t.Fatal(err)
		}
		doc := spec.document(21000)
		if err := codec.Validate(doc); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n := len(replicas(doc, spec.lost)); n < 2 {
			t.Errorf("%s: the shard of %s has %d leaves", name, spec.lost, n)
		}
		for _, s := range spec.services {
			tokens := s.Tokens
			if len(tokens) == 0 {
				tokens = spec.tokens
			}
			for _, token := range tokens {
				if !allowed(doc, token, s.Name) {
					t.Errorf("%s: a caller of %s may not use it", name, s.Name)
				}
			}
			i := slices.IndexFunc(doc.Services, func(d document.Service) bool { return d.Name == s.Name })
			if i < 0 || doc.Services[i].Idempotent == s.Key {
				t.Errorf("%s: %s is unknown, or its key does not fit", name, s.Name)
			}
		}
		for _, id := range leafIDs(doc) {
			s := spec.leafTemplate(1)
			s.ID, s.Slots = id, 1
			if err := s.Validate(); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
	if _, err := specOf("lisbon"); err == nil {
		t.Error("an unknown site was taken")
	}
}

func TestBrokenPromisesAreNamed(t *testing.T) {
	kept := Outcome{Executions: loadgen.Executions{Keys: 3, MaxPerKey: 1, Refused: 2}}
	if b := kept.Broken(); len(b) != 0 {
		t.Errorf("got %q", b)
	}
	faulty := []loadgen.Report{{Service: "advice", Faults: []loadgen.FaultCount{{Fault: loadgen.FaultMixed, Count: 2}}}, {Service: loadgen.Total}}
	many := []string{"a", "b", "c", "d"}
	for want, o := range map[string]Outcome{
		"4 leaves refused a connection over their limit: a, b, c and others": {OverLimit: many},
		"opening: mixed versions in 2 answers":                               {Phases: []Phase{{Name: "opening", Reports: faulty}}},
		"executed 2 times":                                                   {Executions: loadgen.Executions{MaxPerKey: 2}},
		"1 queries were refused as not run and ran":                          {Executions: loadgen.Executions{RefusedButRan: 1}},
		"1 keys were answered and never ran":                                 {Executions: loadgen.Executions{AnsweredNotRan: 1}},
		"1 leaves refused a connection over their limit: valuation-0-0":      {OverLimit: []string{"valuation-0-0"}},
	} {
		if b := o.Broken(); len(b) != 1 || !strings.Contains(b[0], want) {
			t.Errorf("got %q, want %q", b, want)
		}
	}
}

func TestPlatformCallsAreThoseBetweenTwoCounts(t *testing.T) {
	before := platform.Counts{Calls: []platform.CallCount{{Client: "a", Kind: platform.KindPut, Calls: 3, Limited: 1}}}
	after := platform.Counts{Calls: []platform.CallCount{
		{Client: "a", Kind: platform.KindPut, Calls: 5, Limited: 1}, {Client: "b", Kind: platform.KindWatch, Calls: 7, Limited: 2},
		{Client: "b", Kind: platform.KindDelete, Calls: 1},
	}}
	if got := platformCalls(before, after); got != (PlatformCalls{Reads: 7, Writes: 3, Limited: 2}) {
		t.Errorf("got %+v", got)
	}
}

func TestOrdinaryDayIsValid(t *testing.T) {
	var p platform.Faults
	var l leaf.Faults
	for text, into := range map[string]any{ordinaryPlatform: &p, ordinaryLeaf: &l} {
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(into); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
	if err := errors.Join(p.Validate(), l.Validate()); err != nil {
		t.Error(err)
	}
}

// A failed start must leave no process and say where the logs are.
func TestFailedStartNamesTheLogs(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken")
	if err := os.WriteFile(broken, []byte("#!/bin/sh\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", t.TempDir())
	var log strings.Builder
	_, err := Run(t.Context(), Options{
		Site: Recife, Entries: 1, Fuchsiaroad: broken, Fuchsiactl: broken, Rate: 1, Length: time.Second, Log: &log,
	})
	if err == nil || !strings.Contains(err.Error(), "platform") || !strings.Contains(log.String(), "settings and logs are in") {
		t.Errorf("error %v, log %q", err, log.String())
	}
}

func TestWaitEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if wait(ctx, time.Hour) {
		t.Error("waited although the context had ended")
	}
	d := &demo{options: Options{Log: io.Discard}}
	if err := d.loseReplica(ctx, time.Hour); err == nil {
		t.Error("went on although the context had ended")
	}
}
