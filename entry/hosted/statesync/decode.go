package statesync

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// Decoding sleeps for pauseTime after each pauseEvery routes, so that queries run meanwhile on an
// instance with a small share of a core.
const (
	pauseEvery = 64
	pauseTime  = 200 * time.Microsecond
)

// errNoObject is returned for JSON that is no encoded configuration.
var errNoObject = errors.New("no object with a list of routes")

// unpackConfig decodes a packed configuration route by route.
func unpackConfig(data []byte) (*catalog.Config, error) {
	in, err := unpacked(data)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(in)
	if err := expect(d, json.Delim('{')); err != nil {
		return nil, err
	}
	out := &catalog.Config{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, fmt.Errorf("decode a configuration: %w", err)
		}
		if err := decodeField(d, key, out); err != nil {
			return nil, fmt.Errorf("decode a configuration: %v: %w", key, err)
		}
	}
	return out, expect(d, json.Delim('}'))
}

// decodeField decodes the value of a key; unknown keys are skipped.
func decodeField(d *json.Decoder, key json.Token, out *catalog.Config) error {
	switch key {
	case "Version":
		return d.Decode(&out.Version)
	case "Limits":
		return d.Decode(&out.Limits)
	case "Services":
		return d.Decode(&out.Services)
	case "Routes":
		return decodeRoutes(d, out)
	default:
		var unknown json.RawMessage
		return d.Decode(&unknown)
	}
}

// decodeRoutes decodes the list of routes; null is an empty list.
func decodeRoutes(d *json.Decoder, out *catalog.Config) error {
	begin, err := d.Token()
	if err != nil || begin == nil {
		return err
	}
	if begin != json.Delim('[') {
		return errNoObject
	}
	for d.More() {
		var r *catalog.Route
		if err := d.Decode(&r); err != nil {
			return err
		}
		out.Routes = append(out.Routes, r)
		if len(out.Routes)%pauseEvery == 0 {
			time.Sleep(pauseTime)
		}
	}
	return expect(d, json.Delim(']'))
}

// expect consumes a delimiter.
func expect(d *json.Decoder, want json.Delim) error {
	got, err := d.Token()
	if err == nil && got != want {
		err = errNoObject
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}
