package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// kind is a kind of request.
type kind string

// The kinds, by the first part of their path.
const (
	kindOne    kind = "one"    // idempotent, one leaf
	kindOnce   kind = "once"   // not idempotent, one leaf
	kindProbe  kind = "probe"  // shows the configuration in force
	kindSearch kind = "search" // over all shards
)

// target returns the target of a client's request of a kind.
func (k kind) target(request string) string { return fmt.Sprintf("/%s/x?%s", k, request) }

const (
	// maxClientTime is how long a client waits, as it says in the request, but for those
	// over shards, whose time is the profile's.
	maxClientTime = 1500 * time.Millisecond
	// readTime is how long it keeps its connection for an answer.
	readTime = 2500 * time.Millisecond
	// perConnection is how many requests a connection carries at most.
	perConnection = 40
)

// outcome is what a client saw of one request.
type outcome struct {
	request string
	kind    kind
	// instance is the name of the instance that was asked.
	instance string
	sent     time.Time
	end      time.Time
	status   int // 0: no whole answer came
	header   http.Header
	body     string
	// cut says that the connection ended, and was not merely silent.
	cut bool
	// planned says that the instance was stopping by plan, and nothing else was
	// wrong there.
	planned bool
	// long says that it is a PUT with a long body.
	long bool
	// watch says that it is no client's, see watchVersions.
	watch bool
	// target is that of the request; empty: the usual one of its kind.
	target string
	// inTouch says that nothing had disturbed the instance and the store for contactTime.
	inTouch bool
}

// client sends requests until stop is closed.
func (r *run) client(number int, random *rand.Rand, stop <-chan struct{}) {
	for sequence := 0; ; {
		n := r.pick(random)
		conn, err := net.DialTimeout("tcp", n.clients.address(), time.Second)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for range perConnection {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(time.Duration(random.ExpFloat64() * float64(r.site.profile.thinkTime))):
			}
			sequence++
			o := outcome{request: fmt.Sprintf("%d-%d-%d", r.options.Seed, number, sequence), kind: r.site.profile.drawKind(random)}
			o.long = r.site.profile.longBodies && o.kind == kindOnce && random.IntN(2) == 0
			o = r.ask(n, conn, reader, o)
			if o.status == 0 || strings.EqualFold(o.header.Get("Connection"), "close") {
				break
			}
		}
		_ = conn.Close()
	}
}

// pick chooses an instance as a balancer does: one that leaves is let go after
// two questions.
func (r *run) pick(random *rand.Rand) *instance {
	all := r.site.instances
	for range 2 * len(all) {
		n := all[random.IntN(len(all))]
		n.mu.Lock()
		up := n.cmd != nil && (n.stopping.IsZero() || time.Since(n.stopping) < 2*time.Second)
		n.mu.Unlock()
		if up {
			return n
		}
	}
	return all[0]
}

// ask sends one request and notes what came of it.
func (r *run) ask(n *instance, conn net.Conn, reader *bufio.Reader, o outcome) outcome {
	incarnation := n.started()
	o.target = o.kind.target(o.request)
	o = r.exchangeTarget(n, conn, reader, o)
	r.note(n, incarnation, o)
	return o
}

// exchange sends one request and reads its answer.
func (r *run) exchange(n *instance, conn net.Conn, reader *bufio.Reader, request string, k kind) outcome {
	return r.exchangeTarget(n, conn, reader, outcome{request: request, kind: k, target: k.target(request)})
}

// exchangeTarget sends the request that an outcome describes and reads its answer.
func (r *run) exchangeTarget(n *instance, conn net.Conn, reader *bufio.Reader, o outcome) outcome {
	o.instance, o.sent, o.inTouch = n.name, time.Now(), r.inTouch(n)
	_ = conn.SetDeadline(time.Now().Add(readTime))
	head, body := fmt.Sprintf("GET %s HTTP/1.1\r\n", o.target), ""
	if o.long {
		body = longBody(o.request)
		head = fmt.Sprintf("PUT %s HTTP/1.1\r\nContent-Length: %d\r\n", o.target, len(body))
	}
	_, err := fmt.Fprintf(conn, "%sHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n%s", head,
		hosted.Host, hosted.HeaderRequest, o.request, hosted.HeaderDeadlineMS, r.site.profile.timeFor(o.kind).Milliseconds(), body)
	if err == nil {
		err = o.read(reader)
	}
	o.end = time.Now()
	o.cut = err != nil && !isTimeout(err)
	o.planned = n.onlyStopping(o.sent)
	return o
}

// isTimeout reports whether an error is a silence.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// read takes the whole answer.
func (o *outcome) read(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	o.status, o.header, o.body = resp.StatusCode, resp.Header, string(body)
	if resp.Close {
		o.header.Set("Connection", "close")
	}
	return nil
}

// started is the instance's incarnation.
func (n *instance) started() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// onlyStopping reports whether the instance was asked to stop at or after a time,
// and nothing else was wrong there.
func (n *instance) onlyStopping(sent time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.stopping.IsZero() && n.stopping.Add(graceTime).After(sent) && n.disturbed.Before(sent)
}

