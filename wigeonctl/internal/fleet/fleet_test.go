package fleet_test

import (
	"testing"

	"github.com/matryer/is"

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
