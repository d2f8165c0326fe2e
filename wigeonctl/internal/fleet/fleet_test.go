package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/wigeonctl/internal/fleet"
)

// A drain has ended when nobody knows of a flow, also while the list still names a
// balancer that is gone.
func TestDrainEnds(t *testing.T) {
	is := is.New(t)
	is.True(fleet.Remaining{Asked: 8, Answered: 8}.Ended())
	is.True(fleet.Remaining{Asked: 8, Answered: 6, HasReport: true}.Ended())
	is.True(!fleet.Remaining{Asked: 8, Answered: 6}.Ended())
	is.True(!fleet.Remaining{Asked: 8, Answered: 8, Flows: 1}.Ended())
	is.True(!fleet.Remaining{Asked: 8, Answered: 8, Reported: 1, HasReport: true}.Ended())
}
