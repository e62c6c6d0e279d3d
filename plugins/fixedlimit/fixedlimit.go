// Package fixedlimit is the baseline limit policy: the limit is always the whole connection
// share.
package fixedlimit

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name under which the policy is registered.
const Name = "fixed"

type policy struct{ share int }

// New returns a new, independent policy.
func New() plugin.Limit { return &policy{} }

// Limit is the connection share.
func (p *policy) Limit() int { return p.share }

// SetShare sets the connection share.
func (p *policy) SetShare(share int) { p.share = share }

// RecordResult ignores the result.
func (*policy) RecordResult(plugin.AttemptResult, time.Time) {}
