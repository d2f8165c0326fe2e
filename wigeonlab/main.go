// Command wigeonlab runs the simulated environment of the balancers for demos and tests:
// configuration service, network, backend servers and callers. It also runs the fault-injection
// test of package soak. It is not needed to operate balancers.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/wigeonlab/internal/deploy"
	"wigeonmoor.example/wigeonlab/internal/stand"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	for _, command := range commands() {
		subcommands.Register(command, "")
	}
	subcommands.Register(&soakCommand{}, "")
	subcommands.Register(&causesCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// commands returns the subcommands of type command.
func commands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "prepare", synopsis: "write a deployment's settings and the values to publish", run: prepare},
		&command{name: "platform", synopsis: "run a simulated configuration service", run: runPlatform},
		&command{name: "fabric", synopsis: "run a simulated fabric", run: runFabric},
		&command{name: "server", synopsis: "run a simulated backend server", run: runServer},
		&command{name: "call", synopsis: "open flows through the fabric and check the answers", run: runCallers},
		&command{name: "prepare-tagged", synopsis: "write the settings of balancers with the binding Tagged", run: prepareTagged},
		&command{name: "tagged", synopsis: "run the environment of balancers with the binding Tagged and check the answers to callers", run: runTagged},
		&command{name: "instances", synopsis: "publish the list of balancers on the simulated configuration service", run: publishInstances},
		&command{name: "publish", synopsis: "publish a directory's changed values on the simulated configuration service", run: publishValues},
	}
}

// command is a subcommand. All subcommands of this type have the same flags.
type command struct {
	name     string
	synopsis string
	run      func(ctx context.Context, options options) error
	options  options
}

// options holds the flags of the subcommands of type command.
type options struct {
	deployment      string
	directory       string
	server          string
	flows           int
	leaving         string
	removed         string
	duration        time.Duration
	requestInterval time.Duration
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.name + " [flags]: " + c.synopsis + "\n" }
func (c *command) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.options.deployment, "deployment", "horodis", "name of the deployment: horodis or hanji")
	flags.StringVar(&c.options.directory, "directory", "", "directory of the settings or of the values to publish")
	flags.StringVar(&c.options.server, "server", "", "name of the backend server")
	flags.StringVar(&c.options.leaving, "leaving", "", "comma-separated numbers of the balancers to list as leaving")
	flags.StringVar(&c.options.removed, "gone", "", "comma-separated numbers of the balancers to omit from the list")
	flags.IntVar(&c.options.flows, "flows", 2000, "number of flows of the first service; each other service gets a quarter of it")
	flags.DurationVar(&c.options.duration, "span", 15*time.Second, "duration of the run")
	flags.DurationVar(&c.options.requestInterval, "talk", 2*time.Second, "interval between two requests of a flow")
}

func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, c.options); err != nil {
		fmt.Fprintf(os.Stderr, "wigeonlab %s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// prepare writes a deployment's settings and the values to publish.
func prepare(_ context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	return deployment.Write(options.directory)
}

func runPlatform(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	platform, err := stand.NewPlatform(options.directory)
	if err != nil {
		return err
	}
	return platform.Serve(ctx, deployment.PlatformAddress())
}

func runFabric(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	fabric := stand.NewFabric(stand.FabricConfig{
		Name:     deployment.Instances().Instances[0].Fabric,
		Platform: deployment.PlatformAddress(),
		Listen:   deployment.FabricAddress(),
		Return:   deployment.FabricReturnAddress(),
		Caller:   deployment.CallerAddress(),
	})
	return fabric.Serve(ctx)
}

func runServer(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	service, backend, err := findBackend(deployment, options.server)
	if err != nil {
		return err
	}
	return stand.NewServer(stand.ServerConfig{
		Name:    backend.Name,
		Service: service,
		Listen:  backend.Address,
		Load:    backend.Load,
		Caller:  deployment.CallerAddress(),
	}).Serve(ctx)
}

// findBackend returns the backend server with a name, and the address of its service.
func findBackend(deployment deploy.Deployment, name string) (service netip.AddrPort, found config.Backend, err error) {
	for _, document := range deployment.Documents().Services {
		for _, backend := range document.Backends {
			if backend.Name == name {
				return document.Address, backend, nil
			}
		}
	}
	return service, found, fmt.Errorf("deployment %s has no backend server %q", deployment.Name, name)
}

// runCallers opens flows through the fabric and prints what callers and backend servers
// observed. It returns an error if a flow broke or an answer was wrong or missing.
func runCallers(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	result, err := stand.RunCallers(ctx, stand.CallerConfig{
		Fabric:          deployment.FabricAddress(),
		Listen:          deployment.CallerAddress(),
		Services:        deployment.Documents().Services,
		Flows:           options.flows,
		Duration:        options.duration,
		RequestInterval: options.requestInterval,
	})
	if err != nil {
		return err
	}
	fmt.Printf("callers: %d flows, %d correct answers, %d wrong answers, %d flows never opened, %d flows at two backend servers\n",
		result.Flows, result.Answers, result.WrongAnswers, result.Unanswered, result.FlowsAtTwoServers)
	for _, reason := range result.BreakReasons {
		fmt.Println("callers: broken flow:", reason)
	}
	duplicates := result.RepeatedRequests + result.FlowsAtTwoServers
	fmt.Printf("demo: Flows=%d BrokenFlows=%d Misrouted=%d Doubled=%d ImbalanceMaxOverMean=%.3f\n",
		result.Flows, result.BrokenFlows, result.Misrouted, duplicates, result.MaxOverMean)
	if result.BrokenFlows+result.Misrouted+duplicates+result.WrongAnswers+result.Unanswered > 0 || result.Answers == 0 {
		return fmt.Errorf("check failed: flows were broken or misrouted, requests were repeated, or answers were wrong or missing")
	}
	return nil
}

// publishValues publishes the changed values of the directory.
func publishValues(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	version, err := stand.Publish(ctx, deployment.PlatformAddress(), options.directory)
	if err != nil {
		return err
	}
	fmt.Printf("operator: published configuration version %d\n", version)
	return nil
}

// publishInstances publishes the list of balancers as the platform does when instances leave or
// fail: with the state leaving, or without them.
func publishInstances(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	leaving := strings.Split(options.leaving, ",")
	removed := strings.Split(options.removed, ",")
	remaining := config.Instances{}
	for index, instance := range deployment.Instances().Instances {
		number := strconv.Itoa(index + 1)
		if slices.Contains(removed, number) {
			continue
		}
		if slices.Contains(leaving, number) {
			instance.State = config.InstanceLeaving
		}
		remaining.Instances = append(remaining.Instances, instance)
	}
	return stand.PublishInstances(ctx, deployment.PlatformAddress(), remaining)
}
