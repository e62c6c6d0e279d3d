package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// searchTimes are those of lot-recall at a leaf of capbon-press.
var searchTimes = workTimes{mean: 11, spread: 0.35, tailShare: 0.01, tailFactor: 5, maxMS: 82, pause: 120 * time.Millisecond, pauseEvery: 3 * time.Second}

// lotRecall is the kind of request lot-recall.
var lotRecall = kind{method: http.MethodGet, prefix: "/recall/", deadline: time.Second}

// dossieAmplo is the kind of request dossie-amplo of cmch-recife-large, whose work is that of lotRecall.
var dossieAmplo = kind{method: http.MethodGet, prefix: "/dossie/", deadline: 600 * time.Millisecond}

// topRecords is the number of records of an answer to either.
const topRecords = 50

// addShards starts two leaves, in two zones, for each of n shards, and returns the shards' names.
func (s *site) addShards(n int, zones [2]string) ([]string, error) {
	speeds := []float64{0.8, 1.0, 1.3}
	var names []string
	for i := range n {
		name := fmt.Sprintf("lots%02d", i)
		names = append(names, name)
		for k, zone := range zones {
			if _, err := s.addLeaf(fmt.Sprintf("i-%02d%c", i, 'a'+k), name, zone, 2, 1000, speeds[(2*i+k)%3], searchTimes); err != nil {
				return nil, err
			}
		}
	}
	return names, nil
}

// startAll starts all instances and their readiness checks, and waits until they are ready.
func (s *site) startAll(ctx context.Context) error {
	for _, n := range s.instances {
		if err := n.start(true); err != nil {
			return err
		}
		go n.checkReady(ctx)
	}
	go s.beat(ctx)
	return s.awaitReady(20 * time.Second)
}

// leadTime is the time between the start of the machines and that of the traffic.
const leadTime = 10 * time.Second

// Doses of srv_grey at capbon-press.
const (
	greyLeafShare = 0.14
	greyFailShare = 0.45
	greyTime      = 6500 * time.Millisecond
)

