package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"wigeonmoor.example/wigeonctl/internal/fleet"
)

// maxPlannedUtilization is the share of the slots in use up to which evacuation-plan expects short
// queues: above it, the bursts of usual load have to wait.
const maxPlannedUtilization = 0.8

// evacuations prints the evacuations that the balancers have in force, and their progress.
func (f *fleetFlags) evacuations(ctx context.Context, _ []string) error {
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	list, silent, err := fleet.ReadEvacuations(ctx, addresses)
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(list)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "DOMAIN\tBALANCER\tIN FORCE FOR\tOPEN FLOWS\tBUSY\tPACKETS SINCE\tSERVERS\tSERVERS ELSEWHERE")
	for _, e := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", e.Domain, e.Balancer, time.Since(e.Since).Round(time.Second), e.OpenFlows, e.Busy, e.Packets, e.Servers, e.ServersElsewhere)
	}
	if len(silent) > 0 {
		fmt.Fprintf(table, "%d balancers did not answer: %s\n", len(silent), strings.Join(silent, ", "))
	}
	return table.Flush()
}

// evacuationPlan prints whether the other failure domains can carry the load of one that is to be
// evacuated. It returns an error if they cannot.
func (f *fleetFlags) evacuationPlan(ctx context.Context, arguments []string) error {
	if len(arguments) != 1 {
		return usageError("evacuation-plan: expected the name of a failure domain")
	}
	addresses, err := f.addresses()
	if err != nil {
		return err
	}
	reports, err := fleet.ReadBackends(ctx, addresses)
	if err != nil {
		return fmt.Errorf("evacuation-plan: %w", err)
	}
	effects := fleet.PlanEvacuation(arguments[0], reports)
	if f.json {
		return printJSON(effects)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tSERVERS LEFT\tSLOTS LEFT\tSERVERS EVACUATED\tBUSY NOW\tSLOTS IN USE THEN")
	var full []string
	for index := range effects {
		e := &effects[index]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.0f %%\n", e.Service, e.Servers, e.Slots, e.RemovedServers, e.Busy, 100*e.Utilization)
		if !e.Fits(maxPlannedUtilization) {
			full = append(full, e.Service)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if len(full) > 0 {
		return fmt.Errorf("evacuation-plan: the other failure domains have too few slots for %s; add servers there first", strings.Join(full, ", "))
	}
	return nil
}
