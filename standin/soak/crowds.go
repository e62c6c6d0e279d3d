package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/standin/crowd"
	"github.com/fuchsiaroad/fuchsiaroad/standin/hosted"
)

const (
	// crowdDescriptors is the limit on descriptors of the instances that crowds come to, and
	// crowdClients is the size of a crowd: more than that has room for.
	crowdDescriptors = 600
	crowdClients     = 400
	// crowdHeadBytes is the length of the crowds' heads that come close to their end.
	crowdHeadBytes = 16 << 10
)

// clientCrowd has clients of one kind, which never complete a request, come to an instance.
func (r *run) clientCrowd(random *rand.Rand, lasting time.Duration) error {
	kinds := slices.DeleteFunc(slices.Clone(crowd.Kinds), func(k crowd.Kind) bool { return k.Completes })
	kind, n := kinds[random.IntN(len(kinds))], r.instance(random)
	if r.options.Say != nil {
		r.options.Say("%s at %s for %v", kind.Name, n.name, lasting)
	}
	c := crowd.Start(kind, crowd.Target{
		Address: n.address, Request: "POST /one/crowd HTTP/1.1",
		Fields:    fmt.Sprintf("Host: %s\r\n%s: crowd\r\n%s: %d\r\n", hosted.Host, hosted.HeaderRequest, hosted.HeaderDeadlineMS, maxClientTime.Milliseconds()),
		HeadBytes: crowdHeadBytes, BodyBytes: hosted.BodyLimit,
	}, crowdClients)
	defer c.Stop()
	time.Sleep(lasting)
	return nil
}

// countDescriptors returns the number of the instance's open descriptors, 0 if no process runs.
func (n *instance) countDescriptors() int {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return 0
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}
