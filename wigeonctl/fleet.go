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
	defaultAdminPort  = 7790
	drainPollInterval = 2 * time.Second
	columnPadding     = 2
)

// fleetFlags holds the flags of the commands that query balancers.
type fleetFlags struct {
	balancers string
	instances string
	adminPort uint
	json      bool
	protocol  string
}

func (f *fleetFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.balancers, "balancers", "", "comma-separated addresses of the balancers' admin interfaces")
	flags.StringVar(&f.instances, "instances", "", "file with the published instance list, used without -balancers")
	flags.UintVar(&f.adminPort, "admin-port", defaultAdminPort, "port of the admin interfaces of the listed instances")
	flags.BoolVar(&f.json, "json", false, "print JSON (fleet, status, evacuations, evacuation-plan)")
	flags.StringVar(&f.protocol, "protocol", "TCP", "protocol of the flow, TCP or UDP (explain)")
}

// addresses returns the addresses of the admin interfaces to query. It returns a usageError
// if neither -balancers nor -instances is set, or an error if the list cannot be read.
func (f *fleetFlags) addresses() ([]string, error) {
	if f.balancers != "" {
		return strings.Split(f.balancers, ","), nil
	}
	if f.instances == "" {
		return nil, usageError("specify the balancers with -balancers or -instances")
	}
	data, err := os.ReadFile(f.instances)
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	list, err := config.Decode[config.Instances](f.instances, data)
	if err != nil {
		return nil, err
	}
	var peers []netip.AddrPort
	for _, instance := range list.Instances {
		peers = append(peers, instance.Address)
	}
	return fleet.AdminAddresses(peers, uint16(f.adminPort)), nil
}

// fleetCommands returns the commands that query balancers.
func fleetCommands() []subcommands.Command {
	f := &fleetFlags{}
	return []subcommands.Command{
		&command{name: "fleet", usage: "[flags]", synopsis: "show the status of balancers and which ones have an outdated configuration", flags: f.register, run: f.fleet},
		&command{name: "status", usage: "[flags]", synopsis: "show the status of balancers, same as fleet", flags: f.register, run: f.fleet},
		&command{name: "explain", usage: "[flags] CALLER SERVICE", synopsis: "show which backend server a flow is sent to and why", flags: f.register, run: f.explain},
		&command{name: "evacuations", usage: "[flags]", synopsis: "show the failure domains under evacuation and how far it is, with Tagged only", flags: f.register, run: f.evacuations},
		&command{name: "evacuation-plan", usage: "[flags] FAILURE-DOMAIN", synopsis: "show whether the other failure domains can carry the load, with Tagged only", flags: f.register, run: f.evacuationPlan},
		&command{name: "drain-watch", usage: "[flags] BACKEND-SERVER", synopsis: "wait until a backend server has no open flows", flags: f.register, run: f.drainWatch},
	}
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

func (f *fleetFlags) fleet(ctx context.Context, _ []string) error {
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	balancers := fleet.ReadStatuses(ctx, addresses)
	if f.json {
		return printJSON(balancers)
	}
	var newest config.Version
	for _, balancer := range balancers {
		if balancer.Status != nil {
			newest = max(newest, balancer.Status.ConfigVersion)
		}
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "BALANCER\tDOMAIN\tREADY\tCONFIG\tSLOTS\tFLOWS\tNOTE")
	for _, balancer := range balancers {
		fmt.Fprintln(table, formatRow(balancer, newest))
	}
	return table.Flush()
}

// formatRow returns a balancer's row of the table.
func formatRow(balancer fleet.Balancer, newest config.Version) string {
	if balancer.Status == nil {
		return fmt.Sprintf("%s\t-\t-\t-\t-\t-\t%s", balancer.Address, balancer.Problem)
	}
	status := balancer.Status
	note := ""
	if status.ConfigVersion < newest {
		note = fmt.Sprintf("configuration is older than version %d", newest)
	}
	return fmt.Sprintf("%s\t%s\t%t\t%d\t%d\t%d\t%s", status.Instance, status.Domain, status.Ready, status.ConfigVersion, status.HeldSlots, status.Records, note)
}

func (f *fleetFlags) explain(ctx context.Context, arguments []string) error {
	if len(arguments) != 2 {
		return usageError("explain: expected the address and port of the caller and of the service")
	}
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	query := url.Values{"Protocol": {f.protocol}, "Caller": {arguments[0]}, "Service": {arguments[1]}}
	var firstErr error
	for _, address := range addresses {
		var explanation owned.Explanation
		if err := fleet.Get(ctx, address, "/explain", query, &explanation); err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		// Only the owner has the authoritative state of the flow. If a single balancer is
		// queried, its answer is printed in any case.
		if explanation.Held || len(addresses) == 1 {
			return printJSON(explanation)
		}
	}
	if firstErr == nil {
		firstErr = fmt.Errorf("explain: none of the queried balancers owns the flow; specify the owner with -balancers")
	}
	return firstErr
}

func (f *fleetFlags) drainWatch(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("drain-watch: expected the name of a backend server")
	}
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	for {
		status, err := fleet.ReadDrainStatus(ctx, addresses, arguments[0])
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s, %d flows on record, %d reported, %d of %d balancers answered\n",
			status.Backend, status.State, status.OwnedFlows, status.ReportedFlows, status.Answered, status.Queried)
		if status.Drained() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}
