package site

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Entry is one entry process.
type Entry struct {
	Number      int
	ID          string
	Zone        string
	Address     string // callers and operators
	PeerAddress string
	site        *Site
	process     *process
	ready       bool      // it has said so; the site's lock guards it
	leftAt      time.Time // when it was marked as leaving; the site's lock guards it
}

// settingsFormat is an entry's settings file.
const settingsFormat = `instance = %q
zone = %q

[listen]
callers = %q
operators = %q
peers = %q

[platform]
address = %q
token = %q

[peer]
key = %q
known = [%s]
%s
`

// AddEntry starts an entry, which the platform's list names from now on.
func (s *Site) AddEntry(number int) (*Entry, error) {
	e, err := s.newEntry(number)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	if err := s.tellInstances(); err != nil {
		return nil, err
	}
	return e, e.start()
}

// newEntry gives an entry its name and addresses. Its ID is new each time:
// instances are replaced, not restarted, and keep nothing.
func (s *Site) newEntry(number int) (*Entry, error) {
	e := &Entry{Number: number, site: s}
	e.ID = fmt.Sprintf("entry-%d-%d", number, s.starts.Add(1))
	if len(s.options.Zones) > 0 {
		e.Zone = s.options.Zones[number%len(s.options.Zones)]
	} else {
		e.Zone = "zone-a"
	}
	var err error
	if e.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	if e.PeerAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	return e, nil
}

// start writes the settings and starts the process.
func (e *Entry) start() error {
	s := e.site
	path := s.path(e.ID + ".toml")
	text := fmt.Sprintf(settingsFormat, e.ID, e.Zone, e.Address, e.Address, e.PeerAddress, s.PlatformURL, PlatformToken, peerKey, s.known(e), s.options.ExtraSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", e.ID, err)
	}
	p, err := startProcess(e.ID, s.path(e.ID+".log"), s.options.Binaries.Fuchsiaroad, []string{"serve", "--settings", path}, noLines)
	e.process = p
	return err
}

// known lists the peer addresses of the other entries, as TOML strings: an
// operator knows them, and a start during an outage of the platform needs them.
func (s *Site) known(e *Entry) string {
	var out []string
	for _, other := range s.Entries() {
		if other != e {
			out = append(out, strconv.Quote(other.PeerAddress))
		}
	}
	return strings.Join(out, ", ")
}

// URL is the base of the entry's HTTP API.
func (e *Entry) URL() string { return "http://" + e.Address }

// WaitReady returns when the entry says that it is ready.
func (e *Entry) WaitReady(most time.Duration) error {
	deadline := time.Now().Add(most)
	for time.Now().Before(deadline) {
		resp, err := e.site.client.http.Get(e.URL() + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				e.site.mu.Lock()
				e.ready = true
				e.site.mu.Unlock()
				return nil
			}
		}
		select {
		case <-e.process.done:
			return fmt.Errorf("%s ended; its log is %s", e.ID, e.site.path(e.ID+".log"))
		case <-time.After(readyPoll):
		}
	}
	return fmt.Errorf("%s was not ready within %v", e.ID, most)
}

// readyPoll is how often readiness is asked for.
const readyPoll = 20 * time.Millisecond

// stopTime bounds a graceful stop.
const stopTime = 60 * time.Second

// Stop replaces the entry as the platform does: it is marked as leaving and asked
// to stop. A nil error says that it exited with 0.
func (e *Entry) Stop() error {
	e.site.mu.Lock()
	e.leftAt = time.Now()
	e.site.mu.Unlock()
	if err := e.site.SetLeaving(e.ID, true); err != nil {
		return err
	}
	err := e.process.stop(stopTime)
	e.remove()
	return err
}

// Kill ends the entry without notice. The platform's list still names it until Forget.
func (e *Entry) Kill() { e.process.kill() }

// Forget takes a killed entry off the platform's list.
func (e *Entry) Forget() error {
	e.remove()
	return e.site.tellInstances()
}

// Restart starts a process that has ended again, with the settings it had.
func (e *Entry) Restart() error {
	e.site.mu.Lock()
	e.ready = false
	e.site.mu.Unlock()
	return e.start()
}

// Freeze stops the process as a pause does; Resume lets it go on.
func (e *Entry) Freeze() error { return e.process.signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (e *Entry) Resume() error { return e.process.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (e *Entry) Terminate() error { return e.process.signal(syscall.SIGTERM) }

// remove takes the entry off the site's own list.
func (e *Entry) remove() {
	s := e.site
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.entries {
		if other == e {
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			return
		}
	}
}
