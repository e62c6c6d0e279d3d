package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/watch"
)

// Defaults of the command.
const (
	defaultEvery = 5 * time.Second
	// metricsTimeout bounds one reading of an instance.
	metricsTimeout = 2 * time.Second
)

// metricsFlags are those of the command.
type metricsFlags struct {
	every time.Duration
	count int
	match string
	all   bool // show series that did not change, too
}

// newMetrics builds the command that follows metrics of instances.
func newMetrics(o *options) *cobra.Command {
	f := &metricsFlags{}
	cmd := &cobra.Command{
		Use:   "metrics ADDRESS...",
		Short: "Follow the metrics of several instances",
		Long: `Metrics reads the metrics of each address, IP:port or a URL, again and again, and
prints what changed: counters as their growth a second, histograms as new values a
second with the bounds that 50 and 99 in 100 of them do not exceed, gauges as they
are. An instance that does not answer is said to be so and is asked again.`,
		Example: "  fuchsiactl metrics 10.1.0.9:9464 10.2.0.21:9464 --match hosted --every 2s",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.check(); err != nil {
				return err
			}
			return followMetrics(cmd.Context(), o, f, args, cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&f.every, "every", defaultEvery, "time between two readings")
	cmd.Flags().IntVar(&f.count, "count", 0, "number of reports; 0 goes on until it is interrupted")
	cmd.Flags().StringVar(&f.match, "match", "", "show only series that contain this text")
	cmd.Flags().BoolVar(&f.all, "all", false, "show series that did not change, too")
	return cmd
}

// check looks at the flags.
func (f *metricsFlags) check() error {
	if f.every <= 0 {
		return &usageError{fmt.Errorf("--every: %v must be more than 0", f.every)}
	}
	if f.count < 0 {
		return &usageError{fmt.Errorf("--count: %d must not be negative", f.count)}
	}
	return nil
}

// report is what changed at one instance.
type report struct {
	Instance string         `json:"instance"`
	Error    string         `json:"error,omitempty"`
	Changes  []watch.Change `json:"changes,omitempty"`
}

// followMetrics prints a report of all instances after each interval.
func followMetrics(ctx context.Context, o *options, f *metricsFlags, addresses []string, out io.Writer) error {
	client := &http.Client{Timeout: metricsTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	last := make(map[string]*watch.Reading, len(addresses))
	for _, a := range addresses {
		r, err := watch.Read(ctx, client, a)
		if err != nil {
			continue // the first report says so, if it still does not answer
		}
		last[a] = r
	}
	tick := time.NewTicker(f.every)
	defer tick.Stop()
	for n := 0; f.count == 0 || n < f.count; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		reports := make([]report, len(addresses))
		for i, a := range addresses {
			reports[i] = readAgain(ctx, client, f, a, last)
		}
		if err := printReports(o, out, reports); err != nil {
			return err
		}
	}
	if len(last) == 0 {
		return errors.New("no instance answered")
	}
	return nil
}

// readAgain reads an instance and compares with its last reading.
func readAgain(ctx context.Context, client *http.Client, f *metricsFlags, address string, last map[string]*watch.Reading) report {
	r := report{Instance: address}
	now, err := watch.Read(ctx, client, address)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	before := last[address]
	last[address] = now
	if before == nil {
		r.Error = "first reading: rates come with the next"
		return r
	}
	for _, c := range watch.Changes(before, now) {
		if strings.Contains(c.Series, f.match) && (f.all || c.Kind == watch.Gauge || c.Rate != 0) {
			r.Changes = append(r.Changes, c)
		}
	}
	return r
}

// printReports writes one JSON object a line and instance, or a table.
func printReports(o *options, out io.Writer, reports []report) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(out)
		for _, r := range reports {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	t := &table{header: []string{"INSTANCE", "SERIES", "VALUE", "P50", "P99"}}
	for _, r := range reports {
		if r.Error != "" {
			t.add(r.Instance, r.Error, "", "", "")
		}
		for _, c := range r.Changes {
			t.add(r.Instance, c.Series, changeValue(c), bound(c.P50), bound(c.P99))
		}
	}
	return t.write(out)
}

// changeValue writes a gauge's value, or a rate.
func changeValue(c watch.Change) string {
	if c.Kind == watch.Gauge {
		return strconv.FormatFloat(c.Value, 'g', 6, 64)
	}
	return strconv.FormatFloat(c.Rate, 'g', 4, 64) + "/s"
}

// bound writes a bound of a histogram, "" for none.
func bound(seconds float64) string {
	if seconds == 0 {
		return ""
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Microsecond).String()
}
