package ingress

import "bytes"

// headScanner finds the end of a head: the first empty line after the request line.
type headScanner struct {
	scanned int // bytes
	lines   int // lines that are not empty
	// lineStart is the offset of the line that has not ended.
	lineStart int
}

// scan continues at the end of the previous call. It returns the head's length, or 0 if the head
// is not complete.
func (s *headScanner) scan(b []byte) int {
	for s.scanned < len(b) {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return 0
		}
		end := s.scanned + i
		isEmpty := len(bytes.TrimSuffix(b[s.lineStart:end], []byte("\r"))) == 0
		s.scanned, s.lineStart = end+1, end+1
		if isEmpty && s.lines > 0 {
			return end + 1
		}
		if !isEmpty {
			s.lines++
		}
	}
	return 0
}

// Costs of a request in bytes, for the account of memory.
const (
	// requestCost covers the handler's stack, the buffers of the connection and what the kernel
	// receives ahead.
	requestCost = 32 << 10
	// headByteCost is the cost of a byte of a head: it is held as it came and as parsed.
	headByteCost = 3
	// headLineCost is the cost of a header field beside its bytes.
	headLineCost = 160
)

// headCost is the memory of a request with a complete head and without a body.
func headCost(headBytes, lines int) int64 {
	return int64(headByteCost*headBytes + headLineCost*lines)
}
