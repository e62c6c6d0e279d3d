package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// program builds the product once.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fuchsiaroad")
	cmd := exec.Command("go", "build", "-o", path, "github.com/fuchsiaroad/fuchsiaroad/cmd/fuchsiaroad")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	return path
}

// soakCase is a soak and why it is played.
type soakCase struct {
	options Options
	cause   string
}

// soaks are played in CI: a short one, and each that ever failed, with its cause.
var soaks = []soakCase{
	{Options{Seed: 1, For: 8 * time.Second, Instances: 3, Clients: 12}, "none: a first short soak"},
	{Options{Seed: 124, For: 8 * time.Second, Instances: 3, Clients: 12}, "a process did not start again: an outgoing connection had its port"},
}

// TestSoak plays the soaks.
func TestSoak(t *testing.T) { playSoaks(t, soaks) }

// TestSoakOfLeavesThatReadLate plays leaves that stand still and then read what was sent to
// them: those were more repeats than the limit allows.
func TestSoakOfLeavesThatReadLate(t *testing.T) {
	playSoaks(t, []soakCase{{
		options: Options{Seed: 101, For: 20 * time.Second, Instances: 8, Clients: 64, Profile: "hedging", Faults: []string{"leaf stall"}},
		cause:   "repeats were charged when they were sent, not when they were read",
	}})
}

// TestSoakOfRequestsThatCrashLeaves sends requests that crash leaves to all instances.
func TestSoakOfRequestsThatCrashLeaves(t *testing.T) {
	playSoaks(t, []soakCase{
		{
			options: Options{Seed: 7, For: 20 * time.Second, Instances: 4, Clients: 8, Faults: []string{"crashing request"}},
			cause:   "each instance ran a suspect alone by its own decision, again after each quarantine",
		},
		{
			options: Options{Seed: 8, For: 15 * time.Second, Instances: 4, Clients: 8, Faults: []string{"crashing request", "leaf crash", "stop", "kill"}},
			cause:   "an instance that started knew no suspects",
		},
	})
}

// TestSoakOfCrowdsOfClients plays clients that never complete their requests, beside kills, stops and
// changes of the configuration.
func TestSoakOfCrowdsOfClients(t *testing.T) {
	playSoaks(t, []soakCase{
		{
			options: Options{Seed: 64, For: 15 * time.Second, Instances: 3, Clients: 12, Profile: "crowded"},
			cause:   "what clients sent and held was bounded nowhere in sum",
		},
	})
}

// TestSoakOfLeavesThatErr plays leaves that answer twice, cut their answers, fail requests, and send
// wrong or endless bytes, beside kills and stops.
func TestSoakOfLeavesThatErr(t *testing.T) {
	playSoaks(t, []soakCase{
		{
			options: Options{Seed: 57, For: 12 * time.Second, Instances: 3, Clients: 12, Profile: "erring"},
			cause:   "late second answers were taken for the next one's, failures for parts, and bytes without an end filled the memory",
		},
		{
			options: Options{Seed: 58, For: 12 * time.Second, Instances: 4, Clients: 16, Profile: "erring", Faults: []string{
				"leaf answers twice", "leaf answers early", "leaf fails requests", "leaf cuts answers", "kill", "stop", "reshard",
			}},
			cause: "none: the same beside kills, stops and other sets of shards",
		},
	})
}

// playSoaks plays soaks, none of which may break a promise.
func playSoaks(t *testing.T, soaks []soakCase) {
	t.Helper()
	binary := program(t)
	for _, s := range soaks {
		o := s.options
		o.Binary, o.Dir, o.Say = binary, t.TempDir(), t.Logf
		report, err := Run(o)
		if err != nil {
			t.Fatalf("seed %d: %v", o.Seed, err)
		}
		if len(report.Violations) > 0 || report.Served == 0 {
			t.Errorf("seed %d (%s):\n%s", o.Seed, s.cause, report.Text())
		}
	}
}

// signedOutcome is the outcome of a request that a leaf has signed.
func signedOutcome(leaf string) outcome {
	o := outcome{request: "q", kind: kindOnce, status: http.StatusOK, header: make(http.Header)}
	o.header.Set(hosted.HeaderSignature, signature("q", "alone", leaf))
	return o
}

