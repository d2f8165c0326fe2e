package owned_test

import (
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/logs"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/place"
	"wigeonmoor.example/internal/ring"
)

var (
	scenarioFiles = flag.String("scenarios", "../../scenarios/*.txtar", "files of the scenarios to run")
	scenarioLog   = flag.Bool("scenariolog", false, "print the balancers' log lines")
	// The seed is fixed so that CI gets the same result in every run. Zero draws a new one.
	rapidSeed   = flag.String("propertyseed", "20261204", "seed of the properties")
	rapidChecks = flag.String("checks", "25", "runs of each property")
)

func TestMain(m *testing.M) {
	// Each check of a property takes about a second. make properties runs more of them.
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": *rapidChecks, "rapid.seed": *rapidSeed} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// synctestT lets testscript run a script inside a synctest bubble, where subtests and
// parallel tests are not allowed.
type synctestT struct{ *testing.T }

func (b synctestT) Run(_ string, f func(testscript.T)) { f(b) }
func (b synctestT) Parallel()                          {}
func (b synctestT) Verbose() bool                      { return testing.Verbose() }

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(*scenarioFiles)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in %s: %v", *scenarioFiles, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				state := &scenario{}
				testscript.RunT(synctestT{t}, testscript.Params{
					Files: []string{file},
					Cmds:  state.commands(),
				})
			})
		})
	}
}

// scenario is the state that the commands of a scenario file act on.
type scenario struct {
	settings  model.Config
	fleet     model.FleetConfig
	sim       *model.Simulation
	documents config.Documents
	marks     map[string]time.Time
}

type scenarioCommand = func(ts *testscript.TestScript, neg bool, args []string)

// commands returns the commands of the scenario language; see docs/SCENARIOS.md.
func (s *scenario) commands() map[string]scenarioCommand {
	node := func(act func(*model.Node)) scenarioCommand {
		return func(ts *testscript.TestScript, _ bool, args []string) {
			for _, name := range args {
				found := s.sim.Node(name)
				if found == nil {
					ts.Fatalf("no balancer %q", name)
				}
				act(found)
			}
		}
	}
	return map[string]scenarioCommand{
		"fleet":    s.startFleet,
		"open":     s.open,
		"run":      s.run,
		"crash":    node(func(n *model.Node) { s.sim.Kill(n) }),
		"restart":  node(func(n *model.Node) { s.sim.Start(n) }),
		"leave":    node(func(n *model.Node) { s.sim.Leave(n) }),
		"freeze":   node(func(n *model.Node) { s.sim.Pause(n) }),
		"thaw":     node(func(n *model.Node) { s.sim.Resume(n) }),
		"stale":    node(func(n *model.Node) { n.PlatformUnreachable = true }),
		"start":    s.start,
		"cut":      s.cut,
		"heal":     func(*testscript.TestScript, bool, []string) { s.sim.Heal() },
		"platform": s.platform,
		"publish":  s.publish,
		"halt":     s.halt,
		"report":   s.report,
		"ask":      func(*testscript.TestScript, bool, []string) { s.sim.Callers.RequestAll() },
		"mark":     func(_ *testscript.TestScript, _ bool, args []string) { s.marks[args[0]] = time.Now() },
		"expect":   s.expect,
	}
}

func parseNumber(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)
	return value
}

func parseDuration(ts *testscript.TestScript, text string) time.Duration {
	value, err := time.ParseDuration(text)
	ts.Check(err)
	return value
}

// parseOptions parses Key=value arguments.
func parseOptions(ts *testscript.TestScript, args []string) map[string]string {
	values := make(map[string]string)
	for _, argument := range args {
		key, value, found := strings.Cut(argument, "=")
		if !found {
			ts.Fatalf("argument %q is not of the form Key=value", argument)
		}
		values[key] = value
	}
	return values
}

