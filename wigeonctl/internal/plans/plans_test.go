package plans_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/wigeonctl/internal/plans"
)

func render(t *testing.T, documents config.Documents, version config.Version) config.Bundle {
	t.Helper()
	bundle, err := config.Render(documents, config.Bundle{}, version)
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

// A service whose backend servers are all leaving has no capacity for new flows.
func TestComputeReportsNoCapacity(t *testing.T) {
	is := is.New(t)
	before := render(t, model.HorodisFleet().Documents(), 1)
	documents := model.HorodisFleet().Documents()
	for index := range documents.Services[1].Backends {
		documents.Services[1].Backends[index].State = config.Leaving
	}
	effects, err := plans.Compute(before, render(t, documents, 2), plans.Assumptions{OpenFlows: 1000})
	is.NoErr(err)
	withoutCapacity := 0
	for _, effect := range effects {
		if effect.NoCapacity {
			withoutCapacity++
			is.Equal(effect.Service, "journal")
			is.Equal(effect.Exceptions, 1000)
		}
	}
	is.Equal(withoutCapacity, 1)
}

// expectImport imports rows and compares the backend servers of the service journal, or the
// problems of the import, with the expected text.
func expectImport(t *testing.T, rows, expected string) {
	t.Helper()
	documents := model.HorodisFleet().Documents()
	got := ""
	if err := plans.Import("assets.csv", strings.NewReader(rows), &documents); err != nil {
		got = err.Error()
	} else {
		for _, backend := range documents.Services[1].Backends {
			got += backend.Name + " " + string(backend.State) + "\n"
		}
	}
	if strings.TrimSpace(got) != strings.TrimSpace(expected) {
		t.Errorf("got:\n%s\nexpected:\n%s", got, expected)
	}
}

func TestImport(t *testing.T) {
	expectImport(t, "Service,Name,Domain,Address\njournal,journal-1,domain-1,192.0.2.1:5555\njournal,journal-9,domain-1,192.0.2.9:5555\n",
		"journal-1 Active\njournal-2 Leaving\njournal-3 Leaving\njournal-4 Leaving\njournal-9 Active")
	expectImport(t, "Service,Name,Domain,Address,Weight\njournal,journal-1,domain-1,here,much\n", `
assets.csv:2: Address: "here" is not an address (write it as 192.0.2.7:5555)
assets.csv:2: Weight: "much" is not a number`)
	expectImport(t, "Service,Name,Domain,Address\narchive,a-1,domain-1,192.0.2.1:5555\n",
		`assets.csv: Service: "archive" is not a service (create the value of the service first)`)
}
