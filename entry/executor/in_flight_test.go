package executor

import (
	"sync"
	"testing"
)

// TestWaitWhileQueriesComeAndGo waits again and again for the end of the queries in flight while new
// ones begin: the process must not end by that.
func TestWaitWhileQueriesComeAndGo(t *testing.T) {
	const rounds, workers, waiters = 20000, 4, 4
	e := newTestExecutor(t, 1)
	defer e.close()
	req := e.request("ask")
	var running sync.WaitGroup
	stop := make(chan struct{})
	for range waiters {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					if err := e.executor.Wait(t.Context()); err != nil {
						t.Error(err)
						return
					}
				}
			}
		})
	}
	var queries sync.WaitGroup
	for range workers {
		queries.Go(func() {
			for range rounds {
				_ = e.executor.runMeasured(req, func() (outcomeLabels, error) { return outcomeLabels{}, nil })
			}
		})
	}
	queries.Wait()
	close(stop)
	running.Wait()
	if n := e.executor.QueriesInFlight(); n != 0 {
		t.Errorf("%d queries in flight after their end", n)
	}
}