// note checks an outcome at once, as far as that can be done, and keeps it.
func (r *run) note(n *instance, incarnation int, o outcome) {
	r.mu.Lock()
	r.outcomes = append(r.outcomes, o)
	r.mu.Unlock()
	switch {
	case o.status == http.StatusOK:
		r.checkSuccess(n, incarnation, &o)
	case o.header.Get(hosted.HeaderSignature) != "":
		if fault := checkFailure(&o); fault != "" {
			r.violation(fault, o.request, n.name)
		}
	case o.status == http.StatusNotFound:
		r.violation("a route that every configuration has was not found", o.request, n.name)
	}
}

// checkFailure checks a leaf's failure: its status and body are those that the leaf gave to this
// request.
func checkFailure(o *outcome) string {
	by, ok := signedBy(o.header.Get(hosted.HeaderSignature), o.request)
	switch {
	case !ok:
		return "a failure with a signature that is not of this request"
	case by.status != o.status:
		return fmt.Sprintf("a failure with status %d, the leaf gave %d", o.status, by.status)
	case o.body != failureBody(o.request):
		return "a failure whose body is not the leaf's whole body"
	}
	return ""
}

// checkSuccess checks what a success says.
func (r *run) checkSuccess(n *instance, incarnation int, o *outcome) {
	if o.kind == kindSearch {
		if fault := r.checkCombined(o); fault != "" {
			r.violation(fault, o.request, n.name)
		}
		return
	}
	by, ok := signedBy(o.header.Get(hosted.HeaderSignature), o.request)
	switch {
	case !ok:
		r.violation("a success without the leaf's signature of this request", o.request, n.name)
	case by.status != http.StatusOK:
		r.violation(fmt.Sprintf("a success where the leaf had answered with %d", by.status), o.request, n.name)
	case o.body != records(o.request, by.service):
		r.violation("a body that is not the leaf's whole body", o.request, n.name)
	case o.kind == kindProbe:
		r.checkVersion(n, incarnation, o, by.service)
	}
}

// checkCombined checks an answer over shards: its parts are of one set, the
// number missing is true, and the body is the greatest records of its parts.
func (r *run) checkCombined(o *outcome) string {
	var services, bodies []string
	for _, sig := range strings.Split(o.header.Get(hosted.HeaderSignatures), ",") {
		by, ok := signedBy(strings.TrimSpace(sig), o.request)
		if !ok {
			return "a part's signature is not of this request"
		}
		if by.status != http.StatusOK {
			return fmt.Sprintf("a part that its leaf had failed with %d", by.status)
		}
		if slices.Contains(services, by.service) {
			return "two parts of one shard"
		}
		services = append(services, by.service)
		bodies = append(bodies, records(o.request, by.service))
	}
	missing, err := strconv.Atoi(o.header.Get(hosted.HeaderMissing))
	if err != nil {
		return "the number of missing parts is no number"
	}
	if !r.site.ofOneSet(services, missing) {
		return "the parts and the number missing are of no set that a configuration named"
	}
	if o.body != greatest(bodies) {
		return "the body is not the greatest records of the parts"
	}
	return ""
}

// greatest is the combined body of parts.
func greatest(bodies []string) string {
	var all []string
	for _, body := range bodies {
		for i := 0; i < len(body); i += recordSize {
			all = append(all, body[i:i+recordSize])
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return strings.Join(all[:min(topK, len(all))], "")
}

// ofOneSet reports whether services and a number of others make up one set.
func (s *site) ofOneSet(services []string, missing int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.sets, func(set []string) bool {
		if len(set) != len(services)+missing {
			return false
		}
		return !slices.ContainsFunc(services, func(name string) bool { return !slices.Contains(set, name) })
	})
}

// rollbackSlack is how old a newer version's effect must be for an older one to
// be a step back: requests that cross are no step back.
const rollbackSlack = 250 * time.Millisecond

// watchPause is the time between two questions of the one that watches versions.
const watchPause = 20 * time.Millisecond

// watchVersions asks one instance after the other for the newest route until stop is closed.
// Its requests don't count among those that are served.
func (r *run) watchVersions(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(watchPause):
		}
		n := r.site.instances[i%len(r.site.instances)]
		conn, err := net.DialTimeout("tcp", n.clients.address(), time.Second)
		if err != nil {
			continue
		}
		incarnation := n.started()
		o := r.exchange(n, conn, bufio.NewReader(conn), fmt.Sprintf("%d-watch-%d", r.options.Seed, i), kindProbe)
		_ = conn.Close()
		o.watch = true
		r.note(n, incarnation, o)
	}
}

// checkVersion checks that a configuration is in force in time and never goes back.
func (r *run) checkVersion(n *instance, incarnation int, o *outcome, service string) {
	version, err := strconv.ParseUint(strings.TrimPrefix(service, "p"), 10, 64)
	if err != nil {
		r.violation("a probe was run by another service", o.request, n.name)
		return
	}
	r.site.mu.Lock()
	due, written := r.site.due(o.sent)
	storeDisturbed := r.site.storeDisturbed
	r.site.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation != incarnation {
		return
	}
	if version < n.seen && o.sent.After(n.seenAt.Add(rollbackSlack)) && n.disturbed.Before(o.sent) {
		r.violation(fmt.Sprintf("version %d after %d", version, n.seen), o.request, n.name)
	}
	if version > n.seen {
		n.seen, n.seenAt = version, o.end
	}
	calm := n.disturbed.Before(o.sent) && storeDisturbed.Before(o.sent)
	if calm && version < due {
		r.violation(fmt.Sprintf("version %d is in force %v after version %d was written", version, o.sent.Sub(written), due), o.request, n.name)
	}
}
