package setup_test

import (
	"os"
	"strings"
	"testing"

	"wigeonmoor.example/internal/setup"
)

const validSettings = `[Instance]
Name = entry-1
Domain = lorient
Fabric = brittany-1
[Listen]
Traffic = 127.0.0.1:7700
Peer = 127.0.0.1:7701
[Platform]
URL = http://127.0.0.1:9000
[Callers]
Return = 127.0.0.1:7001
`

// expectProblems checks that parsing settings reports exactly the expected problems.
func expectProblems(t *testing.T, settings, expected string) {
	t.Helper()
	_, err := setup.Parse("wigeond.ini", []byte(settings))
	got := ""
	if err != nil {
		got = err.Error()
	}
	if got != strings.TrimSpace(expected) {
		t.Errorf("got:\n%s\nexpected:\n%s", got, expected)
	}
}

func TestParseReportsProblems(t *testing.T) {
	expectProblems(t, validSettings, "")
	expectProblems(t, validSettings+"[Limits]\nMaxFlow = 5\n",
		`wigeond.ini:13: Limits.MaxFlow: is not a valid key (its value is "5") (the closest valid key is Limits.MaxFlows)`)
	expectProblems(t, strings.Replace(validSettings, "7701", "7700", 1),
		`wigeond.ini: Listen.Peer: 127.0.0.1:7700 is used by two listeners (use another port)`)
	expectProblems(t, strings.Replace(validSettings, "Peer = 127.0.0.1:7701", "Peer = localhost", 1),
		`wigeond.ini:7: Listen.Peer: "localhost": must be an IP address and a port such as 192.0.2.1:7700`)
	expectProblems(t, validSettings+"[Limits]\nMaxFlows = 7\n[Leave]\nLinger = soon\n", `
wigeond.ini:13: Limits.MaxFlows: "7": must be a whole number from 1000 to 100000000
wigeond.ini:15: Leave.Linger: "soon": must be a duration from 0s to 1h`)
	expectProblems(t, validSettings+"[Limits]\nLink = fast\n", `wigeond.ini:13: Limits.Link: "fast": must be a speed from 0.1 to 1000000 Mbit/s`)
	expectProblems(t, validSettings+"[Limits]\nLink = NaN\n", `wigeond.ini:13: Limits.Link: "NaN": must be a speed from 0.1 to 1000000 Mbit/s`)
	expectProblems(t, validSettings+"[Peers]\nAdvertise = entry-1:7701\n",
		`wigeond.ini:13: Peers.Advertise: "entry-1:7701": must be an IP address and a port such as 192.0.2.1:7700`)
	expectProblems(t, strings.Replace(validSettings, "Domain = lorient\n", "", 1),
		`wigeond.ini: Instance.Domain: is missing (Failure domain of this instance.)`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[Instance\nName"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := setup.Parse("fuzz.ini", data)
		if err == nil && settings.Instance.Name == "" {
			t.Fatal("settings without a name were accepted")
		}
	})
}

// TestKeysAreDocumented checks that docs/SETTINGS.md lists each key with its default and
// description.
func TestKeysAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range setup.Keys() {
		expected := "| `" + key.Section + "." + key.Name + "` | required | " + key.Description + " |"
		if key.Default != "" {
			expected = strings.Replace(expected, "required", "`"+key.Default+"`", 1)
		}
		if !strings.Contains(string(page), expected) {
			t.Errorf("docs/SETTINGS.md does not contain the line %s", expected)
		}
	}
}

func TestPeerAddress(t *testing.T) {
	for advertise, expected := range map[string]string{"none": "127.0.0.1:7701", "192.0.2.9:7701": "192.0.2.9:7701"} {
		settings, err := setup.Parse("wigeond.ini", []byte(validSettings+"[Peers]\nAdvertise = "+advertise+"\n"))
		if err != nil || settings.PeerAddress().String() != expected {
			t.Errorf("Advertise = %s: got %s, %v, expected %s", advertise, settings.PeerAddress(), err, expected)
		}
	}
}

// The platform fills in the command line. A value that a deployment does not have is empty there.
func TestOverride(t *testing.T) {
	settings := setup.Settings{ColdOverage: 1, Contracts: []string{"earlier"}}
	for _, assignment := range []string{"Limits.ColdOverage=1.5", "Limits.ColdOverage=", "Platform.Contracts=base,health"} {
		if err := settings.Override(assignment); err != nil {
			t.Errorf("%s: %v", assignment, err)
		}
	}
	if settings.ColdOverage != 1.5 || strings.Join(settings.Contracts, " ") != "base health" {
		t.Errorf("got %v and %v", settings.ColdOverage, settings.Contracts)
	}
	for assignment, want := range map[string]string{
		"Limits.ColdOverage=much": "must be a number",
		"Limits.ColdOverag=2":     "the closest valid key is Limits.ColdOverage",
		"Limits.ColdOverage":      "is not a valid key with a value",
	} {
		if err := settings.Override(assignment); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", assignment, err, want)
		}
	}
}
