package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// Limits of the tests' instances: small, so that a small crowd exceeds them.
const (
	testMemory      = 96 << 20
	testDescriptors = 500
	// crowdSize is the number of clients of a crowd.
	crowdSize = 600
	// crowdTime is how long a crowd lasts at least.
	crowdTime = 3 * time.Second
)

// limits are what the configuration allows a client.
var limits = hosted.Limits{HeaderBytes: 16_384, BodyBytes: 262_144, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

// hostedSite is one instance with the stand-ins that it needs.
type hostedSite struct {
	*process
	store                   *platform.Server
	leaf                    *rawleaf.Leaf // of the service alone
	clients, ready, metrics string
	peers                   string
	version                 uint64
}

// shards is the number of shards of the route over many.
const shards = 30

// workTime is what leaves take for a request whose path ends in /slow.
const workTime = 500 * time.Millisecond

// longAnswer is the body of the answer to a request whose path ends in /long.
var longAnswer = strings.Repeat("y", 200_000)

// answerByPath answers as the last part of the path says.
func answerByPath(r rawleaf.Seen) rawleaf.Reply {
	switch {
	case strings.HasSuffix(r.Target, "/slow"):
		time.Sleep(workTime)
	case strings.HasSuffix(r.Target, "/long"):
		return rawleaf.Reply{Bytes: hosted.Answer(r, "stamp", longAnswer)}
	}
	return rawleaf.Reply{Bytes: hosted.Answer(r, "stamp-"+r.Header.Get(hosted.HeaderExpect), strings.Repeat("r", 16))}
}

// startSite starts the stand-ins and one instance with the tests' limits, and waits until it
// serves.
func startSite(t *testing.T) *hostedSite {
	t.Helper()
	return startSiteWith(t, testMemory, testDescriptors)
}

// startSiteWith is startSite with other limits.
func startSiteWith(t *testing.T, memory int64, descriptors int) *hostedSite {
	t.Helper()
	s := startUnconfigured(t, memory, descriptors)
	s.configure(t, limits)
	await(t, "the first answer", func() bool { return s.post("/one/") == http.StatusOK })
	return s
}

// startUnconfigured is startSiteWith without a configuration.
func startUnconfigured(t *testing.T, memory int64, descriptors int) *hostedSite {
	t.Helper()
	s := &hostedSite{store: platform.New(platform.Settings{})}
	ip := nextIP()
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.store.Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-served })
	names := []string{"alone", "other"}
	for i := range shards {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	for _, service := range names {
		leaf, err := rawleaf.New(answerByPath)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(leaf.Close)
		if service == "alone" {
			s.leaf = leaf
		}
		hosted.Register(s.store, hosted.Leaf{ID: "leaf-" + service, Service: service, Zone: "a", Address: leaf.Address()})
	}
	addresses, err := hosted.FreeAddresses(ip, 3)
	if err != nil {
		t.Fatal(err)
	}
	s.clients, s.ready, s.peers, s.metrics = addresses[0], addresses[1], addresses[2], ip+":9464"
	file, err := hosted.Settings{
		Name: "front-1", Zone: "a", Clients: s.clients, Ready: s.ready, Peers: s.peers, Store: listener.Addr().String(), Seeds: []string{s.peers},
		Grace: 6 * time.Second, Bound: 3 * time.Second, Ratio: 0.2, Slack: 50, Window: 10 * time.Second, Heartbeat: 1200 * time.Millisecond, First: true,
		MemoryBytes: memory, Descriptors: descriptors,
	}.File()
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = startProcess(t, []string{"hosted"}, []string{hosted.SettingsVariable + "=" + path}, append(addresses, s.metrics))
	return s
}

// longTimeout is the time-out of routes. Crowds state a shorter deadline of their own.
const longTimeout = 30 * time.Second

// configure writes the next version of the configuration.
func (s *hostedSite) configure(t *testing.T, l hosted.Limits) {
	t.Helper()
	s.version++
	list := make([]string, 0, shards)
	for i := range shards {
		list = append(list, fmt.Sprintf("s%d", i))
	}
	route := hosted.Route{Timeout: longTimeout, Objective: 400 * time.Millisecond, Attempts: 2}
	one, other, many := route, route, route
	one.Name, one.Prefix, one.Service = "one", "/one/", "alone"
	other.Name, other.Prefix, other.Service = "other", "/other/", "other"
	many.Name, many.Prefix, many.Shards, many.TopK, many.LeastShare = "many", "/many/", list, 3, 0.5
	if err := hosted.ConfigureLimits(s.store, s.version, l, one, other, many); err != nil {
		t.Fatal(err)
	}
}

// ordinaryBody is the length of an ordinary client's body.
const ordinaryBody = 5000

