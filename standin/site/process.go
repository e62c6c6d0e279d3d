package site

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one started program. It is only ever signalled by its own id.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}

	mu  sync.Mutex
	err error // how it ended
}

// startProcess starts a program with its standard error in the log file, and
// hands its standard output to read until read returns.
func startProcess(name, logPath, binary string, args []string, read func(io.Reader) error) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	readErr := read(out)
	go p.wait(out)
	if readErr != nil {
		p.kill()
		return nil, fmt.Errorf("start %s (its log is %s): %w", name, logPath, readErr)
	}
	return p, nil
}

// wait takes the end of the process.
func (p *process) wait(out io.Reader) {
	_, _ = io.Copy(io.Discard, out)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	_ = p.log.Close()
	close(p.done)
}

// signal sends a signal to a process that still runs.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// stop asks the process to end and waits; a nil error is exit code 0.
func (p *process) stop(most time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(most):
		p.kill()
		return fmt.Errorf("%s did not stop within %v", p.name, most)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s ended: %w", p.name, p.err)
	}
	return nil
}

// kill ends the process at once and waits.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

// readLines reads lines "KEY VALUE" until the handler has enough.
func readLines(handle func(key, value string) (enough bool)) func(io.Reader) error {
	return func(r io.Reader) error {
		scanner := bufio.NewScanner(r)
		for scanner.Scan() {
			key, value, _ := strings.Cut(scanner.Text(), " ")
			if handle(key, value) {
				return nil
			}
		}
		if err := scanner.Err(); err != nil {
			return err
		}
		return errors.New("it ended before it was ready")
	}
}
