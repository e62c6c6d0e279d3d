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
	// acceptTimeout is how long an instance of the same zone may take to accept a request.
	// It takes far less than a millisecond unless it is gone or busy.
	acceptTimeout = 15 * time.Millisecond
	// minInitialDelay is the delay that an instance with a whole core allows for forwarding a
	// request and returning its answer, before it has measured any.
	minInitialDelay = 5 * time.Millisecond
	// forwardCPUTime is the processor time of forwarding one request, that is, its duration on
	// a whole core. An instance with a small share of a core takes longer, and without an
	// allowance for that the first answers after its start would be late.
	forwardCPUTime = 2400 * time.Microsecond
	// crossZoneDelay is the additional delay of forwarding to another zone.
	crossZoneDelay = 3 * time.Millisecond
	// maxForwardDelay limits the estimated delay. A request during which an instance was
	// stalled says nothing about the next one, which needs the time for its run.
	maxForwardDelay = 30 * time.Millisecond
	// relayLogPrefix is the prefix of log lines about forwarded requests.
	relayLogPrefix = "relay"
)

// Relay implements gateway.Relay. It forwards an idempotent query over many shards to an
// instance of the zone with a larger share of a core. It returns nil if this instance is to run
// the request itself: it is no such query, or no other instance has accepted it.
func (f *Forwarder) Relay(ctx context.Context, r *executor.Request) *gateway.Reply {
	if !fleet.ShouldForward(r.Service.Shards) || !r.Service.Config.Idempotent || !canForward(r) {
		return nil
	}
	start := time.Now()
	for _, to := range pickCandidates(f.config.Fleet.Stronger(start)) {
		now := time.Now()
		reply, err := f.forwardTo(ctx, to, r, now)
		f.logRelay(ctx, r, to, err, time.Since(now))
		if err == nil {
			f.config.Fleet.Answered(to)
			return f.relayedReply(r, reply, now)
		}
		if ctx.Err() == nil && showsUnhealthy(err) && time.Now().Before(r.Deadline) {
			f.config.Fleet.Failed(to, now)
		}
		if mayHaveRun(err) {
			return instanceLostReply(r.Deadline)
		}
		if timedOut(err) {
			break // the delay allowed for forwarding is used up
		}
	}
	return nil
}

// maxOffers is the number of instances that are offered one request or group. During a
// rolling restart or while a configuration version spreads, some instances decline at once,
// and this instance may have no connection to others.
const maxOffers = 3

// pickCandidates shuffles a list of instances in place and returns those that are offered a
// request, at most maxOffers.
func pickCandidates(list []fleet.Instance) []fleet.Instance {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxOffers)]
}

// relayedReply returns the reply to the client from that of another instance, to which the
// request was sent at the given time. When it has been written, its delay is observed.
func (f *Forwarder) relayedReply(r *executor.Request, reply *peerapi.ForwardReply, sentAt time.Time) *gateway.Reply {
	if reply.Version > r.View.Generation {
		f.config.SyncNow()
	}
	return &gateway.Reply{
		Status: reply.Status, Header: reply.Header, Body: reply.Body,
		Written: func(at time.Time) {
			f.forwardDelays.observe(at.Sub(sentAt) - time.Duration(reply.RunUS)*time.Microsecond)
		},
	}
}

// forwardTo offers a request to another instance and waits for the reply of its run there.
func (f *Forwarder) forwardTo(ctx context.Context, to fleet.Instance, r *executor.Request, now time.Time) (*peerapi.ForwardReply, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return f.config.Peers.Forward(ctx, peerTarget(to), f.forwardRequest(r, now, f.forwardDelays.upperBound()), peer.OfferOptions{Timeout: acceptTimeout})
}

// forwardRequest returns the message that forwards a request now. The times in it are those
// when the other instance has received it, after the given delay.
func (f *Forwarder) forwardRequest(r *executor.Request, now time.Time, delay time.Duration) *peerapi.ForwardRequest {
	p := r.Forwarded
	return &peerapi.ForwardRequest{
		Version: r.View.Generation, Request: p.ID, Method: p.Method, Target: p.Target, Host: p.Host, Header: p.Header, Body: p.Body,
		ElapsedUS: (now.Sub(r.Start) + delay).Microseconds(), RemainingUS: (r.Deadline.Sub(now) - delay).Microseconds(),
		ClientNetworkUS: r.NetworkDelay.Microseconds(),
	}
}

// mayHaveRun reports whether an error came after the other instance had accepted the request.
// The request may have run then.
func mayHaveRun(err error) bool {
	var notAccepted *peer.NotAcceptedError
	return !errors.As(err, &notAccepted)
}

// timedOut reports whether the other instance did not answer in time.
func timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// showsUnhealthy reports whether an error suggests that the other instance is unhealthy. An
// instance that declines is healthy.
func showsUnhealthy(err error) bool {
	var declined *peer.DeclinedError
	return !errors.As(err, &declined)
}

