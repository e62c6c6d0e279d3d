package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// discardLogs keeps the jsonrpc2 library from writing to the standard logger: the
// errors of the calls report what fails on a connection.
var discardLogs = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// maxMessageBytes bounds one message. A document of the largest size fits.
const maxMessageBytes = 2 << 20

// maxHandshakeBytes bounds one message of a client that has not authenticated itself.
const maxHandshakeBytes = 4 << 10

// boundedCodec is a jsonrpc2.ObjectCodec that prefixes each message with its length
// in 4 bytes, big endian. It refuses a message longer than maxMessageBytes before
// reading it, so that a peer can't make this instance allocate more.
type boundedCodec struct {
	// isTrusted reports whether the peer may send messages longer than maxHandshakeBytes; nil: it
	// may.
	isTrusted func() bool
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode a peer message: %w", err)
	}
	if len(data) > maxMessageBytes {
		return &SizeError{Bytes: len(data)}
	}
	frame := make([]byte, 0, 4+len(data))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessageBytes || (size > maxHandshakeBytes && c.isTrusted != nil && !c.isTrusted()) {
		return &SizeError{Bytes: int(size)}
	}
	// The buffer grows with what arrives.
	var data bytes.Buffer
	if _, err := io.CopyN(&data, r, int64(size)); err != nil {
		return err
	}
	if err := json.Unmarshal(data.Bytes(), v); err != nil {
		return fmt.Errorf("decode a peer message: %w", err)
	}
	return nil
}
