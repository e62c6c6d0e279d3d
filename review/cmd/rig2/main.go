// Command rig2 runs the scripted cases 4 to 8 of the review: it starts the project's program as
// separate processes on loopback addresses, with stand-ins of the store, the leaves and the clients,
// and writes what was sent, answered and run to a file.
package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripted cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*rig) (broken bool, err error){
	"stop-regress": stopRegress,
}

func main() { os.Exit(run()) }

// run runs the case that the arguments name: CASE, BINARY, RECORD.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE BINARY RECORD")
		return exitNotRun
	}
	r, err := newRig(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	time.AfterFunc(maxRunTime, func() {
		r.log("not run: the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.log("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		r.log("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// maxRunTime bounds a case; the longest may take 120 seconds.
const maxRunTime = 115 * time.Second

// trouble reports whether the case runs with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// seedFromEnv returns the seed of the random choices.
func seedFromEnv() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		return n
	}
	return uint64(time.Now().UnixNano())
}
