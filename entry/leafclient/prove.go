package leafclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/leafapi"
)

// prove puts one health question over a new connection before any request may
// use it. A leaf over its connection limit takes a connection and closes it at
// once; without the question, the first request on it would be lost in a way
// that proves nothing: it might have run, and might have broken the leaf. The
// cost is one exchange per dial, ahead of traffic when connections are warm.
func prove(ctx context.Context, conn net.Conn, address string) error {
	deadline := time.Now().Add(dialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := question(conn, address)
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// question asks for health and reads the whole answer, whatever it says.
func question(conn net.Conn, address string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+leafapi.PathHealth, nil)
	if err != nil {
		return err
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody)); err != nil {
		return err
	}
	if resp.Close {
		return errors.New("the leaf does not keep the connection")
	}
	if n := reader.Buffered(); n > 0 {
		return fmt.Errorf("%d bytes after the answer", n)
	}
	return nil
}
