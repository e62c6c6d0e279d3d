package crowd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// answerTimeout bounds the wait for an answer; a passing test does not depend on its length.
const answerTimeout = 40 * time.Second

// exchange is one client's requests on one connection.
type exchange struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection.
func connect(t *testing.T, address string) *exchange {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &exchange{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends bytes. A refusal may come before all are sent.
func (e *exchange) send(b []byte) *exchange {
	_, _ = e.conn.Write(b)
	return e
}

// answer returns the status of the next answer, and the answer's header; 0 if the connection ended
// without one.
func (e *exchange) answer() (int, http.Header) {
	e.t.Helper()
	if err := e.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		e.t.Fatal(err)
	}
	resp, err := http.ReadResponse(e.reader, nil)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			e.t.Errorf("no answer within %v", answerTimeout)
		}
		return 0, nil
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

// want checks the status of the next answer.
func (e *exchange) want(what string, status int) {
	e.t.Helper()
	if got, _ := e.answer(); got != status {
		e.t.Errorf("%s: status %d, want %d", what, got, status)
	}
}

// singleTarget is what a single client asks for, with time enough on a busy machine.
func (s *hostedSite) singleTarget(path string) Target {
	t := s.target(path)
	t.Fields = requestFields(longTimeout)
	return t
}

// headOf returns a complete head without a body, of n bytes in fields of the given length.
func (t Target) headOf(n, fieldBytes int) []byte {
	open := t.openHead(n-fieldBytes-50, fieldBytes)
	rest := n - len(open) - len("X-Fill: \r\nContent-Length: 0\r\n\r\n")
	return fmt.Appendf(open, "X-Fill: %s\r\nContent-Length: 0\r\n\r\n", strings.Repeat("f", rest))
}

// TestSingleRequestsWithinTheLimits has the largest and slowest requests that the limits allow.
func TestSingleRequestsWithinTheLimits(t *testing.T) {
	s := startSite(t)
	target := s.singleTarget("/one/")
	for _, n := range []int{8_000, 12_000, 16_384} {
		connect(t, s.clients).send(target.headOf(n, 500)).want(fmt.Sprintf("head of %d bytes", n), http.StatusOK)
		connect(t, s.clients).send(target.headOf(n, n/420)).want(fmt.Sprintf("head of %d bytes in 400 fields", n), http.StatusOK)
	}
	body := int(limits.BodyBytes)
	connect(t, s.clients).send(target.sized(body)).want("body with its length", http.StatusOK)
	connect(t, s.clients).send(target.chunked(body, body)).want("body in one chunk", http.StatusOK)
	connect(t, s.clients).send(target.chunked(body, 1)).want("body in chunks of one byte", http.StatusOK)

	slow := connect(t, s.clients)
	for _, part := range [][]byte{target.headOf(300, 20)[:10], target.headOf(300, 20)[10:200]} {
		slow.send(part)
		time.Sleep(limits.HeaderTime / 4)
	}
	slow.send(target.headOf(300, 20)[200:]).want("head in pieces", http.StatusOK)

	kept := connect(t, s.clients)
	for range 3 {
		kept.send(target.sized(100)).want("request on a kept connection", http.StatusOK)
		kept.send(target.chunked(30_000, 1000)).want("request in chunks on a kept connection", http.StatusOK)
	}
	time.Sleep(limits.IdleTime * 4 / 5)
	kept.send(target.sized(100)).want("request after an idle time", http.StatusOK)

	ahead := connect(t, s.clients)
	ahead.send([]byte(strings.Repeat(string(target.sized(1000))+string(target.chunked(1000, 10)), 20)))
	for range 40 {
		ahead.want("request sent ahead", http.StatusOK)
	}
}

// TestSingleRequestsOverTheLimits has requests that exceed a limit of the configuration.
func TestSingleRequestsOverTheLimits(t *testing.T) {
	s := startSite(t)
	before := len(s.leaf.Requests())
	target := s.singleTarget("/one/")
	for _, n := range []int{16_385, 20_000, 200_000, 900_000} {
		connect(t, s.clients).send(target.headOf(n, 500)).want(fmt.Sprintf("head of %d bytes", n), http.StatusRequestHeaderFieldsTooLarge)
	}
	over := int(limits.BodyBytes) + 1
	connect(t, s.clients).send(target.sized(over)).want("body with its length", http.StatusRequestEntityTooLarge)
	connect(t, s.clients).send(target.chunked(over, 1)).want("body in chunks of one byte", http.StatusRequestEntityTooLarge)
	connect(t, s.clients).send([]byte(target.Request+"\r\n")).want("head without its end", http.StatusRequestTimeout)

	late := target
	late.Fields = requestFields(time.Second)
	connect(t, s.clients).send(cut(late.sized(5000), 4999)).want("body that stops after a byte", http.StatusRequestTimeout)
	if status, _ := connect(t, s.clients).answer(); status != 0 {
		t.Errorf("an idle connection was answered %d", status)
	}
	if n := len(s.leaf.Requests()) - before; n != 0 {
		t.Errorf("%d refused requests reached the leaf", n)
	}
}

// TestLimitsOfTheConfigurationInForce changes the limits while a connection is open.
func TestLimitsOfTheConfigurationInForce(t *testing.T) {
	s := startSite(t)
	target := s.singleTarget("/one/")
	kept := connect(t, s.clients)
	kept.send(target.headOf(12_000, 500)).want("head within the first limit", http.StatusOK)
	smaller := limits
	smaller.HeaderBytes = 8_192
	s.configure(t, smaller)
	await(t, "the new limit", func() bool {
		status, _ := connect(t, s.clients).send(target.headOf(12_000, 500)).answer()
		return status == http.StatusRequestHeaderFieldsTooLarge
	})
	kept.send(target.headOf(8_192, 500)).want("head within the new limit", http.StatusOK)
	kept.send(target.headOf(12_000, 500)).want("head over the new limit on an open connection", http.StatusRequestHeaderFieldsTooLarge)
	s.configure(t, limits)
	await(t, "the first limit again", func() bool {
		status, _ := connect(t, s.clients).send(target.headOf(12_000, 500)).answer()
		return status == http.StatusOK
	})

	larger := hosted.Limits{HeaderBytes: 40_000, BodyBytes: 300_000, HeaderTime: 5 * limits.HeaderTime, IdleTime: limits.IdleTime}
	s.configure(t, larger)
	await(t, "the larger limits", func() bool {
		status, _ := connect(t, s.clients).send(target.headOf(40_000, 500)).answer()
		return status == http.StatusOK
	})
	connect(t, s.clients).send(target.sized(300_000)).want("body within the larger limit", http.StatusOK)
	connect(t, s.clients).send(target.sized(300_001)).want("body over the larger limit", http.StatusRequestEntityTooLarge)
	slow := connect(t, s.clients).send(target.headOf(300, 20)[:200])
	time.Sleep(limits.HeaderTime * 4 / 3)
	slow.send(target.headOf(300, 20)[200:]).want("head within the longer time", http.StatusOK)

	shorter := larger
	shorter.IdleTime, shorter.HeaderTime, shorter.BodyBytes = time.Second, time.Second, 1_000
	s.configure(t, shorter)
	await(t, "the smaller limits", func() bool {
		status, _ := connect(t, s.clients).send(target.sized(1_001)).answer()
		return status == http.StatusRequestEntityTooLarge
	})
	connect(t, s.clients).send(target.sized(1_000)).want("body within the smaller limit", http.StatusOK)
	connect(t, s.clients).send([]byte(target.Request+"\r\n")).want("head over the shorter time", http.StatusRequestTimeout)
	if status, _ := connect(t, s.clients).answer(); status != 0 {
		t.Errorf("a connection beyond the shorter idle time was answered %d", status)
	}
}

// TestRefusalWithoutReadingTheBody refuses requests whose body does not arrive.
func TestRefusalWithoutReadingTheBody(t *testing.T) {
	s := startSite(t)
	unknown := s.target("/unknown/")
	connect(t, s.clients).send(cut(unknown.sized(5000), 4000)).want("no route", http.StatusNotFound)
	if err := hosted.ConfigureLimits(s.store, s.version+1, limits); err != nil {
		t.Fatal(err)
	}
	one := s.target("/one/")
	await(t, "the end of the route", func() bool {
		status, _ := connect(t, s.clients).send(cut(one.sized(5000), 4000)).answer()
		return status == http.StatusNotFound
	})
}

// TestSingleRequestsOfServe has requests at and over the limits of the product's own interface.
func TestSingleRequestsOfServe(t *testing.T) {
	s := startServed(t)
	fields := func(caller string) string {
		return "Host: " + s.callers + "\r\nAuthorization: Bearer " + samples.Token(caller) + "\r\n"
	}
	target := Target{Request: "POST /v1/services/ask/query HTTP/1.1", Fields: fields("desk")}
	connect(t, s.callers).send(target.headOf(16_384, 500)).want("head within the limit", http.StatusOK)
	connect(t, s.callers).send(target.headOf(16_385, 500)).want("head over the limit", http.StatusRequestHeaderFieldsTooLarge)
	connect(t, s.callers).send(target.sized(serveBody)).want("body within the limit", http.StatusOK)
	connect(t, s.callers).send(target.chunked(serveBody, 1)).want("body in chunks of one byte within the limit", http.StatusOK)
	connect(t, s.callers).send(target.sized(serveBody+1)).want("body over the limit", http.StatusRequestEntityTooLarge)
	connect(t, s.callers).send(target.chunked(serveBody+1, 1000)).want("body in chunks over the limit", http.StatusRequestEntityTooLarge)
	connect(t, s.callers).send(cut(target.sized(5000), 4999)).want("body that stops after a byte", http.StatusRequestTimeout)
	connect(t, s.callers).send([]byte(target.Request+"\r\n")).want("head without its end", http.StatusRequestTimeout)
	unknown := Target{Request: target.Request, Fields: fields("nobody")}
	connect(t, s.callers).send(cut(unknown.sized(5000), 4999)).want("unknown caller whose body does not arrive", http.StatusUnauthorized)
}
