package statesync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// packFrom is the length from which JSON is compressed, in bytes. Below it a compressor's
// own megabyte of memory costs a small fleet more than the bytes that it saves.
const packFrom = 32 << 10

// mostUnpacked bounds what compressed state may hold, in bytes: a list of 130,000 leaves.
const mostUnpacked = 64 << 20

// gzipMagic begins compressed data; JSON begins otherwise.
var gzipMagic = []byte{0x1f, 0x8b}

// writers keeps compressors.
var writers = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return w
}}

// pack writes a value as JSON, compressed where it is long.
func pack(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if len(data) < packFrom {
		return data, nil
	}
	var out bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	return out.Bytes(), nil
}

// unpack reads what pack has written.
func unpack(data []byte, into any) error {
	if !bytes.HasPrefix(data, gzipMagic) {
		return json.Unmarshal(data, into)
	}
	in, err := unpacked(data)
	if err != nil {
		return err
	}
	return json.NewDecoder(in).Decode(into)
}

// unpacked is the JSON that pack has written.
func unpacked(data []byte) (io.Reader, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return bytes.NewReader(data), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	return io.LimitReader(r, mostUnpacked), nil
}