// TestFailureIsChecked changes a leaf's failure.
func TestFailureIsChecked(t *testing.T) {
	for _, tc := range []struct {
		name, signature, body string
		status                int
		fault                 string
	}{
		{"good", signature("q", "alone", failureOf("l", 404)), failureBody("q"), 404, ""},
		{"another request", signature("p", "alone", failureOf("l", 404)), failureBody("q"), 404, "not of this request"},
		{"another status", signature("q", "alone", failureOf("l", 404)), failureBody("q"), 403, "the leaf gave 404"},
		{"a success", signature("q", "alone", "l"), failureBody("q"), 404, "the leaf gave 200"},
		{"another body", signature("q", "alone", failureOf("l", 404)), "x", 404, "whole body"},
	} {
		o := outcome{request: "q", status: tc.status, header: make(http.Header), body: tc.body}
		o.header.Set(hosted.HeaderSignature, tc.signature)
		if fault := checkFailure(&o); (fault == "") != (tc.fault == "") || !strings.Contains(fault, tc.fault) {
			t.Errorf("%s: %q, want %q", tc.name, fault, tc.fault)
		}
	}
}

// TestOpenEndlessAnswerIsSeen has one answer without an end that goes on, and one that has ended.
func TestOpenEndlessAnswerIsSeen(t *testing.T) {
	r := &run{site: &site{ledger: &ledger{}}}
	open, ended := &endlessAnswer{begun: time.Now()}, &endlessAnswer{begun: time.Now()}
	r.site.ledger.beginEndless(open)
	r.site.ledger.beginEndless(ended)
	r.site.ledger.endEndless(ended)
	r.checkEndless(time.Now())
	if len(r.violations) != 0 {
		t.Errorf("%d violations before the deadline", len(r.violations))
	}
	r.checkEndless(time.Now().Add(maxClientTime + 2*endlessLimit))
	if len(r.violations) != 1 {
		t.Errorf("%d violations, want 1", len(r.violations))
	}
}

// TestChecksSeeFaults feeds the checks with what must not be.
func TestChecksSeeFaults(t *testing.T) {
	now := time.Now()
	whole := func(sent time.Time, k kind, status int) outcome {
		return outcome{request: "q", kind: k, sent: sent, status: status}
	}
	ran := func(service string, at time.Time) arrival {
		return arrival{at: at, request: "q", path: "/once/x?q", service: service, leaf: "l", ran: true}
	}
	for _, tc := range []struct {
		name     string
		outcome  outcome
		arrivals []arrival
		want     int
	}{
		{"once", whole(now, kindOnce, 200), []arrival{ran("alone", now)}, 0},
		{"twice", whole(now, kindOnce, 200), []arrival{ran("alone", now), ran("alone", now)}, 1},
		{"refused and ran", whole(now, kindOnce, 503), []arrival{ran("alone", now)}, 1},
		{"another service", whole(now, kindOnce, 200), []arrival{ran("s0x1", now)}, 1},
		{"cut by a planned stop", outcome{request: "q", kind: kindOnce, cut: true, planned: true}, []arrival{ran("alone", now)}, 1},
		{"cut by a fault", outcome{request: "q", kind: kindOnce, cut: true}, []arrival{ran("alone", now)}, 0},
		{"signed by a leaf that ran it", signedOutcome("l"), []arrival{ran("alone", now)}, 0},
		{"signed by a leaf that did not run it", signedOutcome("other"), []arrival{ran("alone", now)}, 1},
		{"another target", whole(now, kindOnce, 200), []arrival{{request: "q", path: "/once/y", service: "alone", ran: true}}, 1},
	} {
		r := &run{}
		r.checkRequest(&tc.outcome, tc.arrivals)
		if len(r.violations) != tc.want {
			t.Errorf("%s: %d violations, want %d: %v", tc.name, len(r.violations), tc.want, r.violations)
		}
	}
	var many []arrival
	profile := profiles[defaultProfile]
	for i := range int(profile.slack) + 10 {
		many = append(many, arrival{at: now.Add(time.Duration(i) * time.Millisecond), request: "q", service: "alone"})
	}
	r := &run{site: &site{profile: &profile}}
	r.checkRepeats(many, nil)
	if len(r.violations) != 1 {
		t.Errorf("repeats over the limit: %d violations, want 1", len(r.violations))
	}
}