// playFailedPart lets some leaves of a query's shards fail part of their requests with a status
// of 4xx, and checks that no failure counts as a part of a success.
func playFailedPart(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	shards, err := s.addShards(20, [2]string{"hall-a", "hall-b"})
	if err != nil {
		return nil, err
	}
	err = hosted.Configure(s.store, 7, hosted.Route{
		Name: "r-recall", Prefix: lotRecall.prefix, Timeout: time.Second, Objective: 100 * time.Millisecond, Attempts: 2, Shards: shards, TopK: topRecords, LeastShare: 0.89,
	})
	if err != nil {
		return nil, err
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i, zone := range zones {
		if _, err := s.addInstance(fmt.Sprintf("front-%s-%d", zone, i), zone, 0.4); err != nil {
			return nil, err
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	traffic, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	var all sync.WaitGroup
	var groups []*clients
	for _, zone := range zones {
		c := &clients{site: s, zone: zone, kind: lotRecall, interval: 600 * time.Millisecond, name: zone}
		groups = append(groups, c)
		all.Go(func() { c.run(traffic, 14) })
	}
	if trouble {
		time.Sleep(3 * time.Second)
		grey := int(greyLeafShare * float64(len(s.leaves)))
		for i := range grey {
			l := s.leaves[i*len(s.leaves)/grey]
			l.setFailing(greyFailShare, http.StatusForbidden, http.StatusNotFound, http.StatusConflict, http.StatusGone)
			s.record.add("leaf %s of %s begins to fail part of its requests", l.id, l.service)
		}
		time.Sleep(greyTime)
		for _, l := range s.leaves {
			l.setFailing(0)
		}
		s.record.add("all leaves are sound again")
	}
	all.Wait()
	var breaches []string
	successes := 0
	for _, c := range groups {
		for _, o := range c.outcomes {
			if o.status >= 200 && o.status < 300 {
				successes++
				breaches = append(breaches, checkCombined(s.seen, o, len(shards))...)
			}
		}
	}
	s.record.add("successes: %d", successes)
	if successes < 100 {
		return nil, fmt.Errorf("only %d requests were served", successes)
	}
	return breaches, nil
}

// checkCombined checks a success over all shards by the rule MIXED.
func checkCombined(seen *ledger, o outcome, shards int) (breaches []string) {
	var bodies [][]byte
	services := make(map[string]bool)
	for _, list := range o.header.Values(hosted.HeaderSignatures) {
		for stamp := range strings.SplitSeq(list, ",") {
			stamp = strings.TrimSpace(stamp)
			e, ok := seen.stamped(stamp)
			switch {
			case !ok || e.request != o.request:
				breaches = append(breaches, fmt.Sprintf("%s: stamp %q is of no answer to this request", o.request, stamp))
				continue
			case e.status != http.StatusOK:
				breaches = append(breaches, fmt.Sprintf("%s: status %d with stamp %s, with which leaf %s of %s had answered %d", o.request, o.status, stamp, e.leaf, e.service, e.status))
				services[e.service] = true
				continue
			case services[e.service]:
				breaches = append(breaches, fmt.Sprintf("%s: two stamps of %s", o.request, e.service))
			}
			services[e.service] = true
			bodies = append(bodies, e.body)
		}
	}
	var missing int
	_, _ = fmt.Sscan(o.header.Get(hosted.HeaderMissing), &missing)
	if len(services)+missing != shards {
		breaches = append(breaches, fmt.Sprintf("%s: %d parts and %d missing of %d", o.request, len(services), missing, shards))
	}
	if !bytes.Equal(o.body, greatest(bodies, topRecords)) {
		breaches = append(breaches, fmt.Sprintf("%s: the body is not the greatest records of the good parts, it begins with %.32q", o.request, o.body))
	}
	return breaches
}

// Doses and times of the rolling restart.
const (
	rollTime = 90 * time.Second
	// rollPause is the time between the end of a zone's rolling restart and the next one.
	rollPause = 500 * time.Millisecond
	// strongShare and weakShare are the greatest and the least share of a core at cmch-recife-large.
	strongShare = 0.8
	weakShare   = 0.192
	// relayShards is the number of shards of cmch-recife-large.
	relayShards = 87
)

// playRelayCut restarts the weaker instances of each zone in turn, again and again, and checks that no
// request is cut off that an instance has read and passed on.
func playRelayCut(s *site, trouble bool) ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	zones := [2]string{"boa-vista", "afogados"}
	shards, err := s.addShards(relayShards, zones)
	if err != nil {
		return nil, err
	}
	err = hosted.Configure(s.store, 7, hosted.Route{
		Name: "r-dossie", Prefix: dossieAmplo.prefix, Timeout: dossieAmplo.deadline, Objective: 100 * time.Millisecond, Attempts: 2, Shards: shards, TopK: topRecords, LeastShare: 0.95,
	})
	if err != nil {
		return nil, err
	}
	for _, zone := range zones {
		for i, share := range []float64{strongShare, weakShare, weakShare} {
			if _, err := s.addInstance(fmt.Sprintf("front-%s-%d", zone, i), zone, share); err != nil {
				return nil, err
			}
		}
	}
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	traffic, stop := context.WithTimeout(ctx, rollTime+3*time.Second)
	defer stop()
	var groups []*clients
	var all sync.WaitGroup
	for _, zone := range zones {
		c := &clients{site: s, zone: zone, kind: dossieAmplo, interval: 580 * time.Millisecond, name: zone, keepEvery: 4}
		groups = append(groups, c)
		all.Go(func() { c.run(traffic, 24) })
	}
	time.Sleep(contactTime)
	if trouble {
		end := time.Now().Add(rollTime - contactTime)
		for _, zone := range zones {
			all.Go(func() { s.rollZone(zone, end) })
		}
	}
	all.Wait()
	attempts, served := 0, 0
	var breaches []string
	for _, c := range groups {
		for _, o := range c.outcomes {
			attempts++
			if o.status >= 200 && o.status < 300 {
				served++
			}
			if b := checkLost(s.seen, o); b != "" {
				breaches = append(breaches, b)
			}
		}
	}
	s.record.add("attempts: %d, served: %d", attempts, served)
	if served < 500 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return breaches, nil
}

// rollZone restarts the two weaker instances of a zone at a time, until a next restart would not end
// in time. The strong one stays, so that the zone always has one in rotation.
func (s *site) rollZone(zone string, end time.Time) {
	for time.Until(end) > gracePeriod {
		var roll sync.WaitGroup
		for _, n := range s.instances {
			if n.zone != zone || n.share == strongShare {
				continue
			}
			roll.Go(func() {
				n.term()
				if err := n.start(false); err != nil {
					s.record.add("%v", err)
				}
			})
		}
		roll.Wait()
		time.Sleep(rollPause)
	}
}

// checkLost checks one attempt by the rule LOST around the SIGTERM of the machine that took it.
func checkLost(seen *ledger, o outcome) string {
	term, planned := o.instance.termBefore(o.sent)
	if !planned {
		term, planned = o.instance.termBefore(o.end)
	}
	if !planned || !o.cut {
		return ""
	}
	took := o.end.Sub(o.sent)
	if took >= dossieAmplo.deadline {
		return ""
	}
	if at := o.end.Sub(term); at >= gracePeriod*5/6 && o.sent.Sub(term) <= 3*time.Second {
		return "" // a leaf may have been at work in the last sixth of the grace period
	}
	runs := seen.runsOf(o.request)
	passed := len(runs) > 0 && runs[0].at.Before(o.end)
	if !passed && took <= lossSlack {
		return ""
	}
	return fmt.Sprintf("%s at %s: sent %.3f s after SIGTERM, cut off %v later without a complete answer; leaves had begun to run it: %d",
		o.request, o.instance.name, o.sent.Sub(term).Seconds(), took.Round(time.Millisecond), len(runs))
}
