// Package codec reads and writes the configuration document as TOML. It is
// strict: an unknown key or a value out of bounds is an error that names its
// path, and all faults are listed at once.
package codec

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// MaxBytes is the largest document accepted, in bytes. The platform holds
// values up to 1 MiB, in which the document is wrapped with a nonce.
const MaxBytes = 700 << 10

// what names the kind of file in errors.
const what = "document"

// Parse reads and validates a TOML document. The error is a *fault.List.
func Parse(data []byte) (*document.Document, error) {
	if len(data) > MaxBytes {
		list := &fault.List{What: what}
		list.Addf("", "it has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return nil, list
	}
	var raw rawDocument
	if err := fault.Decode(what, data, &raw); err != nil {
		return nil, err
	}
	list := &fault.List{What: what}
	doc := raw.convert(list)
	validate(doc, list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate checks a document that was built in code. The error is a *fault.List.
func Validate(doc *document.Document) error {
	list := &fault.List{What: what}
	validate(doc, list)
	return list.Err()
}

// Hash is the lower-case hex SHA-256 of the canonical form.
func Hash(doc *document.Document) string {
	sum := sha256.Sum256(Format(doc))
	return hex.EncodeToString(sum[:])
}
