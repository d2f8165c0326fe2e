package fleet_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/internal/tagged"
	"wigeonmoor.example/wigeonctl/internal/fleet"
)

// A backend server is drained when neither the balancers nor its load report count an open
// flow. If a balancer does not answer, for example because it has stopped but is still on the instance list, a
// load report is required.
func TestDrained(t *testing.T) {
	is := is.New(t)
	is.True(fleet.DrainStatus{Queried: 8, Answered: 8}.Drained())
	is.True(fleet.DrainStatus{Queried: 8, Answered: 6, HasReport: true}.Drained())
	is.True(!fleet.DrainStatus{Queried: 8, Answered: 6}.Drained())
	is.True(!fleet.DrainStatus{Queried: 8, Answered: 8, OwnedFlows: 1}.Drained())
	is.True(!fleet.DrainStatus{Queried: 8, Answered: 8, ReportedFlows: 1, HasReport: true}.Drained())
}

// The plan of an evacuation must count each server once, the load of all balancers, and neither
// draining servers nor those that are evacuated already.
func TestPlanEvacuation(t *testing.T) {
	is := is.New(t)
	report := func(busy int) []tagged.BackendStatus {
		return []tagged.BackendStatus{
			{Backend: "i-1", Service: "planning", Domain: "lorient", Standing: state.Serving, Slots: 2, Busy: busy},
			{Backend: "i-2", Service: "planning", Domain: "vannes", Standing: state.Serving, Slots: 2, Busy: busy},
			{Backend: "i-3", Service: "planning", Domain: "rennes", Standing: state.Serving, Slots: 2, Evacuated: true},
			{Backend: "i-4", Service: "planning", Domain: "vannes", Standing: state.Draining, Slots: 2},
			{Backend: "i-5", Service: "journal", Domain: "lorient", Standing: state.Serving, Slots: 2},
		}
	}
	effects := fleet.PlanEvacuation("lorient", [][]tagged.BackendStatus{report(1), report(0)})
	is.Equal(effects, []fleet.EvacuationEffect{
		{Service: "journal", RemovedServers: 1},
		{Service: "planning", Servers: 1, Slots: 2, RemovedServers: 2, Busy: 2, Utilization: 1},
	})
	is.True(!effects[0].Fits(0.8)) // no server is left
	is.True(!effects[1].Fits(0.8))
	is.True(effects[1].Fits(1))
}

// A balancer that does not answer must not hide the evacuations of the others.
func TestReadEvacuations(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/evacuations")
		_, _ = w.Write([]byte(`[{"Domain":"lorient","OpenFlows":3}]`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	list, silent, err := fleet.ReadEvacuations(context.Background(), []string{address, "127.0.0.1:1"})
	is.NoErr(err)
	is.Equal(silent, []string{"127.0.0.1:1"})
	is.Equal(list, []fleet.Evacuation{{Balancer: address, EvacuationStatus: tagged.EvacuationStatus{Domain: "lorient", OpenFlows: 3}}})
	_, _, err = fleet.ReadEvacuations(context.Background(), []string{"127.0.0.1:1"})
	is.True(err != nil)
}
