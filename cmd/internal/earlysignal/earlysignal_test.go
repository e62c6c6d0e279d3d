package earlysignal

import (
	"os"
	"syscall"
	"testing"
)

// TestSignalsOfTheStartAreKept sends signals before anything has asked for them: they must not
// end the process.
func TestSignalsOfTheStartAreKept(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		received := Stops()
		if s == syscall.SIGHUP {
			received = Hangups()
		}
		if got := <-received; got != s {
			t.Errorf("got %v, want %v", got, s)
		}
	}
}
