package statesync

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/catalog"
)

// Decoding pauses after each pauseEvery routes for pauseTime: an instance with a small share of
// a core would stand still for as long as all of a large configuration takes.
const (
	pauseEvery = 64
	pauseTime  = 200 * time.Microsecond
)

// errNoObject says that JSON is not what pack writes of a configuration.
var errNoObject = errors.New("no object with a list of routes")

// unpackConfig reads what pack has written of a configuration, route by route.
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

// decodeField reads the value of a key. One that is not known is passed over.
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

// decodeRoutes reads the list of routes; null is an empty one.
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

// expect reads a delimiter.
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