// logRelay logs the outcome of forwarding a request to one instance.
func (f *Forwarder) logRelay(ctx context.Context, r *executor.Request, to fleet.Instance, err error, elapsed time.Duration) {
	d := telemetry.Decision{
		Component: relayLogPrefix, Event: "handed over", Request: r.Forwarded.ID, Duration: elapsed,
		Extra: []any{"to", to.Name, "config", r.View.Generation, "way", r.NetworkDelay, "forward_delay", f.forwardDelays.upperBound()}, Class: telemetry.Outcome,
	}
	if err != nil {
		d.Reason = err.Error()
		d.Event, d.Class = classifyForwardError(ctx, err)
	}
	f.config.Log.LogDecision(d)
}

// classifyForwardError returns the log text and class for an error of forwarding a request.
// A client that disconnects ends the request, too, and says nothing about the other
// instance: logged as a failure, it would hide the lines of instances that were lost.
func classifyForwardError(ctx context.Context, err error) (what string, class telemetry.Class) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return "ended with its client", telemetry.Outcome
	case mayHaveRun(err):
		return "lost where it was handed over", telemetry.Failure
	default:
		return "not handed over", telemetry.Failure
	}
}

// instanceLostReply returns the reply to a request whose instance was lost while it ran: 502,
// or 504 after the deadline. The request may have run, which neither status rules out.
func instanceLostReply(deadline time.Time) *gateway.Reply {
	status := http.StatusBadGateway
	if !time.Now().Before(deadline) {
		status = http.StatusGatewayTimeout
	}
	return &gateway.Reply{Status: status, Header: make(http.Header), Body: []byte("the instance that ran the request was lost\n")}
}

// Offer implements peer.ForwardHandler. A request is declined if this instance refuses
// requests of clients, has no route for it, or has an older configuration than the sender.
// For groups, see gatherDeclineReason. An instance in the leaving phase still accepts
// requests: all the larger instances of a zone may leave at the same time, and stay in that
// phase until the load balancer has stopped sending them requests.
func (f *Forwarder) Offer(_ string, r *peerapi.ForwardRequest) string {
	v := f.config.Views.View()
	switch {
	case v == nil || f.config.Lifecycle.Refusing():
		return "not serving"
	case !f.config.Views.IsCurrent():
		f.config.SyncNow()
		return "stale state"
	case r.Gather != nil:
		return f.gatherDeclineReason(v, r)
	case v.Generation < r.Version:
		f.config.SyncNow()
		return "older configuration"
	case !gateway.HasRoute(v, r.Host, r.Target):
		return "no route"
	}
	return ""
}

// RunOffered implements peer.ForwardHandler.
func (f *Forwarder) RunOffered(ctx context.Context, r *peerapi.ForwardRequest) (*peerapi.ForwardReply, peer.NextReplyFunc) {
	v := f.config.Views.View()
	now := time.Now()
	received := gateway.RelayedRequest{
		Forwarded: &leafclient.ForwardedRequest{ID: r.Request, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body},
		Start:     now.Add(-time.Duration(r.ElapsedUS) * time.Microsecond), Deadline: now.Add(time.Duration(r.RemainingUS) * time.Microsecond),
		NetworkDelay: time.Duration(r.ClientNetworkUS) * time.Microsecond,
	}
	if r.Gather != nil {
		return f.runGather(ctx, v, r, received)
	}
	reply := f.gateway.RunRelayed(ctx, v, received)
	return &peerapi.ForwardReply{
		Version: v.Generation, Status: reply.Status, Header: reply.Header, Body: reply.Body, RunUS: time.Since(now).Microseconds(),
	}, nil
}

// delayEstimate estimates the delay that forwarding adds to the run itself: the two calls to
// the other instance and the writing of the answer, which on a fifth of a core takes longer
// than the network. It is safe for concurrent use.
type delayEstimate struct {
	initial  time.Duration // assumed before the first observation
	mu       sync.Mutex
	estimate margin.DelayEstimator
}

// initialDelay returns the delay of forwarding that an instance with a number of cores
// assumes before it has measured any; 0 cores are unknown.
func initialDelay(cpus float64) time.Duration {
	if cpus <= 0 {
		return minInitialDelay
	}
	return min(max(minInitialDelay, time.Duration(float64(forwardCPUTime)/cpus)), maxForwardDelay)
}

// observe adds the delay of one forwarded request or group.
func (e *delayEstimate) observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.estimate.Observe(min(d, maxForwardDelay))
}

// upperBound returns a delay that most forwarded requests or groups do not exceed.
func (e *delayEstimate) upperBound() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return min(e.estimate.UpperBound(e.initial), maxForwardDelay)
}
