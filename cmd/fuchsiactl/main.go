// Command fuchsiactl is the tool of operators and experimenters: it asks query
// services, shows instances and quarantine, generates load, and runs stand-ins
// and the demonstration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