// TestLateCrashingRequestsAreCounted feeds the check with sendings of a crashing request, late
// and early ones, by instances that are in touch or not.
func TestLateCrashingRequestsAreCounted(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		late    int // sendings in touch
		outside int // late ones by instances that are not in touch
		want    int
	}{{"early only", 0, 0, 0}, {"allowed", maxLateRetries, 0, 0}, {"too many", maxLateRetries + 1, 0, 1}, {"not in touch", maxLateRetries, 5, 0}} {
		path := crashingTarget(kindOne)
		r := &run{site: &site{ledger: &ledger{crashes: map[string][]time.Time{path: {now, now, now, now.Add(time.Minute)}}}}}
		var arrivals []arrival
		var outcomes []outcome
		add := func(at time.Time, inTouch bool) {
			request := fmt.Sprint(len(outcomes))
			arrivals = append(arrivals, arrival{at: at, request: request, path: path}, arrival{at: at, request: request, path: path})
			outcomes = append(outcomes, outcome{request: request, inTouch: inTouch})
		}
		for range 10 {
			add(now.Add(lateAfter), true)
		}
		for range tc.late {
			add(now.Add(lateAfter+time.Millisecond), true)
		}
		for range tc.outside {
			add(now.Add(lateAfter+time.Millisecond), false)
		}
		r.checkCrashing(arrivals, outcomes)
		if len(r.violations) != tc.want {
			t.Errorf("%s: %d violations, want %d: %v", tc.name, len(r.violations), tc.want, r.violations)
		}
	}
}

// TestOldVersionIsSeenInASeriesOfChanges writes versions faster than the bound: one that is in
// force for too long is seen although a newer one was just written.
func TestOldVersionIsSeenInASeriesOfChanges(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	profile := profiles[defaultProfile]
	bound := profile.bound
	for _, tc := range []struct {
		service string
		want    int
	}{{"p1", 1}, {"p2", 0}, {"p3", 0}} {
		r := &run{site: &site{profile: &profile, version: 3, changed: []time.Time{ago(4 * bound), ago(2 * bound), ago(bound / 2)}}}
		r.checkVersion(&instance{}, 0, &outcome{kind: kindProbe, sent: now, end: now}, tc.service)
		if len(r.violations) != tc.want {
			t.Errorf("%s: %d violations, want %d: %v", tc.service, len(r.violations), tc.want, r.violations)
		}
	}
}

// TestCombinedAnswerIsChecked changes a good answer over shards.
func TestCombinedAnswerIsChecked(t *testing.T) {
	r := &run{site: &site{sets: [][]string{{"a", "b", "c"}, {"d", "e"}}}}
	sign := func(service string) string { return signature("q", service, "leaf") }
	good := greatest([]string{records("q", "a"), records("q", "b")})
	both := sign("a") + ", " + sign("b")
	for _, tc := range []struct{ name, signatures, missing, body, fault string }{
		{"good", both, "1", good, ""},
		{"wrong number", both, "0", good, "no set"},
		{"a part twice", sign("a") + "," + sign("a"), "1", good, "two parts"},
		{"two sets", sign("a") + "," + sign("d"), "1", good, "no set"},
		{"another request", sign("a") + "," + signature("p", "b", "leaf"), "1", good, "not of this request"},
		{"a part that failed", sign("a") + "," + signature("q", "b", failureOf("leaf", 403)), "1", good, "failed with 403"},
		{"no number", both, "", good, "no number"},
		{"other records", both, "1", greatest([]string{records("q", "c")}), "not the greatest"},
		{"rising", both, "1", reversed(good), "not the greatest"},
	} {
		o := outcome{request: "q", kind: kindSearch, header: make(http.Header), body: tc.body}
		o.header.Set(hosted.HeaderMissing, tc.missing)
		o.header.Set(hosted.HeaderSignatures, tc.signatures)
		fault := r.checkCombined(&o)
		if (fault == "") != (tc.fault == "") || !strings.Contains(fault, tc.fault) {
			t.Errorf("%s: %q, want %q", tc.name, fault, tc.fault)
		}
	}
}

// reversed turns the order of records round.
func reversed(body string) string {
	var out string
	for i := 0; i < len(body); i += recordSize {
		out = body[i:i+recordSize] + out
	}
	return out
}
