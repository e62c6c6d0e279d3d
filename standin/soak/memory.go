package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

// memoryInterval is the time between two looks at the memory of the instances.
const memoryInterval = 20 * time.Millisecond

// watchMemory ends each instance that exceeds the memory that its settings grant, as the platform
// does, until stop is closed. It also checks the number of descriptors.
func (r *run) watchMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		for _, n := range r.site.instances {
			resident := n.residentBytes()
			r.mu.Lock()
			r.peakMemory = max(r.peakMemory, resident)
			r.mu.Unlock()
			if most, open := r.site.profile.descriptors, n.countDescriptors(); most > 0 && open > most {
				r.violation(fmt.Sprintf("%d descriptors, of %d allowed", open, most), "", n.name)
			}
			if resident <= hosted.MemoryBytes {
				continue
			}
			r.violation(fmt.Sprintf("%d MB of memory, of %d allowed", resident>>20, hosted.MemoryBytes>>20), "", n.name)
			_ = n.signal(syscall.SIGKILL)
			r.restartKilled(n)
		}
	}
}

// restartKilled starts an instance again that was killed, unless a fault has its process.
func (r *run) restartKilled(n *instance) {
	if !n.busy.TryLock() {
		return
	}
	defer n.busy.Unlock()
	n.disturb(time.Now())
	_ = n.await() // it was killed
	if err := r.site.startInstance(n); err != nil {
		r.violation("an instance did not start again: "+err.Error(), "", n.name)
	}
}

// residentBytes returns the resident memory of the instance's process, 0 if none runs.
func (n *instance) residentBytes() int64 {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // the kernel writes numbers
	return pages * int64(os.Getpagesize())
}
