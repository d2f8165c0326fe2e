package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/owned"
	"wigeonmoor.example/wigeonctl/internal/fleet"
)

const (
	defaultAdminPort = 7790
	drainPeriod      = 2 * time.Second
	tabPadding       = 2
)

// seeing holds the flags of the commands that ask balancers.
type seeing struct {
	balancers string
	instances string
	port      uint
	json      bool
	protocol  string
}

func (s *seeing) flags(flags *flag.FlagSet) {
	flags.StringVar(&s.balancers, "balancers", "", "addresses of balancers' interfaces, with commas")
	flags.StringVar(&s.instances, "instances", "", "file with the published list of instances")
	flags.UintVar(&s.port, "admin-port", defaultAdminPort, "port of the interfaces of listed instances")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	flags.StringVar(&s.protocol, "protocol", "TCP", "protocol of the flow")
}

// addresses returns whom to ask.
func (s *seeing) addresses() ([]string, error) {
	if s.balancers != "" {
		return strings.Split(s.balancers, ","), nil
	}
	if s.instances == "" {
		return nil, usageError("name balancers with -balancers or -instances")
	}
	data, err := os.ReadFile(s.instances)
	if err != nil {
		return nil, fmt.Errorf("read list of instances: %w", err)
	}
	list, err := config.Decode[config.Instances](s.instances, data)
	if err != nil {
		return nil, err
	}
	var peers []netip.AddrPort
	for _, instance := range list.Instances {
		peers = append(peers, instance.Address)
	}
	return fleet.AdminAddresses(peers, uint16(s.port)), nil
}

// fleetCommands ask balancers what they see.
func fleetCommands() []subcommands.Command {
	s := &seeing{}
	return []subcommands.Command{
		&command{name: "fleet", usage: "[flags]", synopsis: "show all balancers and who lags behind", flags: s.flags, run: s.fleet},
		&command{name: "status", usage: "[flags]", synopsis: "show one or all balancers' status", flags: s.flags, run: s.fleet},
		&command{name: "explain", usage: "[flags] CALLER SERVICE", synopsis: "show why a flow goes where it does", flags: s.flags, run: s.explain},
		&command{name: "drain-watch", usage: "[flags] BACKEND-SERVER", synopsis: "wait until no flow is left on a backend server", flags: s.flags, run: s.drainWatch},
	}
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

func (s *seeing) fleet(ctx context.Context, _ []string) error {
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	balancers := fleet.Statuses(ctx, addresses)
	if s.json {
		return printJSON(balancers)
	}
	var newest config.Version
	for _, balancer := range balancers {
		if balancer.Status != nil {
			newest = max(newest, balancer.Status.ConfigVersion)
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(table, "BALANCER\tDOMAIN\tREADY\tCONFIG\tSLOTS\tFLOWS\tNOTE")
	for _, balancer := range balancers {
		fmt.Fprintln(table, row(balancer, newest))
	}
	return table.Flush()
}

func row(balancer fleet.Balancer, newest config.Version) string {
	if balancer.Status == nil {
		return fmt.Sprintf("%s\t-\t-\t-\t-\t-\t%s", balancer.Address, balancer.Problem)
	}
	status := balancer.Status
	note := ""
	if status.ConfigVersion < newest {
		note = fmt.Sprintf("lags behind version %d", newest)
	}
	return fmt.Sprintf("%s\t%s\t%t\t%d\t%d\t%d\t%s", status.Instance, status.Domain, status.Ready, status.ConfigVersion, status.HeldSlots, status.Records, note)
}

func (s *seeing) explain(ctx context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return usageError("explain: name the caller's and the service's address")
	}
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	query := url.Values{"Protocol": {s.protocol}, "Caller": {arguments[0]}, "Service": {arguments[1]}}
	var first error
	for _, address := range addresses {
		var explanation owned.Explanation
		if err := fleet.Get(ctx, address, "/explain", query, &explanation); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		// The owner knows best; without one, every answer is shown.
		if explanation.Held || len(addresses) == 1 {
			return printJSON(explanation)
		}
	}
	if first == nil {
		first = fmt.Errorf("explain: no balancer asked owns the flow; name the owner with -balancers")
	}
	return first
}

func (s *seeing) drainWatch(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("drain-watch: name a backend server")
	}
	addresses, err := s.addresses()
	if err != nil {
		return err
	}
	for {
		remaining, err := fleet.Drain(ctx, addresses, arguments[0])
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s, %d flows on record, %d reported, %d of %d balancers answered\n",
			remaining.Backend, remaining.State, remaining.Flows, remaining.Reported, remaining.Answered, remaining.Asked)
		if remaining.Ended() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPeriod):
		}
	}
}
