package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
	"github.com/fuchsiaroad/fuchsiaroad/standin/rawleaf"
)

// linkBytesPerSecond is the bandwidth of a link, 1,000 Mbit/s.
const linkBytesPerSecond = 125_000_000

// garbler is a leaf behind a listener of its own, which hands out wrong bytes for some answers: the
// leaf's records without a head, on and on, until the connection ends.
type garbler struct {
	leaf     *leaf
	listener net.Listener
	share    atomic.Uint64 // of the answers, in millionths
}

// newGarbler puts a leaf behind a listener and registers it with that address.
func (s *site) newGarbler(l *leaf) (*garbler, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &garbler{leaf: l, listener: listener}
	l.address = listener.Addr().String()
	hosted.Register(s.store, l.entry(1))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	return g, nil
}

// serve answers the requests of one connection.
func (g *garbler) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		reply := g.leaf.answer(rawleaf.Seen{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header, Body: body})
		if rand.Uint64N(1_000_000) < g.share.Load() && bytes.HasPrefix(reply.Bytes, []byte("HTTP/1.1 200")) {
			g.leaf.site.seen.markGarbled(r.Header.Get(hosted.HeaderRequest))
			ms, _ := strconv.Atoi(r.Header.Get(hosted.HeaderDeadlineMS)) // a leaf has answered 200, so it is a number
			g.flood(conn, r.Header.Get(hosted.HeaderRequest), time.Duration(ms)*time.Millisecond)
			return
		}
		if _, err := conn.Write(reply.Bytes); err != nil {
			return
		}
	}
}

// flood sends records at the speed of the link until the deadline has passed or the other side ends
// the connection.
func (g *garbler) flood(conn net.Conn, request string, deadline time.Duration) {
	chunk := bytes.Repeat(g.leaf.records(request)[:960], 130)
	start, sent := time.Now(), 0
	for time.Since(start) < deadline {
		n, err := conn.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / linkBytesPerSecond * float64(time.Second)))))
	}
	g.leaf.site.record.add("leaf %s of %s sent %d bytes that are no response to %s in %v", g.leaf.id, g.leaf.service, sent, request, time.Since(start).Round(time.Millisecond))
}

// memoryLimit is memory-mb of the settings, in bytes.
const memoryLimit = 284 << 20

// watchMemory kills a process that exceeds its memory, as the platform does, and starts it again
// after a short delay.
func (n *instance) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		n.mu.Lock()
		cmd, done := n.cmd, n.done
		n.mu.Unlock()
		resident := residentBytes(cmd.Process.Pid)
		n.mu.Lock()
		n.peak = max(n.peak, resident)
		n.mu.Unlock()
		if resident <= memoryLimit {
			continue
		}
		n.site.record.add("platform: %s has %d bytes of memory, its limit is %d: it is killed", n.name, resident, memoryLimit)
		_ = cmd.Process.Kill()
		<-done
		n.mu.Lock()
		n.overMemory++
		n.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if err := n.start(false); err != nil {
			n.site.record.add("%v", err)
			return
		}
	}
}

// residentBytes returns the resident memory of a process that the rig started.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Doses of garble: the usual ones of the bench.
const (
	garbleLeafShare   = 0.5
	garbleAnswerShare = 0.02
	garbleTime        = 5 * time.Second
	garblePause       = 2 * time.Second
	garbleRounds      = 13
	// lostAllowed is how many requests the rule LOST lets one machine cut off.
	lostAllowed = 3
)

// receiptTimes are those of intake-receipt at a leaf of capbon-press.
var receiptTimes = workTimes{mean: 90, spread: 0.5, maxMS: 540}

// intakeReceipt is the kind of request intake-receipt.
var intakeReceipt = kind{method: http.MethodPost, prefix: "/receipt/", deadline: 4 * time.Second, bodyBytes: 300, onceOnly: true}

