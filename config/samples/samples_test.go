package samples_test

import (
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// TestCommittedSamples checks that the generated documents are valid and that
// the committed files are their canonical form.
func TestCommittedSamples(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("."), goldie.WithNameSuffix(".toml"))
	for name, doc := range map[string]*document.Document{
		"recife": samples.Recife(samples.RecifeBasePort),
		"capbon": samples.CapBon(samples.CapBonBasePort),
	} {
		if err := codec.Validate(doc); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		g.Assert(t, name, codec.Format(doc))
	}
}
