package statesync

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// Decoding pauses for pauseDuration after each routesPerPause routes, so that queries can run
// meanwhile on an instance with a small share of a core.
const (
	routesPerPause = 64
	pauseDuration  = 200 * time.Microsecond
)

// errMalformedConfig is returned for JSON that is not an encoded configuration.
var errMalformedConfig = errors.New("want a JSON object with a list of routes")

// unpackConfig decodes a packed configuration one route at a time, with pauses.
func unpackConfig(data []byte) (*catalog.Config, error) {
	in, err := unpackReader(data)
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

// decodeField decodes the value of a key into the configuration. Unknown keys are skipped.
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

// decodeRoutes decodes the list of routes. A null list is an empty one.
func decodeRoutes(d *json.Decoder, out *catalog.Config) error {
	first, err := d.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return errMalformedConfig
	}
	for d.More() {
		var r *catalog.Route
		if err := d.Decode(&r); err != nil {
			return err
		}
		out.Routes = append(out.Routes, r)
		if len(out.Routes)%routesPerPause == 0 {
			time.Sleep(pauseDuration)
		}
	}
	return expect(d, json.Delim(']'))
}

// expect reads the next token and returns an error unless it is the wanted delimiter.
func expect(d *json.Decoder, want json.Delim) error {
	got, err := d.Token()
	if err == nil && got != want {
		err = errMalformedConfig
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}
