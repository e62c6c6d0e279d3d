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

// verifyConn runs one health request over a new connection before any other request
// may use it. A leaf that is over its connection limit accepts a connection and
// closes it at once. Without the health request, the first request on it would fail
// with an ambiguous error: it might have run, and might have crashed the leaf. The
// cost is one exchange per dial, ahead of traffic if connections are opened by Warm.
func verifyConn(ctx context.Context, conn net.Conn, address string) error {
	deadline := time.Now().Add(dialTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := exchangeHealth(conn, address)
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// exchangeHealth sends a health request and reads the complete response, of whatever
// status. It fails if the connection can't be reused after it.
func exchangeHealth(conn net.Conn, address string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+leafapi.PathHealth, nil)
	if err != nil {
		return err
	}
	if err := req.Write(conn); err != nil {
		return err
	}
	reader := bufio.NewReader(&limitedReader{r: conn, left: maxHeadBytes + maxHealthBody, tooLong: errHeadTooLong})
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		return errors.New("the leaf closes the connection after its health response")
	}
	if n := reader.Buffered(); n > 0 {
		return fmt.Errorf("%d unsolicited bytes after the health response", n)
	}
	return nil
}
