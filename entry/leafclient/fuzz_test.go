package leafclient

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
)

// fuzzMaxBody is the most bytes of a reply body in the fuzz targets.
const fuzzMaxBody = 64

// fuzzAttempt is the ID of the attempt that the fuzzed responses answer.
const fuzzAttempt = "a1"

// readFuzzedReply reads a response as the reply to the fuzzed attempt.
func readFuzzedReply(t *testing.T, resp *http.Response) (*Reply, error) {
	c := New(fuzzMaxBody)
	defer c.Close()
	r := &Request{ID: "q", Attempt: fuzzAttempt, Range: keyrange.Range{From: 0, To: 10}}
	return c.readReply(t.Context(), Target{ID: "leaf-1"}, r, resp)
}

// checkOutcome checks the result of reading a response: a Reply has this attempt's ID
// and a body that matches its checksum, a DeclinedError has the decline header, and
// every other error is a BrokenError.
func checkOutcome(t *testing.T, h http.Header, status int, reply *Reply, err error) {
	t.Helper()
	var declined *DeclinedError
	var broken *BrokenError
	switch {
	case err == nil:
		checkReply(t, h, status, reply)
	case errors.As(err, &declined):
		if h.Get(leafapi.HeaderNotRun) == "" || status < http.StatusBadRequest {
			t.Fatalf("status %d without a decline header was taken for not run: %v", status, err)
		}
	case !errors.As(err, &broken):
		t.Fatalf("%v is neither a DeclinedError nor a BrokenError", err)
	}
}

// checkReply checks an accepted reply against the headers it came with.
func checkReply(t *testing.T, h http.Header, status int, reply *Reply) {
	t.Helper()
	if status != http.StatusOK || h.Get(leafapi.HeaderAttempt) != fuzzAttempt {
		t.Fatalf("status %d for attempt %q was accepted", status, h.Get(leafapi.HeaderAttempt))
	}
	if want := fmt.Sprintf("%016x", xxhash.Sum64(reply.Body)); h.Get(leafapi.HeaderChecksum) != want || len(reply.Body) > fuzzMaxBody {
		t.Fatalf("a body of %d bytes with checksum %q was accepted, want %s", len(reply.Body), h.Get(leafapi.HeaderChecksum), want)
	}
	if v, err := strconv.ParseUint(h.Get(leafapi.HeaderVersion), 10, 64); err != nil || v != reply.Version {
		t.Fatalf("version %d was read from %q", reply.Version, h.Get(leafapi.HeaderVersion))
	}
	for _, r := range reply.Ranges {
		if r.Empty() {
			t.Fatalf("empty range %v was accepted from %q", r, h.Get(leafapi.HeaderRanges))
		}
	}
	if reply.Service < 0 {
		t.Fatalf("service time %v is negative", reply.Service)
	}
}

// FuzzReadReply reads arbitrary bytes as a leaf's HTTP response.
func FuzzReadReply(f *testing.F) {
	sum := fmt.Sprintf("%016x", xxhash.Sum64String("result"))
	whole := "HTTP/1.1 200 OK\r\nFuchsiaroad-Attempt: a1\r\nFuchsiaroad-Version: 7\r\nFuchsiaroad-Versions: 6,7\r\n" +
		"Fuchsiaroad-Ranges: 0-10\r\nFuchsiaroad-Checksum: " + sum + "\r\nContent-Length: 6\r\n\r\nresult"
	f.Add([]byte(whole))
	f.Add([]byte(whole[:len(whole)-2]))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nFuchsiaroad-Not-Run: overloaded\r\nFuchsiaroad-Draining: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nFuchsiaroad-Not-Run: overloaded\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		reply, err := readFuzzedReply(t, resp)
		checkOutcome(t, resp.Header, resp.StatusCode, reply, err)
	})
}

// FuzzReplyStatements varies each header of a response on its own, so that most inputs
// get past the HTTP parser.
func FuzzReplyStatements(f *testing.F) {
	f.Add(200, fuzzAttempt, "7", "6,7", "0-10", "", "", "1500", []byte("result"))
	f.Add(200, "a2", "7", "", "0-10", "", "", "", []byte("result"))
	f.Add(200, fuzzAttempt, "7", "", "0-10", "", "0000000000000000", "", []byte("result"))
	f.Add(503, "", "", "7", "0-5,5-10", "overloaded", "", "", []byte(nil))
	f.Add(404, "", "", "18446744073709551616", "9-3", "wrong_range", "", "", []byte(nil))
	f.Add(200, fuzzAttempt, "-1", ",", "-", "", "", "9223372036854775807", bytes.Repeat([]byte("x"), fuzzMaxBody+1))
	f.Fuzz(func(t *testing.T, status int, attempt, version, versions, ranges, notRun, checksum, service string, body []byte) {
		if checksum == "" {
			checksum = fmt.Sprintf("%016x", xxhash.Sum64(body))
		}
		h := http.Header{}
		for key, value := range map[string]string{
			leafapi.HeaderAttempt: attempt, leafapi.HeaderVersion: version, leafapi.HeaderVersions: versions,
			leafapi.HeaderRanges: ranges, leafapi.HeaderNotRun: notRun, leafapi.HeaderChecksum: checksum, leafapi.HeaderServiceUS: service,
		} {
			h.Set(key, strings.TrimSpace(value))
		}
		resp := &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(bytes.NewReader(body))}
		reply, err := readFuzzedReply(t, resp)
		checkOutcome(t, h, status, reply, err)
	})
}
