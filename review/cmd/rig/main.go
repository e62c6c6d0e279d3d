package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripted cases by name. Each returns the breaches of its rule.
var cases = map[string]func(s *site, trouble bool) (breaches []string, err error){
	"failed-part": playFailedPart,
	"relay-cut":   playRelayCut,
	"flood":       playFlood,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the case that the arguments name and writes its record into a folder.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	s, err := newSite(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		s.close()
		os.Exit(exitNotRun)
	}()
	breaches, err := cases[args[0]](s, os.Getenv("TROUBLE") != "0")
	s.close()
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range breaches {
		r.add("BROKEN: %s", b)
	}
	r.add("breaches: %d", len(breaches))
	fmt.Println("breaches:", len(breaches))
	if len(breaches) > 0 {
		fmt.Println("the first:", breaches[0])
		return exitBroken
	}
	return exitHeld
}