// post sends an ordinary client's request on a new connection and returns the status of its answer,
// 0 if there is none.
func (s *hostedSite) post(path string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.clients+path, strings.NewReader(strings.Repeat("o", ordinaryBody)))
	if err != nil {
		return 0
	}
	req.Host = hosted.Host
	req.Header.Set(hosted.HeaderRequest, "ordinary")
	req.Header.Set(hosted.HeaderDeadlineMS, "4000")
	return statusOf(req)
}

// requestTimeout bounds an ordinary request.
const requestTimeout = 5 * time.Second

// statusOf sends a request on a new connection and returns the status of its complete answer, 0 if
// there is none.
func statusOf(req *http.Request) int { return statusBy(newClient(), req) }

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// statusBy is statusOf with a client.
func statusBy(client *http.Client, req *http.Request) int {
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// requestFields are the header fields of a request with a deadline.
func requestFields(deadline time.Duration) string {
	return fmt.Sprintf("Host: %s\r\n%s: crowd\r\n%s: %d\r\n", hosted.Host, hosted.HeaderRequest, hosted.HeaderDeadlineMS, deadline.Milliseconds())
}

// target is what a crowd of clients asks for.
func (s *hostedSite) target(path string) Target {
	return Target{
		Address: s.clients, Request: "POST " + path + " HTTP/1.1",
		Fields:    requestFields(4 * time.Second),
		HeadBytes: limits.HeaderBytes - 100, BodyBytes: int(limits.BodyBytes),
	}
}

// isServed reports whether an ordinary request is served. Its service is not that of the crowd,
// which may have more complete requests than its leaf can run.
func (s *hostedSite) isServed() bool { return s.post("/other/") == http.StatusOK }

// besideAndAfter lets a crowd run, and waits for the answer to an ordinary request beside it and
// for another one after it.
func besideAndAfter(t *testing.T, crowd *Crowd, served func() bool) {
	t.Helper()
	time.Sleep(crowdTime)
	await(t, "an ordinary answer beside the crowd", served)
	crowd.Stop()
	await(t, "an ordinary answer after the crowd", served)
}

// TestCrowdOfClients has each kind of client come in a crowd.
func TestCrowdOfClients(t *testing.T) {
	for _, kind := range Kinds {
		t.Run(strings.ReplaceAll(kind.Name, " ", "_"), func(t *testing.T) {
			s := startSite(t)
			path := "/one/"
			switch kind.Name {
			case "whole bodies":
				path = "/one/slow"
			case "answers not read":
				path = "/one/long"
			}
			besideAndAfter(t, Start(kind, s.target(path), crowdSize), s.isServed)
			s.check(testMemory, testDescriptors)
		})
	}
}

// TestCrowdOfQueriesOverShards has whole requests over many shards come in a crowd.
func TestCrowdOfQueriesOverShards(t *testing.T) {
	for _, bodyBytes := range []int{10, int(limits.BodyBytes)} {
		t.Run(fmt.Sprintf("bodies_of_%d", bodyBytes), func(t *testing.T) {
			s := startSite(t)
			target := s.target("/many/slow")
			target.BodyBytes = bodyBytes
			besideAndAfter(t, Start(kindNamed(t, "whole bodies"), target, crowdSize), s.isServed)
			s.check(testMemory, testDescriptors)
		})
	}
}

// TestCrowdOfAllKinds has all kinds of clients come at once.
func TestCrowdOfAllKinds(t *testing.T) {
	s := startSite(t)
	var crowds []*Crowd
	for _, kind := range Kinds {
		crowds = append(crowds, Start(kind, s.target("/one/slow"), crowdSize/len(Kinds)))
	}
	time.Sleep(crowdTime)
	await(t, "an ordinary answer beside the crowds", s.isServed)
	for _, c := range crowds {
		c.Stop()
	}
	await(t, "an ordinary answer after the crowds", s.isServed)
	s.check(testMemory, testDescriptors)
}

// littleMemory is the memory of an instance with less than any site has.
const littleMemory = 64 << 20

// TestCrowdWithLittleMemory has crowds come whose requests fill the memory.
func TestCrowdWithLittleMemory(t *testing.T) {
	for _, name := range []string{
		"heads of small fields just short of their end", "bodies just short of their length", "bodies in chunks of one byte just short of their end", "whole bodies",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := startSiteWith(t, littleMemory, testDescriptors)
			besideAndAfter(t, Start(kindNamed(t, name), s.target("/one/slow"), crowdSize), s.isServed)
			s.check(littleMemory, testDescriptors)
		})
	}
}