// addGarblers starts the leaves of the receipts' service.
func (s *site) addGarblers() ([]*garbler, error) {
	var out []*garbler
	for i, zone := range []string{"hall-a", "hall-a", "hall-b", "hall-b", "hall-c"} {
		l, err := s.addLeaf(fmt.Sprintf("i-%02dr", i), "portal", zone, 3, 6000, 1, receiptTimes)
		if err != nil {
			return nil, err
		}
		g, err := s.newGarbler(l)
		if err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	return out, nil
}

// playFlood lets some leaves of one service hand out wrong bytes for a small part of their answers,
// and checks that no request to a sound leaf is cut off.
func playFlood(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	garblers, err := s.addGarblers()
	if err != nil {
		return nil, err
	}
	for _, g := range garblers {
		defer g.listener.Close()
	}
	shards, err := s.addShards(20, [2]string{"hall-a", "hall-b"})
	if err != nil {
		return nil, err
	}
	err = hosted.Configure(s.store, 7, hosted.Route{
		Name: "r-receipt", Prefix: intakeReceipt.prefix, Once: true, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond, Attempts: 2, Service: "portal",
	}, hosted.Route{
		Name: "r-recall", Prefix: lotRecall.prefix, Timeout: time.Second, Objective: 100 * time.Millisecond, Attempts: 2, Shards: shards, TopK: topRecords, LeastShare: 0.89,
	})
	if err != nil {
		return nil, err
	}
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		if _, err := s.addInstance(fmt.Sprintf("front-%s-%d", zone, i), zone, 0.4); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	for _, n := range s.instances {
		go n.watchMemory(ctx)
	}
	time.Sleep(leadTime)
	traffic, stop := context.WithTimeout(ctx, contactTime+garbleRounds*(garbleTime+garblePause))
	defer stop()
	var all sync.WaitGroup
	var groups []*clients
	for _, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		queries := &clients{site: s, zone: zone, kind: lotRecall, interval: 580 * time.Millisecond, name: zone + "-q"}
		receipts := &clients{site: s, zone: zone, kind: intakeReceipt, interval: 800 * time.Millisecond, name: zone + "-r"}
		groups = append(groups, queries, receipts)
		all.Go(func() { queries.run(traffic, 18) })
		all.Go(func() { receipts.run(traffic, 6) })
	}
	time.Sleep(contactTime)
	for range garbleRounds {
		if trouble {
			garble(garblers)
		} else {
			time.Sleep(garbleTime)
		}
		time.Sleep(garblePause)
	}
	all.Wait()
	cancel()
	served := 0
	lost := make(map[*instance][]string)
	total := 0
	for _, c := range groups {
		for _, o := range c.outcomes {
			if o.status == http.StatusOK {
				served++
			}
			if b := s.checkKeptLost(o); b != "" {
				lost[o.instance] = append(lost[o.instance], b)
				total++
			}
		}
	}
	for _, n := range s.instances {
		n.mu.Lock()
		s.record.add("%s: at most %d bytes of memory, ended %d times over its limit; cut off on kept connections, at sound leaves: %d", n.name, n.peak, n.overMemory, len(lost[n]))
		n.mu.Unlock()
	}
	s.record.add("served: %d; cut off on kept connections, at sound leaves: %d", served, total)
	if served < 500 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	var breaches []string
	for _, n := range s.instances {
		if len(lost[n]) > lostAllowed {
			breaches = append(breaches, lost[n]...)
		}
	}
	return breaches, nil
}

// garble lets a part of the leaves hand out wrong bytes for a while.
func garble(garblers []*garbler) {
	for _, i := range rand.Perm(len(garblers))[:int(garbleLeafShare*float64(len(garblers)))] {
		g := garblers[i]
		g.share.Store(garbleAnswerShare * 1_000_000)
		g.leaf.site.record.add("leaf %s of %s begins to hand out wrong bytes", g.leaf.id, g.leaf.service)
	}
	time.Sleep(garbleTime)
	for _, g := range garblers {
		g.share.Store(0)
	}
	garblers[0].leaf.site.record.add("all leaves are sound again")
}

// checkKeptLost checks one attempt by the rule LOST of kept connections: it was passed on to sound
// leaves only, and its connection ended without an answer.
func (s *site) checkKeptLost(o outcome) string {
	runs := s.seen.runsOf(o.request)
	if !o.cut || !o.kept || len(runs) == 0 {
		return ""
	}
	for _, r := range runs {
		if r.garbled {
			return ""
		}
	}
	return fmt.Sprintf("%s at %s: cut off after %v without an answer, passed on to %d sound leaves", o.request, o.instance.name, o.end.Sub(o.sent).Round(time.Millisecond), len(runs))
}
