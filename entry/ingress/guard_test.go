package ingress

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testMemory has room for the idle connections of the tests.
const testMemory = 4 << 20

// newTestGuard returns a guard for a number of connections.
func newTestGuard(connections int) (g *Guard, rejected map[Reason]int) {
	rejected = make(map[Reason]int)
	return NewGuard(Config{
		Limits: func() Limits { return Limits{} }, Connections: func() int { return connections }, Memory: func() int64 { return testMemory },
		OnReject: func(r Reason) { rejected[r]++ },
	}), rejected
}

// admitPipe admits one end of a pipe, which is closed at the end of the test.
func admitPipe(t *testing.T, g *Guard) *Conn {
	t.Helper()
	inner, client := net.Pipe()
	t.Cleanup(func() { _ = inner.Close(); _ = client.Close() })
	return g.admit(inner)
}

// isOpen reports whether a connection counts.
func isOpen(c *Conn) bool { return c.state != stateClosed }

// TestNewConnectionReplacesTheOldestIdleOne checks the order in which connections are closed.
func TestNewConnectionReplacesTheOldestIdleOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, rejected := newTestGuard(3)
		running, idle, arriving := admitPipe(t, g), admitPipe(t, g), admitPipe(t, g)
		g.run(running)
		g.finish(idle)
		g.begin(arriving)
		if c := admitPipe(t, g); c == nil || isOpen(idle) || !isOpen(arriving) || !isOpen(running) {
			t.Fatal("the idle connection was not the one to be closed")
		}
		start := time.Now()
		if c := admitPipe(t, g); c == nil || !isOpen(running) {
			t.Fatal("no connection was closed for a new one")
		}
		if waited := time.Since(start); waited != defaultMinLifetime {
			t.Errorf("a connection was closed after %v, want %v", waited, defaultMinLifetime)
		}
		if rejected[ReasonIdle] != 2 {
			t.Errorf("rejected: %v", rejected)
		}
	})
}

// TestRunningRequestsAreNotClosed has a new connection come while all others run requests.
func TestRunningRequestsAreNotClosed(t *testing.T) {
	g, rejected := newTestGuard(2)
	for range 2 {
		g.run(admitPipe(t, g))
	}
	if admitPipe(t, g) != nil || rejected[ReasonConnections] != 1 || g.Usage().Connections != 2 {
		t.Errorf("a connection over the limit: %v, %+v", rejected, g.Usage())
	}
	if g.mayRun() {
		t.Error("all connections may run requests, and none is left for others")
	}
}

// TestLargeRequestsLeaveMemoryToSmallOnes fills the memory with large requests that run.
func TestLargeRequestsLeaveMemoryToSmallOnes(t *testing.T) {
	g, _ := newTestGuard(100)
	for {
		c := admitPipe(t, g)
		g.begin(c)
		if c.Reserve(largeRequest+1) != nil {
			break
		}
		g.run(c)
	}
	small := admitPipe(t, g)
	g.begin(small)
	if err := small.Reserve(requestCost); err != nil {
		t.Errorf("a small request beside large ones: %v", err)
	}
	if used := g.Usage().MemoryBytes; used > testMemory {
		t.Errorf("%d bytes in use, of %d", used, testMemory)
	}
}

// TestOldestArrivingRequestIsEnded fills the memory with requests that do not end.
func TestOldestArrivingRequestIsEnded(t *testing.T) {
	g, rejected := newTestGuard(100)
	var all []*Conn
	for rejected[ReasonMemory] == 0 {
		c := admitPipe(t, g)
		g.begin(c)
		if err := c.Reserve(largeRequest + 1); err != nil {
			t.Fatalf("after %d requests: %v", len(all), err)
		}
		all = append(all, c)
	}
	if !g.wasEvicted(all[0]) || g.wasEvicted(all[1]) {
		t.Error("the oldest request was not the one to be ended")
	}
	if err := all[0].Reserve(1); !errors.Is(err, ErrNoMemory) {
		t.Errorf("an ended request reserves memory: %v", err)
	}
	if _, err := all[0].Conn.Read(make([]byte, 1)); !isTimeout(err) {
		t.Errorf("an ended request reads: %v", err)
	}
	for _, c := range all {
		_ = c.Close()
	}
	if u := g.Usage(); u != (Usage{}) {
		t.Errorf("in use after all connections have ended: %+v", u)
	}
}

// TestEndedRequestLeavesTheLane ends a request, and closes a connection for a new one, while they
// wait in a lane: what they hold has to become free at once.
func TestEndedRequestLeavesTheLane(t *testing.T) {
	ends := map[string]func(g *Guard, c *Conn){
		"request ended for lack of memory": func(g *Guard, c *Conn) { g.evict(c) },
		"connection closed for a new one":  func(g *Guard, c *Conn) { g.detach(c) },
	}
	for name, end := range ends {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, before the wait %v", name, before), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g, _ := newTestGuard(100)
					for range chunkLaneSize {
						holder := admitPipe(t, g)
						if !holder.chunks.enter(time.Now(), holder.isEnded) {
							t.Fatal("no place in an empty lane")
						}
					}
					c := admitPipe(t, g)
					g.begin(c)
					endLocked := func() {
						g.mu.Lock()
						defer g.mu.Unlock()
						end(g, c)
					}
					if before {
						endLocked()
					} else {
						time.AfterFunc(time.Second, endLocked)
					}
					start := time.Now()
					if c.chunks.enter(start.Add(time.Hour), c.isEnded) {
						t.Fatal("a place beyond the size of the lane")
					}
					if waited := time.Since(start); waited > time.Second {
						t.Errorf("waited %v in the lane after the end", waited-time.Second)
					}
				})
			})
		}
	}
}

// TestStalledAnswersAreBounded has clients that do not take their answers.
func TestStalledAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGuard(100)
		answer := make([]byte, testMemory/16)
		failed := make(chan error, 3)
		for range 3 {
			c := admitPipe(t, g)
			g.run(c)
			go func() {
				_, err := c.Write(answer)
				failed <- err
				_ = c.Close()
			}()
		}
		time.Sleep(stallTime + time.Millisecond)
		synctest.Wait()
		if len(failed) != 1 || g.Usage().MemoryBytes != 2*int64(len(answer)) {
			t.Errorf("%d answers were given up, %+v in use", len(failed), g.Usage())
		}
		time.Sleep(defaultIdleTime)
		synctest.Wait()
		if u := g.Usage(); len(failed) != 3 || u != (Usage{}) {
			t.Errorf("%d answers were given up, %+v in use", len(failed), u)
		}
	})
}