// TestCrowdBeforeTheFirstConfiguration has crowds come to an instance without a configuration, which
// then gets one.
func TestCrowdBeforeTheFirstConfiguration(t *testing.T) {
	for _, name := range []string{"heads held open over the limit", "bodies just short of their length", "whole bodies"} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := startUnconfigured(t, testMemory, testDescriptors)
			crowd := Start(kindNamed(t, name), s.target("/one/"), crowdSize)
			await(t, "a refusal without a configuration", func() bool { return s.post("/other/") == http.StatusServiceUnavailable })
			time.Sleep(crowdTime)
			s.configure(t, limits)
			besideAndAfter(t, crowd, s.isServed)
			s.check(testMemory, testDescriptors)
		})
	}
}

// TestCrowdDuringStop has an instance end gracefully beside crowds.
func TestCrowdDuringStop(t *testing.T) {
	for _, name := range []string{"heads held open over the limit", "bodies just short of their length", "bodies in chunks of one byte just short of their end", "silent connections"} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			s := startSite(t)
			crowd := Start(kindNamed(t, name), s.target("/one/"), crowdSize)
			time.Sleep(crowdTime)
			if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			await(t, "the end of the process", func() bool { return !s.isAlive() })
			crowd.Stop()
			s.unwatch()
			if code := s.cmd.ProcessState.ExitCode(); code != 0 || s.memory > testMemory || s.descriptors > testDescriptors {
				t.Errorf("exit code %d, %d MB, %d descriptors:\n%s", code, s.memory>>20, s.descriptors, s.lastLog())
			}
		})
	}
}

// TestCrowdsAtAllListeners has crowds come to all listeners at once.
func TestCrowdsAtAllListeners(t *testing.T) {
	s := startSiteWith(t, littleMemory, testDescriptors)
	kind := kindNamed(t, "bodies just short of their length")
	crowds := []*Crowd{
		Start(kind, s.target("/one/"), crowdSize),
		Start(Kind{Script: func(Target) Script { return peerScripts["messages_held"] }}, Target{Address: s.peers}, crowdSize),
	}
	for at, address := range map[string]string{"ready": s.ready, "metrics": s.metrics} {
		target := Target{Address: address, Request: "GET /" + at + " HTTP/1.1", Fields: "Host: x\r\n", BodyBytes: int(limits.BodyBytes)}
		crowds = append(crowds, Start(kind, target, crowdSize))
	}
	time.Sleep(crowdTime)
	await(t, "an ordinary answer beside the crowds", s.isServed)
	for _, c := range crowds {
		c.Stop()
	}
	await(t, "an ordinary answer after the crowds", s.isServed)
	s.check(littleMemory, testDescriptors)
}

// Limits of an instance of the small sites, and the size of the crowds that come to it.
const (
	fullMemory      = 284 << 20
	fullDescriptors = 4100
	fullCrowdSize   = 5000
)

// TestLargeCrowdOfClients has large crowds come to an instance with the limits of the small sites.
func TestLargeCrowdOfClients(t *testing.T) {
	if os.Getenv("FUCHSIAROAD_LONG") == "" {
		t.Skip("takes minutes: set FUCHSIAROAD_LONG")
	}
	for _, kind := range Kinds {
		t.Run(strings.ReplaceAll(kind.Name, " ", "_"), func(t *testing.T) {
			s := startSiteWith(t, fullMemory, fullDescriptors)
			besideAndAfter(t, Start(kind, s.target("/one/slow"), fullCrowdSize), s.isServed)
			s.check(fullMemory, fullDescriptors)
		})
	}
}

// kindNamed returns the kind of a name.
func kindNamed(t *testing.T, name string) Kind {
	t.Helper()
	for _, k := range Kinds {
		if k.Name == name {
			return k
		}
	}
	t.Fatalf("no kind is named %q", name)
	return Kind{}
}

// otherListeners are the kinds of clients that come to the listeners for other callers.
var otherListeners = []string{
	"heads held open over the limit", "heads without end", "request lines without end", "heads of small fields just short of their end",
	"bodies just short of their length", "silent connections",
}

// TestCrowdAtReadinessAndMetrics has crowds come to the listeners of the load balancer and of the
// metrics.
func TestCrowdAtReadinessAndMetrics(t *testing.T) {
	for _, at := range []string{"ready", "metrics"} {
		for _, name := range otherListeners {
			t.Run(at+"/"+strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
				s := startSite(t)
				address := s.ready
				if at == "metrics" {
					address = s.metrics
				}
				target := Target{Address: address, Request: "GET /" + at + " HTTP/1.1", Fields: "Host: x\r\n", HeadBytes: limits.HeaderBytes, BodyBytes: int(limits.BodyBytes)}
				besideAndAfter(t, Start(kindNamed(t, name), target, crowdSize), func() bool {
					req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+at, nil)
					return err == nil && statusOf(req) == http.StatusOK && s.isServed()
				})
				s.check(testMemory, testDescriptors)
			})
		}
	}
}
