package hosted

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
)

// readyServer serves the balancer's readiness checks and the metrics.
func (n *Node) readyServer() *http.Server {
	e := echo.New()
	e.GET(n.config.ReadyPath, n.ready)
	e.GET(callerapi.PathMetrics, echo.WrapHandler(n.metrics.Handler()))
	return adminServer(e)
}

// serveMetrics serves the metrics on a separate address until the context ends.
// If it can't listen there it only logs this, since readyServer has the metrics too.
func (n *Node) serveMetrics(ctx context.Context) error {
	l, err := n.listen(ctx, n.config.MetricsAddress, ingress.AdminReceiveBuffer)
	if err != nil {
		n.log.Component("node").Warn("can't listen on the metrics address", "err", err)
		return nil
	}
	e := echo.New()
	e.GET(callerapi.PathMetrics, echo.WrapHandler(n.metrics.Handler()))
	return serveUntil(ctx, adminServer(e), n.newAdminGuard().Listen(l))
}

// ready answers 503 with the reason while the balancer should send no requests.
func (n *Node) ready(c echo.Context) error {
	if reason := n.lifecycle.NotReady("no configuration yet"); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
