package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// requestLength returns the length of the request at the start of a stream by the framing, in parts
// of the given size; ok is false if it has no end.
func requestLength(stream []byte, part int) (length int, ok bool) {
	var scanner headScanner
	headBytes := scanner.scan(stream)
	if headBytes == 0 {
		return 0, false
	}
	var f framing
	f.begin(stream[:headBytes])
	length = headBytes
	for f.phase != phaseHead && length < len(stream) {
		length += f.consume(stream[length:min(length+part, len(stream))])
	}
	return length, f.phase == phaseHead
}

// requestLengthOfServer returns the same by net/http; ok is false if it accepts no request.
func requestLengthOfServer(stream []byte) (length int, ok bool) {
	input := bytes.NewReader(stream)
	reader := bufio.NewReader(input)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0, false
	}
	return len(stream) - input.Len() - reader.Buffered(), true
}

// framedRequests are requests with each kind of framing, and some that have none.
var framedRequests = []string{
	"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET / HTTP/1.1\nHost: a\n\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: a\r\ncontent-length:0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5 \r\nhello\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhello",
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
}

// checkFraming compares the end of a request with that by net/http. A request whose end the framing
// does not find ends its connection, which is safe.
func checkFraming(t *testing.T, stream []byte, part int) {
	want, accepted := requestLengthOfServer(stream)
	got, found := requestLength(stream, part)
	if accepted && found && got != want {
		t.Errorf("%q: a request of %d bytes, net/http takes %d", stream, got, want)
	}
}

// TestFramingAgreesWithTheServer has each request be followed by another one.
func TestFramingAgreesWithTheServer(t *testing.T) {
	for _, request := range framedRequests {
		for _, part := range []int{1, 7, 1 << 20} {
			checkFraming(t, []byte(request+framedRequests[0]), part)
		}
	}
	for _, i := range []int{0, 1, 2, 3, 7, 8} {
		if n, found := requestLength([]byte(framedRequests[i]+"GET"), 3); !found || n != len(framedRequests[i]) {
			t.Errorf("%q: end at %d, %v", framedRequests[i], n, found)
		}
	}
}

// FuzzFraming compares the framing with net/http.
func FuzzFraming(f *testing.F) {
	for _, request := range framedRequests {
		f.Add([]byte(request), 3)
	}
	f.Fuzz(func(t *testing.T, stream []byte, part int) {
		checkFraming(t, stream, 1+abs(part)%64)
	})
}

// abs returns the absolute value of n.
func abs(n int) int {
	if n < 0 {
		return -(n + 1)
	}
	return n
}

// TestHeadScanner checks the ends of heads that arrive byte by byte.
func TestHeadScanner(t *testing.T) {
	for head, lines := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n":  2,
		"GET / HTTP/1.1\nA: b\n\n":        2,
		"\r\n\r\nGET / HTTP/1.1\r\n\r\n":  1,
		strings.Repeat("x\n", 100) + "\n": 100,
	} {
		var s headScanner
		for n := 1; n < len(head); n++ {
			if got := s.scan([]byte(head)[:n]); got != 0 {
				t.Fatalf("%q: complete after %d bytes", head, got)
			}
		}
		if got := s.scan([]byte(head)); got != len(head) || s.lines != lines {
			t.Errorf("%q: %d bytes and %d lines, want %d and %d", head, got, s.lines, len(head), lines)
		}
	}
}
