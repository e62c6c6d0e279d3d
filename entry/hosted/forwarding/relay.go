package forwarding

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/executor"
	"github.com/fuchsiaroad/fuchsiaroad/entry/gateway"
	"github.com/fuchsiaroad/fuchsiaroad/entry/leafclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/peer"
	"github.com/fuchsiaroad/fuchsiaroad/entry/telemetry"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/fleet"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/margin"
)

const (
	// acceptWithin is how long the other instance may take to accept. It is in the
	// same zone and takes far less than a millisecond unless it is gone or busy.
	acceptWithin = 15 * time.Millisecond
	// leastFirstDelay is kept for handing a request over and its answer back, before that
	// has been measured, on an instance with a whole core.
	leastFirstDelay = 5 * time.Millisecond
	// forwardWork is the processor time that it takes on a whole core: an instance with a
	// small share of one takes longer, and the first answers after its start would be late.
	forwardWork = 2400 * time.Microsecond
	// crossZone is what a hand-over to another zone takes more.
	crossZone = 3 * time.Millisecond
	// mostForwardDelay bounds what is kept: a hand-over during which an instance stood still
	// says nothing of the next, which must have its time to run.
	mostForwardDelay = 30 * time.Millisecond
	// relayPart is the prefix of lines about requests that are handed over.
	relayPart = "relay"
)

// Relay implements gateway.Relay: an instance with little processor hands a query
// over many shards to a stronger one of its zone. Whatever goes wrong before that
// one has accepted, this instance runs the request itself.
func (f *Forwarder) Relay(ctx context.Context, r *executor.Request) *gateway.Reply {
	if !fleet.ShouldForward(r.Service.Shards) || !r.Service.Config.Idempotent {
		return nil
	}
	began := time.Now()
	for _, to := range candidates(f.config.Fleet.Stronger(began)) {
		now := time.Now()
		reply, err := f.handOver(ctx, to, r, now)
		f.logRelay(ctx, r, to, err, time.Since(now))
		if err == nil {
			f.config.Fleet.Answered(to)
			return f.relayed(r, reply, now)
		}
		if ctx.Err() == nil && blames(err) && time.Now().Before(r.Deadline) {
			f.config.Fleet.Failed(to, now)
		}
		if took(err) {
			return lostReply(r.Deadline)
		}
		if silent(err) {
			break // the time that hand-overs may cost is spent
		}
	}
	return nil
}

// mostOffers is the number of instances that are offered one request or group: while
// instances stop in turn and versions come, some decline at once, and the one that asks
// may have no connections for it.
const mostOffers = 3

// candidates are the instances to offer to, in a random order.
func candidates(list []fleet.Instance) []fleet.Instance {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), mostOffers)]
}

// relayed is the answer that another instance gave to a request handed over at a time.
func (f *Forwarder) relayed(r *executor.Request, reply *peerapi.ForwardReply, handed time.Time) *gateway.Reply {
	if reply.Version > r.View.Generation {
		f.config.SyncNow()
	}
	return &gateway.Reply{
		Status: reply.Status, Header: reply.Header, Body: reply.Body,
		Written: func(at time.Time) {
			f.forwardDelays.observe(at.Sub(handed) - time.Duration(reply.RunUS)*time.Microsecond)
		},
	}
}

// handOver offers a request to another instance and has it run there.
func (f *Forwarder) handOver(ctx context.Context, to fleet.Instance, r *executor.Request, now time.Time) (*peerapi.ForwardReply, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return f.config.Peers.Forward(ctx, targetOf(to), f.forwardRequest(r, now, f.forwardDelays.high()), peer.Acceptance{Within: acceptWithin})
}

// forwardRequest is a request as it is handed over now, and reaches the other instance after a delay.
func (f *Forwarder) forwardRequest(r *executor.Request, now time.Time, delay time.Duration) *peerapi.ForwardRequest {
	p := r.Passed
	return &peerapi.ForwardRequest{
		Version: r.View.Generation, Request: p.ID, Method: p.Method, Target: p.Target, Host: p.Host, Header: p.Header, Body: p.Body,
		ElapsedUS: (now.Sub(r.Start) + delay).Microseconds(), RemainingUS: (r.Deadline.Sub(now) - delay).Microseconds(),
		ClientNetworkUS: r.Way.Microseconds(),
	}
}