func (s *scenario) startFleet(ts *testscript.TestScript, _ bool, args []string) {
	s.fleet = model.HorodisFleet()
	s.settings = model.Config{Seed: 1, Delay: hopDelay, ControlBytesPerSecond: controlBytes, Log: logr.Discard()}
	for key, value := range parseOptions(ts, args) {
		switch key {
		case "Balancers":
			s.fleet.Balancers = parseNumber(ts, value)
		case "Domains":
			s.fleet.Domains = parseNumber(ts, value)
		case "Seed":
			s.settings.Seed = uint64(parseNumber(ts, value))
		case "Idle":
			s.fleet.IdleTimeout = parseDuration(ts, value)
		case "LossPercent":
			s.settings.Loss = float64(parseNumber(ts, value)) / 100
		default:
			ts.Fatalf("fleet: unknown key %q", key)
		}
	}
	if *scenarioLog {
		s.settings.Log = logs.New(os.Stdout)
	}
	s.documents = s.fleet.Documents()
	s.settings.Instances = s.fleet.Instances()
	s.settings.Documents = s.documents
	s.marks = make(map[string]time.Time)
	sim, err := model.New(s.settings)
	ts.Check(err)
	s.sim = sim
	sim.Run(5 * time.Second)
}

func (s *scenario) service(ts *testscript.TestScript, name string) *config.Service {
	for index := range s.documents.Services {
		if s.documents.Services[index].Name == name {
			return &s.documents.Services[index]
		}
	}
	ts.Fatalf("no service %q", name)
	return nil
}

// open starts flows: open SERVICE COUNT [Over=1s] [Talk=5s] [Life=0s].
func (s *scenario) open(ts *testscript.TestScript, _ bool, args []string) {
	flowConfig := model.FlowConfig{Service: *s.service(ts, args[0])}
	over := time.Second
	for key, value := range parseOptions(ts, args[2:]) {
		switch key {
		case "Over":
			over = parseDuration(ts, value)
		case "Talk":
			flowConfig.RequestInterval = parseDuration(ts, value)
		case "Life":
			flowConfig.Lifetime = parseDuration(ts, value)
		default:
			ts.Fatalf("open: unknown key %q", key)
		}
	}
	s.sim.Callers.StartFlows(parseNumber(ts, args[1]), over, flowConfig)
}

func (s *scenario) run(ts *testscript.TestScript, _ bool, args []string) {
	s.sim.Run(parseDuration(ts, args[0]))
}

// start adds balancers to those the fleet began with: start NUMBER...
func (s *scenario) start(ts *testscript.TestScript, _ bool, args []string) {
	for _, argument := range args {
		s.sim.Add(s.fleet.Instance(parseNumber(ts, argument) - 1))
	}
}

// cut drops all traffic between failure domains or balancers: cut ONE OTHER...
func (s *scenario) cut(_ *testscript.TestScript, _ bool, args []string) {
	for _, other := range args[1:] {
		s.sim.Partition(args[0], other)
	}
}

func (s *scenario) platform(ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "down":
		s.sim.PlatformDown = true
	case "up":
		s.sim.PlatformDown = false
	default:
		ts.Fatalf("platform: the argument must be up or down")
	}
}

