package codec

import (
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// Diff shows the change from a to b for people, as a unified diff of the
// canonical forms. It is empty when the documents mean the same. A nil
// document counts as empty.
func Diff(a, b *document.Document) string {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        lines(a),
		B:        lines(b),
		FromFile: "stored",
		ToFile:   "submitted",
		Context:  diffContext,
	})
	if err != nil {
		return "the difference could not be written: " + err.Error()
	}
	return out
}

// lines splits the canonical form, keeping line ends.
func lines(doc *document.Document) []string {
	if doc == nil {
		return nil
	}
	return strings.SplitAfter(string(Format(doc)), "\n")
}
