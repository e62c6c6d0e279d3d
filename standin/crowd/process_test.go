package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// program and control are the paths of the product's programs, which TestMain builds.
var program, control string

// TestMain builds the programs once.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, control = filepath.Join(dir, "fuchsiaroad"), filepath.Join(dir, "fuchsiactl")
	const commands = "github.com/fuchsiaroad/fuchsiaroad/cmd/"
	cmd := exec.Command("go", "build", "-o", dir, commands+"fuchsiaroad", commands+"fuchsiactl")
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	if err := cmd.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// process is one running process of the product.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	logPath string
	// listens are the addresses at which it accepts connections.
	listens []string

	stop    chan struct{}
	watched sync.WaitGroup
	// Peaks, in bytes: of the resident memory, of bytes received and not read, and of both at a
	// time; and of the number of descriptors.
	resident, unread, memory int64
	descriptors              int
}

// startProcess starts the program and watches what it uses.
func startProcess(t *testing.T, args, env, listens []string) *process {
	t.Helper()
	p := &process{t: t, logPath: filepath.Join(t.TempDir(), "log"), listens: listens, ended: make(chan struct{}), stop: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	p.watched.Go(p.watch)
	t.Cleanup(func() {
		p.unwatch()
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// watchInterval is the time between two looks at what the process uses.
const watchInterval = 20 * time.Millisecond

// watch notes the peaks of what the process uses.
func (p *process) watch() {
	for {
		resident, unread := p.residentBytes(), p.unreadBytes()
		p.resident, p.unread = max(p.resident, resident), max(p.unread, unread)
		p.memory = max(p.memory, resident+unread)
		p.descriptors = max(p.descriptors, p.countDescriptors())
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-time.After(watchInterval):
		}
	}
}

// unwatch ends the watch. The peaks may be read then.
func (p *process) unwatch() {
	select {
	case <-p.stop:
	default:
		close(p.stop)
	}
	p.watched.Wait()
	p.memory = max(p.memory, p.statusBytes("VmHWM:"))
}

// residentBytes returns the resident memory.
func (p *process) residentBytes() int64 { return p.statusBytes("VmRSS:") }

// statusBytes returns a field of the process's status that the kernel gives in kB.
func (p *process) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64) // the kernel writes numbers
			return kb << 10
		}
	}
	return 0
}

// countDescriptors returns the number of open descriptors.
func (p *process) countDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// unreadBytes returns the bytes that the kernel holds for the process on accepted connections.
func (p *process) unreadBytes() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local := make(map[string]bool)
	for _, address := range p.listens {
		local[kernelAddress(address)] = true
	}
	const listening = "0A"
	var sum int64
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		f := strings.Fields(scanner.Text())
		if len(f) < 5 || !local[f[1]] || f[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes numbers
		sum += n
	}
	return sum
}

// kernelAddress returns an IPv4 address and port as /proc/net/tcp writes them.
func kernelAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	ip := a.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}

// isAlive reports whether the process runs.
func (p *process) isAlive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// lastLog returns the end of the log.
func (p *process) lastLog() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-2000):])
}

// check ends the watch and checks that the process lives and stayed within its limits.
func (p *process) check(memory int64, descriptors int) {
	p.t.Helper()
	p.unwatch()
	p.t.Logf("peaks: %d MB resident, %d MB unread, %d MB both, %d descriptors", p.resident>>20, p.unread>>20, p.memory>>20, p.descriptors)
	if !p.isAlive() {
		p.t.Fatalf("the process has ended:\n%s", p.lastLog())
	}
	if p.memory > memory {
		p.t.Errorf("%d MB of memory, of %d", p.memory>>20, memory>>20)
	}
	if p.descriptors > descriptors {
		p.t.Errorf("%d descriptors, of %d", p.descriptors, descriptors)
	}
}

// await waits until a condition holds. The time bounds a failing test only.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	const timeout = time.Minute
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Errorf("%s: not within %v", what, timeout)
}

// freeIP counts the addresses that tests have taken.
var freeIP byte

// nextIP returns a loopback address of the test's own, so that no outgoing connection takes its ports.
func nextIP() string {
	freeIP++
	return net.IPv4(127, 9, 0, freeIP).String()
}
