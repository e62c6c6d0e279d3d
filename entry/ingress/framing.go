package ingress

import (
	"bytes"
	"strconv"
	"strings"
)

// phase is a part of the stream of requests on a connection.
type phase int

const (
	phaseHead phase = iota
	phaseSized
	phaseChunkSize
	phaseChunkExtension
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	// phaseUnknown means that the end of the request can't be found. The connection carries no
	// further request.
	phaseUnknown
)

// framing finds the end of a request's body (RFC 9112, 6 and 7.1). The HTTP server checks the
// syntax; framing only has to agree with it on the requests that the server accepts.
type framing struct {
	phase phase
	// left is the number of bytes left of a sized body or of a chunk.
	left int64
	// digits is the number of digits seen of a chunk's size.
	digits int
	// lineBytes is the length of the trailer's current line without CR.
	lineBytes int
}

// maxChunkSizeDigits is the maximum number of hexadecimal digits of a chunk's size.
const maxChunkSizeDigits = 15

// begin enters the phase that follows a complete head.
func (f *framing) begin(head []byte) {
	length, chunked, ok := framingFields(head)
	*f = framing{}
	switch {
	case !ok:
		f.phase = phaseUnknown
	case chunked:
		f.phase = phaseChunkSize
	case length != "":
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			f.phase = phaseUnknown
		} else if n > 0 {
			f.phase, f.left = phaseSized, int64(n)
		}
	}
}

// framingFields returns the fields of a head that frame its body. ok is false if they are not
// plain: repeated, folded or with another coding.
func framingFields(head []byte) (length string, chunked, ok bool) {
	requestLine, fields, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	lengths, codings := 0, 0
	for line := range bytes.Lines(fields) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		text := strings.TrimSpace(string(value))
		switch {
		case isName(name, "content-length"):
			length = text
			lengths++
		case isName(name, "transfer-encoding"):
			chunked = strings.EqualFold(text, "chunked")
			codings++
		}
	}
	plain := lengths <= 1 && codings <= 1 && (lengths == 0 || length != "")
	if codings == 1 {
		plain = plain && chunked && bytes.HasSuffix(bytes.TrimSpace(requestLine), []byte("HTTP/1.1"))
	}
	return length, chunked, plain
}

// isName reports whether a field's name is the given one in lower case.
func isName(name []byte, lower string) bool {
	name = bytes.TrimSpace(name)
	return len(name) == len(lower) && strings.EqualFold(string(name), lower)
}

// consume advances by the next bytes of the stream, up to the end of the request, and returns how
// many of them belong to it.
func (f *framing) consume(b []byte) int {
	for i := 0; i < len(b); {
		switch f.phase {
		case phaseHead:
			return i
		case phaseUnknown:
			return len(b)
		case phaseSized, phaseChunkData:
			n := min(f.left, int64(len(b)-i))
			i += int(n)
			if f.left -= n; f.left == 0 {
				f.endData()
			}
		default:
			f.consumeFraming(b[i])
			i++
		}
	}
	return len(b)
}

// endData follows the last byte of a sized body or of a chunk.
func (f *framing) endData() {
	if f.phase == phaseSized {
		f.phase = phaseHead
		return
	}
	f.phase = phaseChunkEnd
}

// consumeFraming advances by one byte that frames chunks.
func (f *framing) consumeFraming(c byte) {
	switch f.phase {
	case phaseChunkSize:
		f.consumeSize(c)
	case phaseChunkExtension:
		if c == '\n' {
			f.beginChunk()
		}
	case phaseChunkEnd:
		switch c {
		case '\r':
		case '\n':
			f.phase = phaseChunkSize
		default:
			f.phase = phaseUnknown
		}
	case phaseTrailer:
		f.consumeTrailer(c)
	}
}

// consumeSize advances by one byte of the line with a chunk's size.
func (f *framing) consumeSize(c byte) {
	digit, isDigit := hexDigit(c)
	switch {
	case isDigit && f.digits < maxChunkSizeDigits:
		f.left = f.left<<4 | digit
		f.digits++
	case f.digits == 0 || isDigit:
		f.phase = phaseUnknown
	case c == '\n':
		f.beginChunk()
	default:
		f.phase = phaseChunkExtension
	}
}

// beginChunk follows the line with a chunk's size.
func (f *framing) beginChunk() {
	f.digits = 0
	if f.phase = phaseChunkData; f.left == 0 {
		f.phase, f.lineBytes = phaseTrailer, 0
	}
}

// consumeTrailer advances by one byte of the trailer, which ends with an empty line.
func (f *framing) consumeTrailer(c byte) {
	switch {
	case c != '\n' && c != '\r':
		f.lineBytes++
	case c == '\n' && f.lineBytes == 0:
		f.phase = phaseHead
	case c == '\n':
		f.lineBytes = 0
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	default:
		return 0, false
	}
}
