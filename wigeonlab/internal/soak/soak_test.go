package soak_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"wigeonmoor.example/internal/state"
	"wigeonmoor.example/platform/stand"
	"wigeonmoor.example/wigeonlab/internal/router"
	"wigeonmoor.example/wigeonlab/internal/soak"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func atSecond(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// The addresses of the routes.
const (
	planningRoute = state.Endpoint(1)
	journalRoute  = state.Endpoint(2)
)

// historyWithoutFaults returns a history without unplanned steps. In it, at second 20, the
// server i-2 started draining, i-3 crashed, and the route with address 3 was dropped.
func historyWithoutFaults() *soak.History {
	return &soak.History{
		Servers: []soak.ServerRecord{
			{Name: "i-1", Service: "planning", Domain: "domain-1"},
			{Name: "i-2", Service: "planning", DrainStarted: atSecond(20)},
			{Name: "i-3", Service: "planning", Ended: atSecond(20)},
		},
		Evacuations: []soak.Evacuation{{Domain: "domain-1", From: atSecond(40), To: atSecond(50)}},
		Routes: []soak.Route{
			{Listen: planningRoute, Service: "planning", Added: start},
			{Listen: journalRoute, Service: "journal", Added: start},
			{Listen: 3, Service: "planning", Added: start, Dropped: atSecond(20)},
		},
	}
}

// TestCheckFindsViolations changes a history without violations and checks which rules are
// reported as violated.
func TestCheckFindsViolations(t *testing.T) {
	firstPacket := func(server string, listen state.Endpoint, seconds float64) stand.Arrival {
		return stand.Arrival{At: atSecond(seconds), Server: server, Listen: listen, First: true}
	}
	request := func(server string) stand.Arrival {
		return stand.Arrival{At: atSecond(10), Server: server, Listen: planningRoute, Request: "request 1 of port 1"}
	}
	call := func(server string, err error) soak.Call {
		return soak.Call{Started: atSecond(29), Ended: atSecond(30), Listen: planningRoute, Server: server, Request: "request 1 of port 1", Err: err}
	}
	disturbance := func(server string) soak.StepRecord {
		return soak.StepRecord{From: atSecond(27), To: atSecond(28), Server: server}
	}
	cases := []struct {
		name   string
		change func(h *soak.History)
		rules  string
	}{
		{"no unplanned step", func(*soak.History) {}, ""},
		{"packet of another service", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-1", journalRoute, 5)} }, "separation"},
		{"packet for another server", func(h *soak.History) { h.Servers[0].MisroutedPackets = 1 }, "separation"},
		{"packet that was misrouted during a restore", func(h *soak.History) { h.Servers[0].MisroutedPackets, h.Servers[0].ExemptPackets = 2, 2 }, ""},
		{"packet that was misrouted after a restore", func(h *soak.History) { h.Servers[0].MisroutedPackets, h.Servers[0].ExemptPackets = 3, 2 }, "separation"},
		{"request runs once", func(h *soak.History) { h.Arrivals = []stand.Arrival{request("i-1")} }, ""},
		{"request runs twice", func(h *soak.History) { h.Arrivals = []stand.Arrival{request("i-1"), request("i-2")} }, "once"},
		{"new flow to a draining server, within the limit", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-2", planningRoute, 22.9)} }, ""},
		{"new flow to a draining server, too late", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-2", planningRoute, 23.1)} }, "drain"},
		{"new flow to a draining server, too late, after a fault", func(h *soak.History) {
			h.Arrivals = []stand.Arrival{firstPacket("i-2", planningRoute, 23.1)}
			h.Steps = []soak.StepRecord{{From: atSecond(21), To: atSecond(22)}}
		}, ""},
		{"new flow to a dropped route, too late", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-1", 3, 23.1)} }, "configuration"},
		{"new flow to an evacuated domain, within the limit", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-1", planningRoute, 44.9)} }, ""},
		{"new flow to an evacuated domain, too late", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-1", planningRoute, 45.1)} }, "evacuation"},
		{"new flow to a domain that was evacuated", func(h *soak.History) { h.Arrivals = []stand.Arrival{firstPacket("i-1", planningRoute, 50.1)} }, ""},
		{"new flow to an evacuated domain, too late, after a fault", func(h *soak.History) {
			h.Arrivals = []stand.Arrival{firstPacket("i-1", planningRoute, 45.1)}
			h.Steps = []soak.StepRecord{{From: atSecond(41), To: atSecond(42)}}
		}, ""},
		{"wrong answer after a fault", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrWrongAnswer)}
			h.Steps = []soak.StepRecord{disturbance("")}
		}, "answer"},
		{"no answer", func(h *soak.History) { h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)} }, "flow"},
		{"no answer after a fault", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Steps = []soak.StepRecord{disturbance("")}
		}, ""},
		{"no answer, more than four seconds after a fault", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Steps = []soak.StepRecord{{From: atSecond(23), To: atSecond(24.9)}}
		}, "flow"},
		{"no answer after a fault of another server", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Steps = []soak.StepRecord{disturbance("i-2")}
		}, "flow"},
		{"no answer after planned work", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Steps = []soak.StepRecord{{From: atSecond(27), To: atSecond(28), Planned: true}}
		}, "flow"},
		{"reset of a running server's flow after a fault", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrResetByBalancer)}
			h.Steps = []soak.StepRecord{disturbance("")}
		}, "flow"},
		{"reset of a crashed server's flow", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-3", router.ErrResetByBalancer)}
		}, ""},
		{"flow cannot be opened", func(h *soak.History) {
			h.Calls = []soak.Call{{Started: atSecond(29), Ended: atSecond(30), Listen: planningRoute, Opening: true, Err: router.ErrNoAnswer}}
		}, "open"},
		{"flow to a dropped route", func(h *soak.History) {
			h.Calls = []soak.Call{{Started: atSecond(29), Ended: atSecond(30), Listen: 3, Opening: true, Err: router.ErrResetByBalancer}}
		}, ""},
		{"process exits without a signal", func(h *soak.History) { h.Exits = []soak.Exit{{Process: "entry-1"}} }, "process"},
		{"process exits too late", func(h *soak.History) {
			h.Exits = []soak.Exit{{Process: "entry-1", Expected: true, Duration: 7 * time.Second}}
		}, "process"},
		{"configuration reverts to an older version", func(h *soak.History) { h.RevertedLines = []string{"line"} }, "configuration"},
	}
	for _, c := range cases {
		h := historyWithoutFaults()
		c.change(h)
		var rules []string
		for _, v := range soak.Check(h) {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(rules, " "); got != c.rules {
			t.Errorf("%s: violated rules %q, want %q", c.name, got, c.rules)
		}
	}
}

