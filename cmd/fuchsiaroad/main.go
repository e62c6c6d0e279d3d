// Command fuchsiaroad is one entry instance: it takes callers' queries, runs
// them over the leaves and answers them. `fuchsiaroad serve` runs it and
// `fuchsiaroad check` checks its settings.
package main

import (
	"os"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
