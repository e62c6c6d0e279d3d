package operators

import (
	"context"
	"errors"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

// Save validates a document and saves it on condition of the version that it
// was made from. It is the only path by which a document is saved.
func Save(ctx context.Context, control Control, toml []byte, ifVersion uint64) SaveResult {
	doc, err := codec.Parse(toml)
	if err != nil {
		return SaveResult{Outcome: Outcome{State: Invalid}, Faults: faultsOf(err)}
	}
	hash := codec.Hash(doc)
	outcome := control.Submit(ctx, Submission{TOML: toml, Hash: hash, Document: doc, IfVersion: ifVersion})
	result := SaveResult{Outcome: outcome, Hash: hash}
	if outcome.State == Conflict && outcome.Current != nil && outcome.Current.Document != nil {
		result.Diff = codec.Diff(outcome.Current.Document, doc)
	}
	return result
}

// faultsOf takes the faults out of an error of the codec.
func faultsOf(err error) []fault.Fault {
	var list *fault.List
	if errors.As(err, &list) {
		return list.Faults
	}
	return []fault.Fault{{Reason: err.Error()}}
}