func TestDrawPlanIsDeterministic(t *testing.T) {
	first, second := soak.DrawPlan(7, 15*time.Second), soak.DrawPlan(7, 15*time.Second)
	if len(first) == 0 || !reflect.DeepEqual(first, second) {
		t.Error("the same seed produced different plans")
	}
	if reflect.DeepEqual(first, soak.DrawPlan(8, 15*time.Second)) {
		t.Error("two seeds produced the same plan")
	}
}

func TestRunRejectsBalancerCount(t *testing.T) {
	for balancers, reason := range map[int]string{
		0:   "soak: 0 balancers: must be from 1 to 200",
		201: "soak: 201 balancers: must be from 1 to 200",
	} {
		if _, err := soak.Run(t.Context(), soak.Config{Balancers: balancers}); err == nil || err.Error() != reason {
			t.Errorf("%d balancers: got %v, want %s", balancers, err, reason)
		}
	}
}

// readRegressionSeeds returns the seeds at the start of the lines of the regressions file,
// which are followed by the cause of the failure.
func readRegressionSeeds(t *testing.T) []uint64 {
	file, err := os.Open("testdata/regressions.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), " ")
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("testdata/regressions.txt: %v", err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// TestSoak performs two short runs, one of them with planned work only, a run with restores of the
// store, one with an evacuation, and a full run of each seed that has failed before.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "wigeond")
	if out, err := exec.Command("go", "build", "-o", program, "wigeonmoor.example/wigeond").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const defaultFaultWindow = 15 * time.Second
	const faultSeed, plannedOnlySeed, restoreSeed, evacuationSeed = 1000, 2, 2005, 5000
	runSeed(t, program, 240, faultSeed, defaultFaultWindow/2)
	runSeed(t, program, 241, plannedOnlySeed, defaultFaultWindow/2)
	runSeed(t, program, 239, restoreSeed, defaultFaultWindow)
	runSeed(t, program, 238, evacuationSeed, defaultFaultWindow)
	for index, seed := range readRegressionSeeds(t) {
		runSeed(t, program, 242+index%10, seed, defaultFaultWindow)
	}
}

// runSeed performs the run of a seed as a parallel subtest, which must have no violations.
func runSeed(t *testing.T, program string, subnet int, seed uint64, faultWindow time.Duration) {
	t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
		t.Parallel()
		report, err := soak.Run(t.Context(), soak.Config{
			Seed: seed, Subnet: subnet, Program: program, Directory: t.TempDir(), Balancers: 6, Callers: 40, FaultWindow: faultWindow,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range report.Violations {
			t.Errorf("%s at %s: %s", v.Rule, v.At.Sub(report.Started), v.Text)
		}
		if t.Failed() {
			t.Log(report.Plan)
		}
	})
}
