package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/rollout"
)

// nonceBytes is the size of the nonce that identifies a submission.
const nonceBytes = 16

// Current implements operators.Control: it returns the version in force. Base is
// the generation that a save must replace, which is that of a newer invalid
// version if there is one. The boolean is false when no version is in force.
func (c *Control) Current() (operators.Version, bool) {
	var current, refused rollout.Version
	if !c.runAndWait(context.Background(), func(time.Time) { current, refused = c.rollout.Current(), c.rollout.InvalidVersion() }) {
		return operators.Version{}, false
	}
	v := operators.Version{
		Generation: current.Generation, Base: max(current.Generation, refused.Generation), Hash: current.Hash,
		TOML: rollout.DocumentText(current.Value), Document: current.Document, Fault: refused.InvalidReason,
	}
	return v, current.Generation > 0
}

// Submit implements operators.Control: it submits a save and waits for its
// outcome, which is unknown if ctx ends first.
func (c *Control) Submit(ctx context.Context, s operators.Submission) operators.Outcome {
	var nonce [nonceBytes]byte
	_, _ = rand.Read(nonce[:]) // never fails: crypto/rand ends the program instead
	outcome := make(chan rollout.Outcome, 1)
	posted := c.post(ctx, func(time.Time) {
		c.nextSave++
		c.waiters[c.nextSave] = outcome
		c.handleRollout(rollout.Submit{
			ID: c.nextSave, Nonce: hex.EncodeToString(nonce[:]), TOML: s.TOML, Hash: s.Hash,
			Document: s.Document, IfVersion: s.IfVersion,
		})
	})
	if !posted {
		return operators.Outcome{State: operators.Refused, Reason: "the instance is stopping"}
	}
	select {
	case o := <-outcome:
		return outcomeOf(o)
	case <-ctx.Done():
	case <-c.closed:
	}
	return operators.Outcome{State: operators.Unknown, Reason: "the save was not settled before the submitter left"}
}

// outcomeOf converts the rollout machine's outcome to the operators' type.
func outcomeOf(o rollout.Outcome) operators.Outcome {
	out := operators.Outcome{
		State: operators.State(o.State), Generation: o.Generation, Reason: o.Reason, RetryAfter: o.RetryAfter,
	}
	if o.Current != nil {
		out.Current = &operators.Version{
			Generation: o.Current.Generation, Base: o.Current.Generation, Hash: o.Current.Hash,
			TOML: rollout.DocumentText(o.Current.Value), Document: o.Current.Document, Fault: o.Current.InvalidReason,
		}
	}
	return out
}

// resolveSave logs the outcome of a save and passes it to the waiting submitter.
func (c *Control) resolveSave(a rollout.ResolveSave) {
	c.cfg.Log.Info("save settled", "save", a.ID, "state", a.Outcome.State, "generation", a.Outcome.Generation)
	waiter := c.waiters[a.ID]
	delete(c.waiters, a.ID)
	select {
	case waiter <- a.Outcome:
	default: // the submitter already has an answer; this one is only logged
	}
}

// ConfigStatus implements operators.Control: it returns the generation in force at
// each known instance.
func (c *Control) ConfigStatus() callerapi.ConfigStatus {
	var status callerapi.ConfigStatus
	c.runAndWait(context.Background(), func(now time.Time) {
		own := c.rollout.Current()
		status.Highest = own.Generation
		status.Instances = append(status.Instances, callerapi.InstanceConfig{Instance: c.cfg.Instance, Generation: own.Generation, Hash: own.Hash})
		for _, g := range c.membership.PeerStatuses(now) {
			status.Highest = max(status.Highest, g.Generation)
			status.Instances = append(status.Instances, callerapi.InstanceConfig{
				Instance: g.Instance, Generation: g.Generation, Hash: g.Hash, AgeMS: g.Age.Milliseconds(),
			})
		}
	})
	return status
}

// Instances implements operators.Control: it returns the platform's last list, or
// nil before the first.
func (c *Control) Instances() []platformapi.Instance {
	if list := c.instances.Load(); list != nil {
		return *list
	}
	return nil
}
