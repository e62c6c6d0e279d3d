package ledger

import "time"

// Config holds the limits of a bucket's Machine.
type Config struct {
	// Retention is how long a record is kept after its claim. A request resent
	// after that counts as a new one.
	Retention time.Duration
	// MaxClockSkew is the largest difference between the clocks of two
	// instances. A record is dropped only when it expired at least that long ago.
	MaxClockSkew time.Duration
	// MaxRecords is the largest number of records in a bucket. A full bucket
	// accepts no claims, as no record is dropped before it expires.
	MaxRecords int
	// ClaimTimeout is the longest time that a claim waits to be confirmed.
	ClaimTimeout time.Duration
	// MaxCacheAge is how long after the last read or write the cached bucket is
	// the base of a write. An older one is read first, as another instance has
	// probably written it and a read costs the store less than a conflicting
	// write.
	MaxCacheAge time.Duration
	// CombineDelay is how long a result waits to be written together with a
	// claim. Until it is written, a request resent to another instance is
	// answered that the first one is running.
	CombineDelay time.Duration
	// ReleaseDelay is how long a release waits to be written. Until it is
	// written, a request resent to another instance is not granted.
	ReleaseDelay time.Duration
	// RetryMin and RetryMax bound the delay after a failed read or write.
	RetryMin, RetryMax time.Duration
	// RecoveryJitter is the range of the random delay of background writes
	// after an outage of the store.
	RecoveryJitter time.Duration
}

// DefaultConfig returns the default limits.
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

// Validate returns a *ConfigError for the first invalid setting.
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

// MaxDeadline is how far in the future a claim's deadline may be. It is shorter
// than the retention, so that no record is dropped while its holder may still
// start the request.
func (c Config) MaxDeadline() time.Duration { return c.Retention / 2 }