// publish changes a copy of a service and publishes it. The forms are publish SERVICE
// leave|activate|remove BACKEND, publish SERVICE add NUMBER, publish SERVICE weight BACKEND
// WEIGHT, publish SERVICE limit NEW-PER-SECOND and publish SERVICE drain|reset SPAN.
func (s *scenario) publish(ts *testscript.TestScript, _ bool, args []string) {
	s.documents.Services = append([]config.Service(nil), s.documents.Services...)
	service := s.service(ts, args[0])
	service.Backends = append([]config.Backend(nil), service.Backends...)
	index := -1
	for at, backend := range service.Backends {
		if backend.Name == args[2] {
			index = at
		}
	}
	if index < 0 && args[1] != "add" && args[1] != "limit" && args[1] != "drain" && args[1] != "reset" {
		ts.Fatalf("service %s has no backend server %q", args[0], args[2])
	}
	switch args[1] {
	case "leave":
		service.Backends[index].State = config.Leaving
	case "activate":
		service.Backends[index].State = config.Active
	case "remove":
		service.Backends = append(service.Backends[:index], service.Backends[index+1:]...)
	case "weight":
		service.Backends[index].Weight = ring.Weight(parseNumber(ts, args[3]))
	case "add":
		service.Backends = append(service.Backends, s.fleet.Backend(service.Name, 0, parseNumber(ts, args[2])-1))
	case "limit":
		service.Limits.NewPerSecond = parseNumber(ts, args[2])
	case "reset":
		service.ResetAfter = config.Duration(parseDuration(ts, args[2]))
	case "drain":
		service.DrainDeadline = config.Duration(parseDuration(ts, args[2]))
	default:
		ts.Fatalf("publish: unknown change %q", args[1])
	}
	ts.Check(s.sim.Publish(s.documents))
}

// report sets the load report of a backend server: report BACKEND
// healthy|unhealthy|shedding [SPAN]. The balancers that fetch the backend server's reports
// receive this one every two seconds for the span.
func (s *scenario) report(ts *testscript.TestScript, _ bool, args []string) {
	report := place.Report{Healthy: args[1] != "unhealthy", Shedding: args[1] == "shedding"}
	until := time.Minute
	if len(args) > 2 {
		until = parseDuration(ts, args[2])
	}
	s.sim.DeliverReport(flow.BackendKey(flow.NameKey(args[0])), report, until)
}

// halt stops backend servers: halt BACKEND...
func (s *scenario) halt(_ *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		s.sim.StopServer(name)
	}
}

// expect checks a value that callers or balancers have counted: expect NAME OPERATOR NUMBER.
func (s *scenario) expect(ts *testscript.TestScript, _ bool, args []string) {
	got := s.value(ts, args[0])
	want := parseNumber(ts, args[2])
	holds := map[string]bool{"==": got == want, "<=": got <= want, ">=": got >= want, ">": got > want}
	satisfied, known := holds[args[1]]
	if !known {
		ts.Fatalf("expect: unknown operator %q", args[1])
	}
	if !satisfied {
		ts.Fatalf("expect %s: got %d\n%s", strings.Join(args, " "), got, strings.Join(append(s.sim.Callers.BrokenReasons, s.sim.Callers.WaitingFlows()...), "\n"))
	}
}

// value returns a value that a scenario can expect. New:SERVER:MARK is the number of a
// backend server's new flows since a mark, Version:BALANCER a balancer's configuration
// version, Held:BALANCER the number of slots that it holds.
func (s *scenario) value(ts *testscript.TestScript, name string) int {
	c := s.sim.Callers
	parts := strings.Split(name, ":")
	switch parts[0] {
	case "Started":
		return c.Started
	case "Open":
		return c.OpenFlows()
	case "Finished":
		return c.Finished
	case "Broken":
		return c.Broken
	case "Refused":
		return c.Refused
	case "UntrueRefusals":
		return c.RefusedAfterForward
	case "Misrouted":
		return c.Misrouted
	case "Doubled":
		return c.Doubled
	case "TwoServed":
		return c.TwoServed
	case "WrongAnswers":
		return c.WrongAnswers
	case "Unanswered":
		return c.Unanswered
	case "Waiting":
		return c.Waiting()
	case "New":
		return s.sim.NewConnectionsSince(parts[1], s.marks[parts[2]])
	case "Version":
		if compiled := s.sim.Node(parts[1]).Core.Compiled(); compiled != nil {
			return int(compiled.Version)
		}
		return 0
	case "Held":
		return s.sim.Node(parts[1]).Core.HeldSlotCount()
	case "HeldByAll":
		held := 0
		for _, node := range s.sim.Nodes {
			if node.Alive() {
				held += node.Core.HeldSlotCount()
			}
		}
		return held
	}
	ts.Fatalf("expect: unknown value %q", name)
	return 0
}
