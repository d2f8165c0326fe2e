package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
)

// expectProblems replaces a text in one value and checks that decoding the edited bundle
// reports exactly the expected problems.
func expectProblems(t *testing.T, value config.ValueName, before, after, expected string) {
	t.Helper()
	bundle, err := config.Render(model.HorodisFleet().Documents(), config.Bundle{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	for index := range bundle.Values {
		if bundle.Values[index].Name == value {
			text := strings.Replace(string(bundle.Values[index].Data), before, after, 1)
			bundle.Values[index].Data = []byte(text)
		}
	}
	got := ""
	if _, err := bundle.Decode(); err != nil {
		got = err.Error()
	}
	if got != strings.TrimSpace(expected) {
		t.Errorf("got:\n%s\nexpected:\n%s", got, expected)
	}
}

func TestDecodeReportsProblems(t *testing.T) {
	expectProblems(t, "service/planning", "", "", "")
	expectProblems(t, "service/planning", `"Weight": 100`, `"Wieght": 100`,
		`service/planning:21: unknown field "Wieght" (docs/CONFIGURATION.md lists the fields)`)
	expectProblems(t, "service/planning", `"State": "Active"`, `"State": "Going"`,
		`service/planning: Backends[0].State: "Going" is not a state (use "Active" or "Leaving")`)
	expectProblems(t, "service/planning", `"Weight": 100`, `"Weight": 0`,
		`service/planning: Backends[0].Weight: 0 is not a weight (use 1 to 1000)`)
	expectProblems(t, "service/journal", "198.18.0.1:443", "198.18.0.0:443",
		`service/journal: Address: address TCP 198.18.0.0:443 is claimed by service planning of team team-1 and by service journal of team team-1 (remove one of the two)`)
	expectProblems(t, "service/journal", "journal-1", "planning-1",
		`service/journal: Backends[0].Name: backend server planning-1 is claimed by service planning of team team-1 and by service journal of team team-1 (remove one of the two)`)
	expectProblems(t, "service/journal", "198.18.0.1:443", "192.0.2.1:443",
		`service/journal: Address: 192.0.2.1 is not among the addresses of team team-1 (request the address in team/team-1)`)
}

// A changed hash seed would move every open flow, so Compile rejects it.
func TestCompileRejectsChangedHashSeed(t *testing.T) {
	is := is.New(t)
	documents := model.HorodisFleet().Documents()
	first, err := config.Render(documents, config.Bundle{}, 1)
	is.NoErr(err)
	compiled, err := config.Compile(first, "fabric", nil)
	is.NoErr(err)
	documents.Index.HashSeed++
	second, err := config.Render(documents, first, 2)
	is.NoErr(err)
	_, err = config.Compile(second, "fabric", compiled)
	is.True(err != nil) // the seed differs from the current one
}

// Applying the changes between two bundles to the earlier one results in the later one.
func TestWithChangesRebuildsBundle(t *testing.T) {
	is := is.New(t)
	documents := model.HorodisFleet().Documents()
	first, err := config.Render(documents, config.Bundle{}, 1)
	is.NoErr(err)
	documents.Services = documents.Services[1:]
	documents.Services[0].Backends[0].State = config.Leaving
	second, err := config.Render(documents, first, 2)
	is.NoErr(err)
	changes := second.ChangesSince(first)
	is.Equal(len(changes.Changed), 1) // the value of the journal service
	is.Equal(len(changes.Removed), 1) // the value of the planning service
	rebuilt, err := first.WithChanges(changes, 2, documents.Index.HashSeed)
	is.NoErr(err)
	read, err := rebuilt.Decode()
	is.NoErr(err)
	is.Equal(len(read.Services), 1)
}

// Backend servers of other fabrics get flows only if the balancer's own fabric has no
// eligible one.
func TestCompileSpillsToOtherFabrics(t *testing.T) {
	is := is.New(t)
	documents := model.HorodisFleet().Documents()
	documents.Domains[0].Fabric = "other"
	eligible := func() int {
		bundle, err := config.Render(documents, config.Bundle{}, 1)
		is.NoErr(err)
		compiled, err := config.Compile(bundle, "other", nil)
		is.NoErr(err)
		return len(compiled.ByAddress("TCP", documents.Services[0].Address).Targets())
	}
	is.Equal(eligible(), 4) // the planning service's backend servers in domain-1
	for index := range documents.Services[0].Backends {
		if documents.Services[0].Backends[index].Domain == "domain-1" {
			documents.Services[0].Backends[index].State = config.Leaving
		}
	}
	is.Equal(eligible(), 11) // all remaining ones
}

func FuzzDecode(f *testing.F) {
	bundle, err := config.Render(model.HorodisFleet().Documents(), config.Bundle{}, 1)
	if err != nil {
		f.Fatal(err)
	}
	for _, value := range bundle.Values {
		f.Add(string(value.Name), value.Data)
	}
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		edited := bundle
		edited.Values = append([]config.Value{{Name: config.ValueName(name), Version: 1, Data: data}}, bundle.Values[1:]...)
		if compiled, err := config.Compile(edited, "fabric", nil); err == nil {
			for _, service := range compiled.Services {
				if !service.Address.IsValid() {
					t.Fatal("a service without an address was accepted")
				}
			}
		}
	})
}
