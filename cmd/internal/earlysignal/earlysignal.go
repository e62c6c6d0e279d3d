// Package earlysignal receives the signals of a serving process from the initialization of
// its packages on. Until a Go program asks for a signal, SIGTERM, SIGINT and SIGHUP end it, and
// initializing the packages of the program takes longer than all else before main. The package
// imports little, so that it is initialized before most others.
package earlysignal

import (
	"os"
	"os/signal"
	"syscall"
)

// maxStops is the number of stop signals that are kept until they are read: the first stops
// gracefully, the second at once.
const maxStops = 2

var (
	stops = make(chan os.Signal, maxStops)
	// hangups has length 1: signals that come in series cause one reload.
	hangups = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangups, syscall.SIGHUP)
}

// Stops returns the channel of SIGTERM and SIGINT, with those that came during the start.
func Stops() <-chan os.Signal { return stops }

// Hangups returns the channel of SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// Restore restores the default actions for a command that does not serve, and applies them
// if a signal came during the start.
func Restore() error {
	signal.Stop(stops)
	signal.Stop(hangups)
	for {
		select {
		case s := <-stops:
			if err := raise(s); err != nil {
				return err
			}
		case s := <-hangups:
			if err := raise(s); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// raise sends a signal to this process.
func raise(s os.Signal) error {
	number, ok := s.(syscall.Signal)
	if !ok {
		return nil
	}
	return syscall.Kill(os.Getpid(), number)
}
