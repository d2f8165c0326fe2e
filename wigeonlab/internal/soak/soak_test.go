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

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const (
	planning = state.Endpoint(1)
	journal  = state.Endpoint(2)
)

// history is a calm one, in which i-2 is leaving from second 20 on, i-3 has crashed at
// second 20, and a route was dropped at second 20.
func history() *soak.History {
	return &soak.History{
		Lives: []soak.Life{
			{Name: "i-1", Service: "planning"},
			{Name: "i-2", Service: "planning", Drained: at(20)},
			{Name: "i-3", Service: "planning", Ended: at(20)},
		},
		Routes: []soak.Route{
			{Listen: planning, Service: "planning", Added: start},
			{Listen: journal, Service: "journal", Added: start},
			{Listen: 3, Service: "planning", Added: start, Dropped: at(20)},
		},
	}
}

func TestJudge(t *testing.T) {
	first := func(server string, listen state.Endpoint, seconds float64) stand.Arrival {
		return stand.Arrival{At: at(seconds), Server: server, Listen: listen, First: true}
	}
	request := func(server string) stand.Arrival {
		return stand.Arrival{At: at(10), Server: server, Listen: planning, Request: "request 1 of port 1"}
	}
	call := func(server string, err error) soak.Call {
		return soak.Call{Began: at(29), Ended: at(30), Listen: planning, Server: server, Request: "request 1 of port 1", Err: err}
	}
	harm := func(server string) soak.Span { return soak.Span{From: at(27), To: at(28), Server: server} }
	cases := []struct {
		name   string
		change func(h *soak.History)
		rules  string
	}{
		{"calm", func(*soak.History) {}, ""},
		{"packet of another service", func(h *soak.History) { h.Arrivals = []stand.Arrival{first("i-1", journal, 5)} }, "separation"},
		{"packet for another server", func(h *soak.History) { h.Lives[0].Strangers = 1 }, "separation"},
		{"request runs once", func(h *soak.History) { h.Arrivals = []stand.Arrival{request("i-1")} }, ""},
		{"request runs twice", func(h *soak.History) { h.Arrivals = []stand.Arrival{request("i-1"), request("i-2")} }, "once"},
		{"leaving server, soon", func(h *soak.History) { h.Arrivals = []stand.Arrival{first("i-2", planning, 22.9)} }, ""},
		{"leaving server, late", func(h *soak.History) { h.Arrivals = []stand.Arrival{first("i-2", planning, 23.1)} }, "drain"},
		{"leaving server, late, in trouble", func(h *soak.History) {
			h.Arrivals = []stand.Arrival{first("i-2", planning, 23.1)}
			h.Spans = []soak.Span{{From: at(21), To: at(22)}}
		}, ""},
		{"dropped route, late", func(h *soak.History) { h.Arrivals = []stand.Arrival{first("i-1", 3, 23.1)} }, "configuration"},
		{"mixed answer in trouble", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrMixed)}
			h.Spans = []soak.Span{harm("")}
		}, "answer"},
		{"no answer", func(h *soak.History) { h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)} }, "flow"},
		{"no answer in trouble", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Spans = []soak.Span{harm("")}
		}, ""},
		{"no answer, trouble over for more than four seconds", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Spans = []soak.Span{{From: at(23), To: at(24.9)}}
		}, "flow"},
		{"no answer, another server in trouble", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Spans = []soak.Span{harm("i-2")}
		}, "flow"},
		{"no answer, planned work", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrNoAnswer)}
			h.Spans = []soak.Span{{From: at(27), To: at(28), Planned: true}}
		}, "flow"},
		{"reset of a live server's flow in trouble", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-1", router.ErrResetByBalancer)}
			h.Spans = []soak.Span{harm("")}
		}, "flow"},
		{"reset of a dead server's flow", func(h *soak.History) {
			h.Calls = []soak.Call{call("i-3", router.ErrResetByBalancer)}
		}, ""},
		{"flow cannot be opened", func(h *soak.History) {
			h.Calls = []soak.Call{{Began: at(29), Ended: at(30), Listen: planning, Opening: true, Err: router.ErrNoAnswer}}
		}, "open"},
		{"flow to a dropped route", func(h *soak.History) {
			h.Calls = []soak.Call{{Began: at(29), Ended: at(30), Listen: 3, Opening: true, Err: router.ErrResetByBalancer}}
		}, ""},
		{"process ends by itself", func(h *soak.History) { h.Exits = []soak.Exit{{Process: "entry-1"}} }, "process"},
		{"process leaves late", func(h *soak.History) {
			h.Exits = []soak.Exit{{Process: "entry-1", Expected: true, Took: 7 * time.Second}}
		}, "process"},
		{"older version", func(h *soak.History) { h.Reverted = []string{"line"} }, "configuration"},
	}
	for _, c := range cases {
		h := history()
		c.change(h)
		var rules []string
		for _, v := range soak.Judge(h) {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(rules, " "); got != c.rules {
			t.Errorf("%s: broken %q, want %q", c.name, got, c.rules)
		}
	}
}

func TestPlanRepeats(t *testing.T) {
	one, other := soak.Plan(7, 15*time.Second), soak.Plan(7, 15*time.Second)
	if len(one) == 0 || !reflect.DeepEqual(one, other) {
		t.Error("one seed drew two plans")
	}
	if reflect.DeepEqual(one, soak.Plan(8, 15*time.Second)) {
		t.Error("two seeds drew one plan")
	}
}

func TestRunRefusesWhatTheMachineCannotHold(t *testing.T) {
	for balancers, reason := range map[int]string{
		0:   "soak: 0 balancers: must be from 1 to 200",
		201: "soak: 201 balancers: must be from 1 to 200",
	} {
		if _, err := soak.Run(t.Context(), soak.Config{Balancers: balancers}); err == nil || err.Error() != reason {
			t.Errorf("%d balancers: got %v, want %s", balancers, err, reason)
		}
	}
}

// regressions reads the seeds that have failed once, each with its cause.
func regressions(t *testing.T) []uint64 {
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

// TestSoak plays two short runs, one with planned work only, and all seeds that have ever
// failed.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "wigeond")
	if out, err := exec.Command("go", "build", "-o", program, "wigeonmoor.example/wigeond").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const usual = 15 * time.Second
	const unplanned, plannedOnly = 1000, 2
	play(t, program, 240, unplanned, usual/2)
	play(t, program, 241, plannedOnly, usual/2)
	for index, seed := range regressions(t) {
		play(t, program, 242+index%10, seed, usual)
	}
}

func play(t *testing.T, program string, slot int, seed uint64, span time.Duration) {
	t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
		t.Parallel()
		report, err := soak.Run(t.Context(), soak.Config{
			Seed: seed, Slot: slot, Program: program, Directory: t.TempDir(), Balancers: 6, Callers: 40, Span: span,
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
