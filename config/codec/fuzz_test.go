package codec_test

import (
	"errors"
	"testing"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
)

// FuzzParse checks that any text is refused with faults, or read into a
// document whose canonical form is a fixed point.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add(codec.Format(samples.Recife(samples.RecifeBasePort)))
	f.Add(codec.Format(samples.CapBon(samples.CapBonBasePort)))
	f.Add([]byte("site = 3\n"))
	f.Add([]byte("[[upstream]]\nkey_space = -1\n[[upstream.shard]]\nrange = \"5-4\"\n"))
	f.Add([]byte("[[service]]\nleast_coverage = nan\ndeadline = \"-1s\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := codec.Parse(data)
		if err != nil {
			var list *fault.List
			if !errors.As(err, &list) || len(list.Faults) == 0 {
				t.Fatalf("an error without faults: %v", err)
			}
			return
		}
		text := codec.Format(doc)
		again, err := codec.Parse(text)
		if err != nil {
			t.Fatalf("the canonical form is refused: %v\n%s", err, text)
		}
		if string(codec.Format(again)) != string(text) {
			t.Fatalf("the canonical form is not a fixed point:\n%s", text)
		}
	})
}
