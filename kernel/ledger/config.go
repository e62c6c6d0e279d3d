package ledger

import "time"

// Config holds the limits of a bucket's machine.
type Config struct {
	// Retention is how long a record is kept after its claim. A resend later
	// than that is a new request.
	Retention time.Duration
	// MaxClockSkew is how far two instances' clocks may be apart: a record is
	// dropped only when it expired that long ago.
	MaxClockSkew time.Duration
	// MaxRecords bounds a bucket. A full bucket takes no claims: no record is
	// dropped before its time.
	MaxRecords int
	// ClaimTimeout bounds how long a claim waits for its confirmation.
	ClaimTimeout time.Duration
	// MaxCacheAge is how long a bucket as last seen is written on without a read.
	// Later, another entry has probably written it: a read costs the store less
	// than a write that conflicts.
	MaxCacheAge time.Duration
	// CombineDelay is how long a result waits for a claim's write to ride along
	// with; until then a resend elsewhere hears that the request is running.
	CombineDelay time.Duration
	// ReleaseDelay is how long a release waits; until then a resend elsewhere
	// is not granted.
	ReleaseDelay time.Duration
	// RetryMin and RetryMax bound the delay after a failed read or write.
	RetryMin, RetryMax time.Duration
	// RecoveryJitter spreads background writes after an outage.
	RecoveryJitter time.Duration
}

// DefaultConfig gives the usual limits.
func DefaultConfig() Config {
	return Config{
		Retention:      time.Hour,
		MaxClockSkew:   10 * time.Second,
		MaxRecords:     15_000,
		ClaimTimeout:   500 * time.Millisecond,
		MaxCacheAge:    20 * time.Millisecond,
		CombineDelay:   time.Second,
		ReleaseDelay:   100 * time.Millisecond,
		RetryMin:       50 * time.Millisecond,
		RetryMax:       5 * time.Second,
		RecoveryJitter: time.Second,
	}
}

// Validate names the first setting that can't be worked with.
func (c Config) Validate() error {
	switch {
	case c.Retention < time.Second:
		return &ConfigError{Field: "retention", Reason: "must be at least a second"}
	case c.MaxClockSkew < 0:
		return &ConfigError{Field: "max_clock_skew", Reason: "must not be negative"}
	case c.MaxRecords < 1 || c.MaxRecords > MaxRecordsPerValue:
		return &ConfigError{Field: "max_records", Reason: "must be at least 1 and fit a value of the platform"}
	case c.ClaimTimeout <= 0:
		return &ConfigError{Field: "claim_timeout", Reason: "must be above zero"}
	case c.MaxCacheAge < 0:
		return &ConfigError{Field: "fresh_for", Reason: "must not be negative"}
	case c.CombineDelay < 0:
		return &ConfigError{Field: "combine_delay", Reason: "must not be negative"}
	case c.ReleaseDelay < 0:
		return &ConfigError{Field: "release_delay", Reason: "must not be negative"}
	case c.RetryMin <= 0 || c.RetryMax < c.RetryMin:
		return &ConfigError{Field: "retry_max", Reason: "must be at least retry_min, which must be above zero"}
	case c.RecoveryJitter < 0:
		return &ConfigError{Field: "up_spread", Reason: "must not be negative"}
	}
	return nil
}

// MaxDeadline is the longest time ahead that a claim's deadline may lie. The
// retention outlasts it, so that no record is dropped while its holder may
// still start the request.
func (c Config) MaxDeadline() time.Duration { return c.Retention / 2 }
