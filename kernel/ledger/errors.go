package ledger

import "fmt"

// OutcomeError reports a text that is not the name of an outcome.
type OutcomeError struct{ Text string }

// Error implements error.
func (e *OutcomeError) Error() string { return fmt.Sprintf("unknown outcome %q", e.Text) }

// CodecError reports why a bucket's value can't be decoded. Such a bucket is
// never treated as empty, so it accepts no claims.
type CodecError struct{ Field, Reason string }

// Error implements error.
func (e *CodecError) Error() string { return fmt.Sprintf("ledger bucket %s: %s", e.Field, e.Reason) }

// ConfigError reports a setting with an invalid value.
type ConfigError struct{ Field, Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return fmt.Sprintf("ledger setting %s: %s", e.Field, e.Reason) }
