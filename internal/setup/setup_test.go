package setup_test

import (
	"os"
	"strings"
	"testing"

	"wigeonmoor.example/internal/setup"
)

const valid = `[Instance]
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

// expectProblems compares the problems of settings with the expected text.
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

func TestSettings(t *testing.T) {
	expectProblems(t, valid, "")
	expectProblems(t, valid+"[Limits]\nMaxFlow = 5\n",
		`wigeond.ini:13: Limits.MaxFlow: is no key (its value is "5") (the nearest is Limits.MaxFlows)`)
	expectProblems(t, strings.Replace(valid, "7701", "7700", 1),
		`wigeond.ini: Listen.Peer: 127.0.0.1:7700 is used by two listeners (use another port)`)
	expectProblems(t, strings.Replace(valid, "Peer = 127.0.0.1:7701", "Peer = localhost", 1),
		`wigeond.ini:7: Listen.Peer: "localhost": must be an IP number and a port such as 192.0.2.1:7700`)
	expectProblems(t, valid+"[Limits]\nMaxFlows = 7\n[Leave]\nLinger = soon\n", `
wigeond.ini:13: Limits.MaxFlows: "7": must be a whole number from 1000 to 100000000
wigeond.ini:15: Leave.Linger: "soon": must be a time span from 0s to 1h`)
	expectProblems(t, valid+"[Limits]\nLink = fast\n", `wigeond.ini:13: Limits.Link: "fast": must be a speed from 0.1 to 1000000 Mbit/s`)
	expectProblems(t, valid+"[Limits]\nLink = NaN\n", `wigeond.ini:13: Limits.Link: "NaN": must be a speed from 0.1 to 1000000 Mbit/s`)
	expectProblems(t, valid+"[Peers]\nAdvertise = entry-1:7701\n",
		`wigeond.ini:13: Peers.Advertise: "entry-1:7701": must be an IP number and a port such as 192.0.2.1:7700`)
	expectProblems(t, strings.Replace(valid, "Domain = lorient\n", "", 1),
		`wigeond.ini: Instance.Domain: is missing (Failure domain of this instance.)`)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[Instance\nName"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := setup.Parse("fuzz.ini", data)
		if err == nil && settings.Instance.Name == "" {
			t.Fatal("settings without a name were accepted")
		}
	})
}

// Every key stands in the documentation with its default.
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
			t.Errorf("docs/SETTINGS.md lacks the line %s", expected)
		}
	}
}

func TestPeerAddress(t *testing.T) {
	for advertise, expected := range map[string]string{"none": "127.0.0.1:7701", "192.0.2.9:7701": "192.0.2.9:7701"} {
		settings, err := setup.Parse("wigeond.ini", []byte(valid+"[Peers]\nAdvertise = "+advertise+"\n"))
		if err != nil || settings.PeerAddress().String() != expected {
			t.Errorf("Advertise = %s: got %s, %v, expected %s", advertise, settings.PeerAddress(), err, expected)
		}
	}
}
