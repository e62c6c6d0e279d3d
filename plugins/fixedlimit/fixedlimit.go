// Package fixedlimit is the baseline limit: the whole connection share, always.
package fixedlimit

import (
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/plugin"
)

// Name is the name that the policy registers under.
const Name = "fixed"

type policy struct{ share int }

// New returns an independent instance.
func New() plugin.Limit { return &policy{} }

// Limit is the connection share.
func (p *policy) Limit() int { return p.share }

// SetShare sets the connection share.
func (p *policy) SetShare(share int) { p.share = share }

// RecordResult is ignored.
func (*policy) RecordResult(plugin.AttemptResult, time.Time) {}
