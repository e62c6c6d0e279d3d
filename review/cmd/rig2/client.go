package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// requestNumbers numbers the requests of all clients.
var requestNumbers atomic.Int64

// outcome is what a client saw of one request.
type outcome struct {
	id        string
	node      string
	class     string
	sent, end time.Time
	status    int // 0: no complete answer came
	header    http.Header
	body      []byte
	err       error
	// silent says that the client stopped waiting and the connection had not ended.
	silent bool
}

// clientConn is a client's kept connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	node   *node
}

// dialNode opens a client's connection.
func dialNode(n *node) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", n.clients, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c), node: n}, nil
}

// ask sends one request and waits for its answer for the deadline and a second more.
func (c *clientConn) ask(method, target string, deadline time.Duration, body string) outcome {
	o := outcome{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumbers.Add(1)), node: c.node.name}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, hosted.Host, hosted.HeaderRequest, o.id, hosted.HeaderDeadlineMS, deadline.Milliseconds())
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err := c.Write([]byte(head + "\r\n" + body))
	o.sent = time.Now()
	if err == nil {
		err = o.read(c, method)
	}
	o.end = time.Now()
	if err != nil {
		o.err, o.status = err, 0
		var timeout net.Error
		o.silent = errors.As(err, &timeout) && timeout.Timeout()
	}
	return o
}

// read reads the complete answer.
func (o *outcome) read(c *clientConn, method string) error {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
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

// closes reports whether the client must give up the connection after the answer.
func (o *outcome) closes() bool {
	return o.status == 0 || strings.EqualFold(o.header.Get("Connection"), "close")
}
