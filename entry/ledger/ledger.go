// Package ledger runs the claim ledger of an entry instance on the platform's
// object store. A non-idempotent request claims its idempotency key before it is
// dispatched, so that it runs at most once even if it is resent to another
// instance. One goroutine runs the state machines of kernel/ledger; each read or
// write of the store runs in a goroutine of its own.
package ledger

import (
	"context"
	crand "crypto/rand"
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// Defaults of Config.
const (
	DefaultBuckets   = 64
	DefaultOpTimeout = 300 * time.Millisecond
	// breakerFailures is the number of consecutive failed calls to the store
	// after which all buckets refuse claims.
	breakerFailures = 3
	// mailboxSize is the number of messages that may wait for the ledger's
	// goroutine before senders block.
	mailboxSize = 1024
)

// Store is the part of the platform's object API that the ledger needs. Its
// errors are those of entry/platform.
type Store interface {
	Get(ctx context.Context, kind, name string) (platformapi.Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
}

// Meter records the ledger's metrics. It must be safe for concurrent use.
type Meter interface {
	// LedgerClaim counts an answered claim and how long the answer took. The
	// result is granted, running, recorded, unknown, mismatch or unavailable.
	LedgerClaim(result string, latency time.Duration)
	// LedgerWrite counts a write of a bucket with its records and bytes.
	LedgerWrite(records, bytes int)
}

// nopMeter is a Meter that records nothing.
type nopMeter struct{}

func (nopMeter) LedgerClaim(string, time.Duration) {}
func (nopMeter) LedgerWrite(int, int)              {}

// Config is the configuration of a Ledger. Only Store is required.
type Config struct {
	Store Store
	// Buckets is the number of bucket objects, the same at every instance; 0 means
	// DefaultBuckets. The number is kept in the store: an instance configured
	// with another one takes no claims.
	Buckets int
	// Bucket holds the limits of each bucket; the zero value means
	// ledger.DefaultConfig.
	Bucket ledger.Config
	// OpTimeout bounds each call to the store; 0 means DefaultOpTimeout.
	OpTimeout time.Duration
	// Seed seeds the generator of nonces and jitter; for the zero value a random
	// seed is drawn. No two ledgers may have the same seed, or their nonces could
	// be equal.
	Seed [32]byte
	// Meter records metrics; nil records none.
	Meter Meter
	// Logger is the log's destination; nil logs nothing.
	Logger *log.Logger
}

// withDefaults sets the defaults of omitted fields and validates the others.
func (c Config) withDefaults() (Config, error) {
	if c.Store == nil {
		return c, &RequestError{Field: "store", Reason: "must be given"}
	}
	if c.Buckets == 0 {
		c.Buckets = DefaultBuckets
	}
	if c.Buckets < 0 || c.Buckets > maxBuckets {
		return c, &ledger.ConfigError{Field: "buckets", Reason: "must be 1 to 65536"}
	}
	if c.Bucket == (ledger.Config{}) {
		c.Bucket = ledger.DefaultConfig()
	}
	if c.OpTimeout < 0 {
		return c, &ledger.ConfigError{Field: "op_timeout", Reason: "must not be negative"}
	}
	if c.OpTimeout == 0 {
		c.OpTimeout = DefaultOpTimeout
	}
	if c.Seed == ([32]byte{}) {
		if _, err := crand.Read(c.Seed[:]); err != nil {
			return c, err
		}
	}
	if c.Meter == nil {
		c.Meter = nopMeter{}
	}
	if c.Logger == nil {
		c.Logger = log.New(io.Discard)
	}
	return c, c.Bucket.Validate()
}

// Ledger claims idempotency keys for one instance. Claim, Flush and the methods
// of Grant are safe for concurrent use while Run runs.
type Ledger struct {
	cfg     Config
	mailbox chan message
	ready   chan struct{} // closed when the store first takes claims
	done    chan struct{} // closed when Run has ended
}

// New returns a ledger, which takes no claims until Run is called. It returns an
// error if cfg is invalid.
func New(cfg Config) (*Ledger, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Ledger{
		cfg:     cfg,
		mailbox: make(chan message, mailboxSize),
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
	}, nil
}

// Ready returns a channel that is closed when a first probe of the store has
// succeeded and claims are accepted.
func (l *Ledger) Ready() <-chan struct{} { return l.ready }

// Run serves claims until ctx ends; it must be called once. Claims that are still
// pending then are refused. For a graceful stop call Flush before ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.done)
	r := newRuntime(l, rand.New(rand.NewChaCha8(l.cfg.Seed)))
	return r.run(ctx)
}

// Request is a non-idempotent request, identified by caller, service and key.
type Request struct {
	Caller, Service string
	// Key is the caller's Idempotency-Key.
	Key  string
	Body []byte
	// Deadline is the time by which the caller expects the answer.
	Deadline time.Time
}

// validate returns a RequestError for the first invalid field, or nil.
func (l *Ledger) validate(req Request, now time.Time) error {
	switch {
	case req.Caller == "":
		return &RequestError{Field: "caller", Reason: "must not be empty"}
	case req.Service == "":
		return &RequestError{Field: "service", Reason: "must not be empty"}
	case req.Key == "":
		return &RequestError{Field: "key", Reason: "must not be empty"}
	case req.Deadline.Sub(now) > l.cfg.Bucket.MaxDeadline():
		return &RequestError{Field: "deadline", Reason: "must be within half of the ledger's retention"}
	}
	return nil
}

// Claim claims the request's key and returns once the claim is stored. It returns
// HeldError, MismatchError, UnavailableError or RequestError if the claim is not
// granted; the request must then not run. If ctx ends first, the claim is
// abandoned, and its record, if one was written, is removed later.
func (l *Ledger) Claim(ctx context.Context, req Request) (*Grant, error) {
	begin := time.Now()
	if err := l.validate(req, begin); err != nil {
		return nil, err
	}
	key := ledger.KeyOf(req.Caller, req.Service, req.Key)
	w := &waiter{
		claim: ledger.Claim{
			Key:         key,
			Fingerprint: ledger.FingerprintOf(req.Body),
			Deadline:    req.Deadline,
		},
		bucket: key.Bucket(l.cfg.Buckets),
		answer: make(chan ledger.Action, 1),
	}
	grant, err := l.await(ctx, w)
	l.cfg.Meter.LedgerClaim(resultName(err), time.Since(begin))
	return grant, err
}

// await passes the claim to the ledger's goroutine and waits for the answer.
func (l *Ledger) await(ctx context.Context, w *waiter) (*Grant, error) {
	select {
	case l.mailbox <- claimMessage{w}:
	case <-ctx.Done():
		return nil, &UnavailableError{Reason: ledger.ReasonAbandoned}
	case <-l.done:
		return nil, &UnavailableError{Reason: ledger.ReasonStopped}
	}
	select {
	case a := <-w.answer:
		return l.grant(w, a)
	case <-ctx.Done():
		l.post(abandonMessage{w})
		return nil, &UnavailableError{Reason: ledger.ReasonAbandoned}
	case <-l.done:
		return nil, &UnavailableError{Reason: ledger.ReasonStopped}
	}
}

// grant converts the state machine's answer into a grant or an error.
func (l *Ledger) grant(w *waiter, a ledger.Action) (*Grant, error) {
	switch a := a.(type) {
	case ledger.Granted:
		return &Grant{ledger: l, id: a.ID, bucket: w.bucket, deadline: w.claim.Deadline}, nil
	case ledger.Held:
		return nil, &HeldError{State: a.State, Result: a.Result, RetryAfter: a.RetryAfter}
	case ledger.Mismatch:
		return nil, &MismatchError{}
	case ledger.Unavailable:
		return nil, &UnavailableError{Reason: a.Reason, RetryAfter: a.RetryAfter}
	default:
		return nil, &UnavailableError{Reason: ledger.ReasonStopped}
	}
}

// post sends a message to the ledger's goroutine. It reports false if that
// goroutine has ended.
func (l *Ledger) post(m message) bool {
	select {
	case l.mailbox <- m:
		return true
	case <-l.done:
		return false
	}
}

// Flush waits until the store holds all results and releases, and returns
// FlushError when ctx ends first. A resend of a request whose result is not in
// the store is answered unknown.
func (l *Ledger) Flush(ctx context.Context) error {
	f := &flushRequest{done: make(chan struct{}), unsaved: make(chan int, 1)}
	if !l.post(flushMessage{f}) {
		return &FlushError{Unsaved: -1}
	}
	select {
	case <-f.done:
		return nil
	case <-l.done:
		return &FlushError{Unsaved: -1}
	case <-ctx.Done():
	}
	if l.post(flushEndMessage{f}) {
		select {
		case n := <-f.unsaved:
			return &FlushError{Unsaved: n}
		case <-l.done:
		}
	}
	return &FlushError{Unsaved: -1}
}

// Grant is a granted claim: the permission to run one request once. Record or
// Release ends it; only the first of these calls has an effect.
type Grant struct {
	ledger   *Ledger
	id       ledger.ClaimID
	bucket   int
	deadline time.Time
}

// MayDispatch reports whether the request may still be sent to a leaf; call it
// right before sending. If it returns false, the deadline has passed: release
// the grant and answer not_run.
func (g *Grant) MayDispatch() bool { return ledger.MayDispatch(g.deadline, time.Now()) }

// Record stores the request's result, with which resends are answered. It does
// not wait for the store.
func (g *Grant) Record(result ledger.Result) {
	g.ledger.post(eventMessage{bucket: g.bucket, event: ledger.Settle{ID: g.id, Result: result}})
}

// Release removes the claim, so that a resend may run. Call it only if the
// request provably did not run. It does not wait for the store.
func (g *Grant) Release() {
	g.ledger.post(eventMessage{bucket: g.bucket, event: ledger.Release{ID: g.id}})
}
