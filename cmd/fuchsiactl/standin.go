package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/keyrange"
	"github.com/fuchsiaroad/fuchsiaroad/standin/leaf"
	"github.com/fuchsiaroad/fuchsiaroad/standin/platform"
)

// listenAnywhere is loopback with a port of the system's choice.
const listenAnywhere = "127.0.0.1:0"

// newStandin builds the commands that run stand-ins of outside systems.
func newStandin(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or for leaves",
		Long: `Standin runs small servers that take the place of outside systems in tests and
demonstrations. Their faults are steered over HTTP while they run; docs/STANDINS.md
lists them. They end on SIGTERM or SIGINT.`,
		Args: cobra.ArbitraryArgs,
		RunE: func(*cobra.Command, []string) error {
			return &usageError{errors.New("standin: want platform or leaf")}
		},
	}
	cmd.AddCommand(newStandinPlatform(o), newStandinLeaf(o))
	return cmd
}

// newStandinPlatform builds the command that runs the platform stand-in.
func newStandinPlatform(_ *options) *cobra.Command {
	var listen, settingsFile string
	var s platform.Settings
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the platform stand-in",
		Long:    `Platform prints one line, "listening IP:PORT", when it takes calls.`,
		Example: `  fuchsiactl standin platform --listen 127.0.0.1:7000 --platform-token secret`,
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := readSettings(settingsFile, &s); err != nil {
				return err
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return &usageError{fmt.Errorf("--listen: %w", err)}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "listening", listener.Addr())
			return platform.New(s).Serve(cmd.Context(), listener)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", listenAnywhere, "address to listen on")
	flags.StringVar(&settingsFile, "settings", "", "JSON file of settings, which go over the flags")
	flags.StringVar(&s.Token, "platform-token", "", "bearer token that calls must carry; empty takes any")
	flags.Uint64Var(&s.Seed, "seed", 1, "seed of the faults by share")
	flags.IntVar(&s.History, "history", platform.DefaultHistory, "events kept for watches")
	return cmd
}

// readSettings reads a JSON file over what flags have set; no name reads nothing.
func readSettings(path string, into any) error {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		return &usageError{fmt.Errorf("--settings: %w", err)}
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &usageError{fmt.Errorf("--settings %s: %w", path, err)}
	}
	return nil
}

// leafFlags are the flags of the leaf stand-in.
type leafFlags struct {
	listen   []string
	count    int
	control  string
	fleet    string
	ranges   string
	settings leaf.Settings
}

// fleetLeaf is one leaf of a fleet file.
type fleetLeaf struct {
	Listen string `json:"listen"`
	leaf.Settings
}

// newStandinLeaf builds the command that runs leaf stand-ins.
func newStandinLeaf(_ *options) *cobra.Command {
	f := &leafFlags{settings: leaf.Settings{
		ID: "leaf", Upstream: "upstream", Versions: []uint64{1}, Seed: 1, Slots: 2, Queue: 16,
		ConnectionLimit: 25, DialCostUS: 6000, Poison: "poison", RestartMS: 1000,
		Service: leaf.Service{MeanUS: 10_000, StragglerShare: 0.05, StragglerFactor: 10},
	}}
	var versions []uint
	cmd := &cobra.Command{
		Use:   "leaf",
		Short: "Run leaf stand-ins",
		Long: `Leaf runs one or many leaves in one process. It prints a line "listening IP:PORT"
for each leaf, in order, and then "control IP:PORT" for the listener that steers
them all, when they take calls. Ids of many leaves are ID-0, ID-1 and so on.`,
		Example: `  fuchsiactl standin leaf --id titles-0 --upstream titles --ranges 0-32768
  fuchsiactl standin leaf --count 100 --listen 127.0.0.1:21000
  fuchsiactl standin leaf --fleet leaves.json`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			f.settings.Versions = nil
			for _, v := range versions {
				f.settings.Versions = append(f.settings.Versions, uint64(v))
			}
			return f.run(cmd)
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&f.listen, "listen", []string{listenAnywhere}, "address to listen on; give it again for more leaves")
	flags.IntVar(&f.count, "count", 1, "number of leaves, on ports counted up from --listen")
	flags.StringVar(&f.control, "control", listenAnywhere, "address of the control listener")
	flags.StringVar(&f.fleet, "fleet", "", "JSON file with a list of leaves: their settings and listen; other flags are then unused")
	flags.StringVar(&f.settings.ID, "id", f.settings.ID, "id of the leaf")
	flags.StringVar(&f.settings.Zone, "zone", "", "availability zone")
	flags.StringVar(&f.settings.Upstream, "upstream", f.settings.Upstream, "name of the data set served")
	flags.StringVar(&f.ranges, "ranges", "0-65536", "key ranges held, such as 0-100,200-300")
	flags.UintSliceVar(&versions, "versions", []uint{1}, "index versions served")
	flags.IntVar(&f.settings.Slots, "slots", f.settings.Slots, "requests run at once")
	flags.IntVar(&f.settings.Queue, "queue", f.settings.Queue, "requests that wait")
	flags.IntVar(&f.settings.ConnectionLimit, "connections", f.settings.ConnectionLimit, "connection limit; 0 is none")
	flags.Int64Var(&f.settings.DialCostUS, "dial-cost-us", f.settings.DialCostUS, "cost of a new connection, in microseconds")
	flags.Int64Var(&f.settings.NetworkUS, "network-us", 0, "one-way delay of the network, in microseconds")
	flags.Int64Var(&f.settings.Service.MeanUS, "mean-us", f.settings.Service.MeanUS, "mean service time, in microseconds")
	flags.StringVar((*string)(&f.settings.Service.Distribution), "distribution", string(leaf.Exponential), "exponential or fixed")
	flags.Float64Var(&f.settings.Service.StragglerShare, "straggler-share", f.settings.Service.StragglerShare, "share of stragglers")
	flags.Float64Var(&f.settings.Service.StragglerFactor, "straggler-factor", f.settings.Service.StragglerFactor, "how much longer stragglers take")
	flags.StringVar(&f.settings.Poison, "poison", f.settings.Poison, "text in a body that crashes the leaf; empty is none")
	flags.Int64Var(&f.settings.RestartMS, "restart-ms", f.settings.RestartMS, "time that a crashed leaf is down, in milliseconds")
	flags.Uint64Var(&f.settings.Seed, "seed", f.settings.Seed, "seed of times and faults; each leaf adds its number")
	return cmd
}

