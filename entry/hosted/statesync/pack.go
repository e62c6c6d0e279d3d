package statesync

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// minCompressBytes is the length from which JSON is compressed. For shorter JSON, the
// megabyte of memory that a compressor takes costs a small fleet more than the bytes that it
// saves.
const minCompressBytes = 32 << 10

// maxUnpackedBytes limits the decompressed length of state. It is enough for a list of
// 130,000 leaves.
const maxUnpackedBytes = 64 << 20

// gzipMagic is the prefix of compressed data. JSON never starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// gzipWriters keeps compressors for reuse.
var gzipWriters = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return w
}}

// pack encodes a value as JSON, and compresses it from minCompressBytes on.
func pack(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	if len(data) < minCompressBytes {
		return data, nil
	}
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	return out.Bytes(), nil
}

// unpack decodes data of pack into a value.
func unpack(data []byte, into any) error {
	if !bytes.HasPrefix(data, gzipMagic) {
		return json.Unmarshal(data, into)
	}
	in, err := unpackReader(data)
	if err != nil {
		return err
	}
	return json.NewDecoder(in).Decode(into)
}

// unpackReader returns a reader of the JSON in data of pack. Decompressed JSON is cut off
// after maxUnpackedBytes.
func unpackReader(data []byte) (io.Reader, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return bytes.NewReader(data), nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompress state: %w", err)
	}
	return io.LimitReader(r, maxUnpackedBytes), nil
}
