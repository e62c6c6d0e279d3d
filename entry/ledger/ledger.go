// Package ledger runs the claim ledger of an entry against the platform's
// store: non-idempotent requests claim their key before they are dispatched,
// so that a resend at any entry runs at most once. One goroutine runs the
// machines of kernel/ledger; each read or write of the store has its own.
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
	// gateFailures is how many failed calls in a row close all buckets.
	gateFailures = 3
	// mailboxSize is how many events may wait for the ledger's goroutine.
	mailboxSize = 1024
)

// Store is the part of the object API that the ledger needs. Its errors are
// those of entry/platform.
type Store interface {
	Get(ctx context.Context, kind, name string) (platformapi.Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
}

// Meter counts what the ledger does. Its methods are called by many goroutines.
type Meter interface {
	// LedgerClaim counts an answered claim and how long the answer took. The
	// result is granted, running, recorded, unknown, mismatch or unavailable.
	LedgerClaim(result string, latency time.Duration)
	// LedgerWrite counts a write of a bucket with its records and bytes.
	LedgerWrite(records, bytes int)
}

// nopMeter counts nothing.
type nopMeter struct{}

func (nopMeter) LedgerClaim(string, time.Duration) {}
func (nopMeter) LedgerWrite(int, int)              {}

// Config says how the ledger works. Only Store is required.
type Config struct {
	Store Store
	// Buckets is the number of bucket objects, the same at every entry; 0 means
	// DefaultBuckets. The store remembers it: an entry with another number
	// takes no claims.
	Buckets int
	// Bucket holds the limits of each bucket; the zero value means
	// ledger.DefaultConfig.
	Bucket ledger.Config
	// OpTimeout bounds each call to the store; 0 means DefaultOpTimeout.
	OpTimeout time.Duration
	// Seed makes nonces and jitter; the zero value draws one. Two ledgers must
	// never have the same.
	Seed [32]byte
	// Meter counts; nil counts nothing.
	Meter Meter
	// Logger takes the log; nil logs nothing.
	Logger *log.Logger
}

// withDefaults fills in what was left out and checks the rest.
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

// Ledger claims keys for one entry. Claim, Flush and the methods of Grant may
// be called by many goroutines while Run runs.
type Ledger struct {
	cfg     Config
	mailbox chan message
	ready   chan struct{} // closed when the store first takes claims
	done    chan struct{} // closed when Run has ended
}

// New makes a ledger; Run makes it work.
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

// Ready is closed when the store has first been reached and takes claims.
func (l *Ledger) Ready() <-chan struct{} { return l.ready }

// Run works until ctx ends; it must be called once. Claims that wait then are
// refused. A graceful stop calls Flush before it ends ctx.
func (l *Ledger) Run(ctx context.Context) error {
	defer close(l.done)
	r := newRuntime(l, rand.New(rand.NewChaCha8(l.cfg.Seed)))
	return r.run(ctx)
}

// Request is a non-idempotent request that wants to run.
type Request struct {
	Caller, Service string
	// Key is the caller's Idempotency-Key.
	Key  string
	Body []byte
	// Deadline is when the request's answer is due.
	Deadline time.Time
}

// validate names the first field that the ledger can't work with.
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

// Claim waits until the claim is confirmed, and returns HeldError,
// MismatchError, UnavailableError or RequestError when it is not: the request
// must then not run. When ctx ends first the claim is given up, and its record,
// if one was written, is removed later.
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

// await hands the claim to the ledger's goroutine and waits for its answer.
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

// grant turns the machine's answer into a grant or an error.
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

// post hands a message to the ledger's goroutine, unless that has ended.
func (l *Ledger) post(m message) bool {
	select {
	case l.mailbox <- m:
		return true
	case <-l.done:
		return false
	}
}

// Flush waits until the store holds all results and releases, and returns
// FlushError when ctx ends first. Results that the store does not hold read as
// unknown to a resend.
func (l *Ledger) Flush(ctx context.Context) error {
	f := &flush{done: make(chan struct{}), unsaved: make(chan int, 1)}
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

// Grant is the right to run one request once. Record or Release ends it; the
// first of them counts.
type Grant struct {
	ledger   *Ledger
	id       ledger.ClaimID
	bucket   int
	deadline time.Time
}

// MayDispatch must be asked right before the request is sent to a leaf. When
// it says no, the deadline has passed: release the grant and answer not_run.
func (g *Grant) MayDispatch() bool { return ledger.MayDispatch(g.deadline, time.Now()) }

// Record keeps how the request ended, for resends. It does not wait for the store.
func (g *Grant) Record(result ledger.Result) {
	g.ledger.post(eventMessage{bucket: g.bucket, event: ledger.Settle{ID: g.id, Result: result}})
}

// Release gives the claim back. It must only be called when the request
// provably did not run. It does not wait for the store.
func (g *Grant) Release() {
	g.ledger.post(eventMessage{bucket: g.bucket, event: ledger.Release{ID: g.id}})
}
