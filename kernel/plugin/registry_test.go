package plugin

import (
	"errors"
	"slices"
	"testing"
)

func TestRegistryFindsAndRefusesNames(t *testing.T) {
	r := NewRegistry[func() int]("number")
	r.Register("two", func() int { return 2 })
	r.Register("one", func() int { return 1 })
	f, err := r.Get("one")
	if err != nil || f() != 1 {
		t.Fatalf("Get: %v", err)
	}
	if got := r.Names(); !slices.Equal(got, []string{"one", "two"}) {
		t.Fatalf("names %v", got)
	}
	_, err = r.Get("three")
	var unknown *UnknownPluginError
	if !errors.As(err, &unknown) || unknown.Kind != "number" || unknown.Name != "three" || !slices.Equal(unknown.Known, r.Names()) {
		t.Fatalf("error %v, want one with the registered names", err)
	}
	defer func() {
		if recover() == nil {
			t.Fatal("a repeated name was accepted")
		}
	}()
	r.Register("one", nil)
}
