package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// kind is a kind of request.
type kind struct {
	method, prefix string
	deadline       time.Duration
	bodyBytes      int
	// onceOnly says that the requests are not idempotent.
	onceOnly bool
}

// outcome is what a client saw of one attempt.
type outcome struct {
	request  string
	instance *instance
	sent     time.Time
	end      time.Time
	status   int // 0: no complete answer
	header   http.Header
	body     []byte
	// kept says that the connection had carried a request before.
	kept bool
	// cut says that the connection ended without a complete answer.
	cut bool
}

// clients sends requests from one zone and collects the outcomes.
type clients struct {
	site     *site
	zone     string
	kind     kind
	interval time.Duration // mean time between two requests of one client
	name     string
	// keepEvery is the number of clients of which one keeps its connection; 0: all do.
	keepEvery int

	mu       sync.Mutex
	outcomes []outcome
}

// run runs n clients until the context ends.
func (c *clients) run(ctx context.Context, n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { c.client(ctx, i) })
	}
	all.Wait()
}

// client sends requests. One client in keepEvery keeps its connection, and opens another when that
// ends; the others open one for each request.
func (c *clients) client(ctx context.Context, number int) {
	var conn net.Conn
	var reader *bufio.Reader
	var at *instance
	connections, carried := 0, 0
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer drop()
	for sequence := 0; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(c.interval))):
		}
		for try := range 2 { // one retry, as the sheets say
			if conn == nil {
				at = c.site.pick(c.zone, number+connections)
				connections++
				var err error
				if conn, err = net.DialTimeout("tcp", at.clients, time.Second); err != nil {
					conn = nil
					continue
				}
				reader, carried = bufio.NewReader(conn), 0
			}
			o := c.ask(conn, reader, outcome{instance: at, kept: carried > 0, request: fmt.Sprintf("%s-%d-%d-%d", c.name, number, sequence, try)})
			carried++
			if number%max(c.keepEvery, 1) != 0 || o.status == 0 || strings.EqualFold(o.header.Get("Connection"), "close") {
				drop()
			}
			if !c.mayRetry(o) {
				break
			}
			drop() // each retry comes on a new connection
		}
	}
}

// mayRetry reports whether a client repeats a request after this outcome.
func (c *clients) mayRetry(o outcome) bool {
	switch {
	case o.status >= 200 && o.status < 300:
		return false
	case o.status == 429 || o.status == 503:
		return true
	default:
		return !c.kind.onceOnly
	}
}

// ask sends one request and reads the answer.
func (c *clients) ask(conn net.Conn, reader *bufio.Reader, o outcome) outcome {
	request := o.request
	body := strings.Repeat("x", c.kind.bodyBytes)
	head := fmt.Sprintf("%s %sq?%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.kind.method, c.kind.prefix, request, hosted.Host,
		hosted.HeaderRequest, request, hosted.HeaderDeadlineMS, c.kind.deadline.Milliseconds())
	if c.kind.bodyBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = conn.SetDeadline(time.Now().Add(c.kind.deadline + time.Second))
	o.sent = time.Now()
	c.site.record.add("client sends %s to %s", request, o.instance.name)
	_, err := io.WriteString(conn, head+"\r\n"+body)
	if err == nil {
		err = o.read(reader, c.kind.method)
	}
	o.end = time.Now()
	var timeout net.Error
	o.cut = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	if err != nil {
		c.site.record.add("client has no complete answer to %s after %v: %v; %s", request, o.end.Sub(o.sent).Round(time.Millisecond), err, c.site.seen.describe(request))
	} else {
		c.site.record.add("client has %d for %s after %v; %s", o.status, request, o.end.Sub(o.sent).Round(time.Millisecond), c.site.seen.describe(request))
	}
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

// read reads a complete answer.
func (o *outcome) read(reader *bufio.Reader, method string) error {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if o.body, err = io.ReadAll(resp.Body); err != nil {
		return err
	}
	o.status, o.header = resp.StatusCode, resp.Header
	if resp.Close {
		o.header.Set("Connection", "close")
	}
	return nil
}
