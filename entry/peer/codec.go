package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// quietly keeps the library from writing to the standard logger: what goes
// wrong on a connection shows in the errors of the calls on it.
var quietly = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// maxMessage bounds one message, in bytes: a document of the largest size fits.
const maxMessage = 2 << 20

// boundedCodec frames each JSON-RPC message by its length, so that a peer can't
// make this instance hold more than maxMessage. It implements jsonrpc2.ObjectCodec.
type boundedCodec struct{}

// WriteObject writes one message.
func (boundedCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("encode a peer message: %w", err)
	}
	if len(data) > maxMessage {
		return &SizeError{Bytes: len(data)}
	}
	frame := make([]byte, 0, 4+len(data))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

// ReadObject reads one message.
func (boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > maxMessage {
		return &SizeError{Bytes: int(size)}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode a peer message: %w", err)
	}
	return nil
}