// run serves the leaves until the context ends.
func (f *leafFlags) run(cmd *cobra.Command) error {
	leaves, err := f.leaves()
	if err != nil {
		return err
	}
	fleet := leaf.NewFleet()
	for _, l := range leaves {
		if err := addLeaf(fleet, l); err != nil {
			return errors.Join(&usageError{err}, fleet.Close())
		}
	}
	control, err := net.Listen("tcp", f.control)
	if err != nil {
		return errors.Join(&usageError{fmt.Errorf("--control: %w", err)}, fleet.Close())
	}
	announce(cmd.OutOrStdout(), fleet, control.Addr())
	return fleet.Serve(cmd.Context(), control)
}

// announce prints the addresses.
func announce(w io.Writer, fleet *leaf.Fleet, control net.Addr) {
	for _, m := range fleet.Members() {
		fmt.Fprintln(w, "listening", m.Address)
	}
	fmt.Fprintln(w, "control", control)
}

// addLeaf makes a leaf and its listener.
func addLeaf(fleet *leaf.Fleet, l fleetLeaf) error {
	server, err := leaf.New(l.Settings)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("leaf %s: listen: %w", l.ID, err)
	}
	if err := fleet.Add(server, listener); err != nil {
		return errors.Join(err, listener.Close())
	}
	return nil
}

// leaves lists the leaves to run, from the fleet file or the flags.
func (f *leafFlags) leaves() ([]fleetLeaf, error) {
	if f.fleet != "" {
		var leaves []fleetLeaf
		return leaves, readSettings(f.fleet, &leaves)
	}
	ranges, err := keyrange.ParseList(f.ranges)
	if err != nil {
		return nil, &usageError{fmt.Errorf("--ranges: %w", err)}
	}
	f.settings.Ranges = ranges
	addresses, err := f.addresses()
	if err != nil {
		return nil, err
	}
	leaves := make([]fleetLeaf, len(addresses))
	for i, address := range addresses {
		s := f.settings
		s.Seed += uint64(i)
		if len(addresses) > 1 {
			s.ID = fmt.Sprintf("%s-%d", s.ID, i)
		}
		leaves[i] = fleetLeaf{Listen: address, Settings: s}
	}
	return leaves, nil
}

// addresses lists the addresses that the flags ask for.
func (f *leafFlags) addresses() ([]string, error) {
	if f.count == 1 {
		return f.listen, nil
	}
	if f.count < 1 || len(f.listen) != 1 {
		return nil, &usageError{errors.New("--count: want at least 1, and one --listen with it")}
	}
	host, port, err := splitPort(f.listen[0])
	if err != nil {
		return nil, &usageError{fmt.Errorf("--listen: %w", err)}
	}
	addresses := make([]string, f.count)
	for i := range addresses {
		number := 0
		if port != 0 {
			number = port + i
		}
		addresses[i] = net.JoinHostPort(host, fmt.Sprint(number))
	}
	return addresses, nil
}

// splitPort parts an address into host and port number.
func splitPort(address string) (string, int, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err := net.LookupPort("tcp", strings.TrimSpace(text))
	return host, port, err
}