// took reports whether the other instance had taken the request over.
func took(err error) bool {
	var notAccepted *peer.NotAcceptedError
	return !errors.As(err, &notAccepted)
}

// silent reports whether the other instance did not answer in time.
func silent(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// blames reports whether an error shows that the other instance is not well. One
// that declines is.
func blames(err error) bool {
	var declined *peer.DeclinedError
	return !errors.As(err, &declined)
}

// logRelay tells what came of handing a request over.
func (f *Forwarder) logRelay(ctx context.Context, r *executor.Request, to fleet.Instance, err error, spent time.Duration) {
	d := telemetry.Decision{
		Part: relayPart, What: "handed over", Request: r.Passed.ID, Took: spent,
		More: []any{"to", to.Name, "config", r.View.Generation, "way", r.Way, "forward_delay", f.forwardDelays.high()}, Class: telemetry.Outcome,
	}
	if err != nil {
		d.Why = err.Error()
		d.What, d.Class = handedOverEnd(ctx, err)
	}
	f.config.Log.Decide(d)
}

// handedOverEnd says what an error of a hand-over means. A client that has left ends it
// too, which says nothing of the other instance: its lines hid those of instances that
// were lost.
func handedOverEnd(ctx context.Context, err error) (what string, class telemetry.Class) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return "ended with its client", telemetry.Outcome
	case took(err):
		return "lost where it was handed over", telemetry.Failure
	default:
		return "not handed over", telemetry.Failure
	}
}

// lostReply answers a request of which the other instance was lost: it may have
// run, and neither status says otherwise.
func lostReply(deadline time.Time) *gateway.Reply {
	status := http.StatusBadGateway
	if !time.Now().Before(deadline) {
		status = http.StatusGatewayTimeout
	}
	return &gateway.Reply{Status: status, Header: make(http.Header), Body: []byte("the instance that ran the request was lost\n")}
}

// Offer implements peer.ForwardHandler. A request is declined where this instance takes none
// from clients any more, or knows only an older configuration than the one by which it came in.
// One that leaves still takes requests: all stronger ones of a zone may leave at once, for as
// long as the balancer takes to let go.
func (f *Forwarder) Offer(_ string, r *peerapi.ForwardRequest) string {
	v := f.config.Views.View()
	switch {
	case v == nil || f.config.Lifecycle.Refusing():
		return "not serving"
	case r.Gather != nil:
		return f.offerGather(v, r)
	case v.Generation < r.Version:
		f.config.SyncNow()
		return "older configuration"
	case !gateway.Routed(v, r.Host, r.Target):
		return "no route"
	}
	return ""
}

// RunOffered implements peer.ForwardHandler.
func (f *Forwarder) RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (*peerapi.ForwardReply, peer.Rest) {
	v := f.config.Views.View()
	now := time.Now()
	handed := gateway.Handed{
		Passed: &leafclient.Passed{ID: r.Request, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body},
		Start:  now.Add(-time.Duration(r.ElapsedUS) * time.Microsecond), Deadline: now.Add(time.Duration(r.RemainingUS) * time.Microsecond),
		Way: time.Duration(r.ClientNetworkUS) * time.Microsecond,
	}
	if r.Gather != nil {
		return f.runGather(ctx, v, r, handed)
	}
	reply := f.gateway.Run(ctx, v, handed)
	return &peerapi.ForwardReply{
		Version: v.Generation, Status: reply.Status, Header: reply.Header, Body: reply.Body, RunUS: time.Since(now).Microseconds(),
	}, nil
}

// delayEstimate guards by a lock what is known of the time that a hand-over takes beside
// the run itself: the two calls and the writing of the answer, which on a fifth of
// a core takes longer than the way.
type delayEstimate struct {
	first    time.Duration // assumed before anything was observed
	mu       sync.Mutex
	estimate margin.DelayEstimator
}

// firstDelay is what is assumed of a hand-over by an instance with a share of a core.
func firstDelay(power float64) time.Duration {
	if power <= 0 {
		return leastFirstDelay
	}
	return min(max(leastFirstDelay, time.Duration(float64(forwardWork)/power)), mostForwardDelay)
}

// observe takes one hand-over's time.
func (h *delayEstimate) observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.estimate.Observe(min(d, mostForwardDelay))
}

// high is what most hand-overs do not exceed.
func (h *delayEstimate) high() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(h.estimate.UpperBound(h.first), mostForwardDelay)
}
