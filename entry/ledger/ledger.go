// Package ledger runs the claim ledger of an entry against the platform's
// store: non-idempotent requests claim their key before they are dispatched,
// so that a resend at any entry runs at most once.
package ledger

import (
	"context"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/ledger"
)

// Store is the part of the object API that the ledger needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (platformapi.Object, error)
	Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error)
}

// Request is a non-idempotent request that wants to run.
type Request struct {
	Caller, Service, Key string
	Body                 []byte
	Deadline             time.Time
}

// Config says how the ledger works.
type Config struct {
	Store Store
}

// Ledger claims keys for one entry.
type Ledger struct{ cfg Config }

// Grant is the right to run one request once.
type Grant struct{}

// New makes a ledger; Run makes it work.
func New(cfg Config) (*Ledger, error) { return &Ledger{cfg: cfg}, nil }

// Run works until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Claim waits until the claim is confirmed, and returns HeldError,
// MismatchError, UnavailableError or RequestError when it is not: the request
// must then not run. This first version refuses every claim.
func (l *Ledger) Claim(context.Context, Request) (*Grant, error) {
	return nil, &UnavailableError{Reason: ledger.ReasonStopped}
}

// MayDispatch must be asked right before the request is sent to a leaf. When
// it says no, the deadline has passed: release the grant and answer not_run.
func (g *Grant) MayDispatch() bool { return false }

// Record keeps how the request ended, for resends. It does not wait.
func (g *Grant) Record(ledger.Result) {}

// Release gives the claim back. It must only be called when the request
// provably did not run. It does not wait.
func (g *Grant) Release() {}

// Flush waits until the store holds all results and releases.
func (l *Ledger) Flush(context.Context) error { return nil }
