package ledger

import "fmt"

// OutcomeError names a word that is no outcome.
type OutcomeError struct{ Text string }

// Error implements error.
func (e *OutcomeError) Error() string { return fmt.Sprintf("unknown outcome %q", e.Text) }

// CodecError says why a bucket's value can't be read. Such a bucket takes no
// claims: it is never taken for empty.
type CodecError struct{ Field, Reason string }

// Error implements error.
func (e *CodecError) Error() string { return fmt.Sprintf("ledger bucket %s: %s", e.Field, e.Reason) }

// ConfigError names a setting that the ledger can't work with.
type ConfigError struct{ Field, Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("ledger setting %s: %s", e.Field, e.Reason) }
