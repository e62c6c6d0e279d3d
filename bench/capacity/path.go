package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiaroad/fuchsiaroad/config/samples"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/site"
)

// What the path is measured with.
const (
	pathQueries = 600 // at each size
	pathWorkers = 4
	pathWarm    = 8 * time.Second  // until the connections of the share are open
	pathRest    = 3 * time.Second  // until an entry starts to ask quiet leaves itself
	pathQuiet   = 12 * time.Second // without queries, for the cost of control
	entryBinary = "fuchsiaroad"
	ticksPerSec = 100 // of /proc/PID/stat
)

var shardSizes = []int{4, 16, 64, 128}

// pathCost is what one size of site cost its entry.
type pathCost struct {
	queryUS float64 // processor time of a query
	quietUS float64 // processor time of a second without queries
	bytes   float64 // resident memory after the queries
	files   float64 // open files after the queries, nearly all connections to leaves
}

// measurePath measures the processor time of a real entry for whole queries
// over leaf stand-ins that answer after 1 ms.
func measurePath(bin string) ([]Series, error) {
	query := Series{Name: "entry, processor time of a query", Unit: "us", Per: "shards"}
	quiet := Series{Name: "entry, processor time of a quiet second", Unit: "us", Per: "leaves"}
	memory := Series{Name: "entry, resident memory", Unit: "B", Per: "open files"}
	for _, shards := range shardSizes {
		c, err := measureSite(bin, shards)
		if err != nil {
			return nil, fmt.Errorf("%d shards: %w", shards, err)
		}
		leaves := float64(2 * shards)
		query.Points = append(query.Points, Point{float64(shards), c.queryUS})
		quiet.Points = append(quiet.Points, Point{leaves, c.quietUS})
		memory.Points = append(memory.Points, Point{c.files, c.bytes})
	}
	out := []Series{query, quiet, memory}
	for i := range out {
		out[i].Line = fit(out[i].Points)
	}
	return out, nil
}

// measureSite runs one site with one entry.
func measureSite(bin string, shards int) (cost pathCost, err error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return cost, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	port, err := site.FreePorts(2 * shards)
	if err != nil {
		return cost, err
	}
	s, err := site.Start(site.Options{
		Dir: dir, Document: pathDocument(shards, port), Entries: 1, Zones: []string{"zone-a"},
		Binaries: site.Binaries{Fuchsiaroad: filepath.Join(bin, entryBinary), Fuchsiactl: filepath.Join(bin, "fuchsiactl")},
		Leaf:     leaf.Settings{Queue: 64, Service: leaf.Service{MeanUS: 1000, Distribution: leaf.Fixed}},
	})
	if err != nil {
		return cost, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	pid, err := childNamed(entryBinary)
	if err != nil {
		return cost, err
	}
	return measureEntry(pid, s.Entries()[0].URL())
}

// pathDocument is one service over the shards, without hedges.
func pathDocument(shards, port int) *document.Document {
	return samples.Generate(samples.Sizes{
		Site: "capacity", Zones: []string{"zone-a"}, BasePort: port,
		Upstreams: []samples.UpstreamSizes{{Name: "data", Shards: shards, Replicas: 2, Slots: 8, ConnectionLimit: 64}},
		Services:  []document.Service{{Name: "ask", Upstreams: []string{"data"}, Deadline: 2 * time.Second, Idempotent: true, HedgeQuantile: 0.95, RetryBudget: 0.1}},
		Callers:   []document.Caller{{Name: "bench", TokenSHA256: samples.TokenSHA256("bench"), Share: 1, Services: []string{"ask"}, Operator: true}},
	})
}

// measureEntry asks the entry, first to warm it, and reads what that cost.
func measureEntry(pid int, url string) (pathCost, error) {
	time.Sleep(pathWarm)
	if err := ask(url, pathQueries/4); err != nil {
		return pathCost{}, err
	}
	before, err := processorTime(pid)
	if err != nil {
		return pathCost{}, err
	}
	if err := ask(url, pathQueries); err != nil {
		return pathCost{}, err
	}
	asked, err := processorTime(pid)
	if err != nil {
		return pathCost{}, err
	}
	time.Sleep(pathRest)
	resting, err := processorTime(pid)
	if err != nil {
		return pathCost{}, err
	}
	time.Sleep(pathQuiet)
	rested, err := processorTime(pid)
	if err != nil {
		return pathCost{}, err
	}
	resident, err := residentBytes(pid)
	if err != nil {
		return pathCost{}, err
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return pathCost{
		queryUS: float64((asked - before).Microseconds()) / pathQueries,
		quietUS: max(1, float64((rested-resting).Microseconds())/pathQuiet.Seconds()),
		bytes:   resident,
		files:   float64(len(files)),
	}, err
}

// ask sends n queries, a few at once. All must be answered.
func ask(url string, n int) error {
	var group errgroup.Group
	group.SetLimit(pathWorkers)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathWorkers}}
	defer client.CloseIdleConnections()
	for range n {
		group.Go(func() error { return askOnce(client, url) })
	}
	return group.Wait()
}

// askOnce sends one query.
func askOnce(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/services/ask/query", strings.NewReader("q"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+samples.Token("bench"))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// childNamed finds this process's child by the name of its program.
func childNamed(name string) (int, error) {
	paths, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil || len(paths) == 0 {
		return 0, fmt.Errorf("children of a process can't be read on %s", runtime.GOOS)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		for _, field := range strings.Fields(string(data)) {
			comm, err := os.ReadFile("/proc/" + field + "/comm")
			if err == nil && strings.TrimSpace(string(comm)) == name {
				return strconv.Atoi(field)
			}
		}
	}
	return 0, fmt.Errorf("no child runs %s", name)
}

// processorTime is what the process has used so far.
func processorTime(pid int) (time.Duration, error) {
	fields, err := procFields(pid, "stat")
	if err != nil {
		return 0, err
	}
	const user, system = 13, 14
	var ticks int
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, fmt.Errorf("processor time of %d: %w", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSec, nil
}

// residentBytes is the memory that the process holds.
func residentBytes(pid int) (float64, error) {
	fields, err := procFields(pid, "statm")
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, fmt.Errorf("memory of %d: %w", pid, err)
	}
	return float64(pages * os.Getpagesize()), nil
}

// procFields are the fields of one of the process's files. The program's name
// has no spaces here.
func procFields(pid int, file string) ([]string, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(data)), nil
}
