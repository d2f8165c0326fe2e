// Command wigeonlab runs the stand-ins that surround the balancers in trials. It
// is never needed to run the product.
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

func commands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "prepare", synopsis: "write a deployment's settings and published values", run: prepare},
		&command{name: "platform", synopsis: "run the configuration service's stand-in", run: runPlatform},
		&command{name: "fabric", synopsis: "run the fabric's stand-in", run: runFabric},
		&command{name: "server", synopsis: "run one backend server's stand-in", run: runServer},
		&command{name: "call", synopsis: "open flows through the fabric and compare what came back", run: call},
		&command{name: "prepare-tagged", synopsis: "write the settings of balancers with tagged flows", run: prepareTagged},
		&command{name: "tagged", synopsis: "run all that surrounds balancers with tagged flows, and check what callers get", run: runTagged},
		&command{name: "instances", synopsis: "put the list of balancers on the platform's stand-in", run: publishInstances},
		&command{name: "publish", synopsis: "put a directory's changed values on the platform's stand-in", run: publish},
	}
}

// command is a subcommand whose flags are shared by all.
type command struct {
	name     string
	synopsis string
	run      func(ctx context.Context, options options) error
	options  options
}

// options are the flags of all subcommands.
type options struct {
	deployment string
	directory  string
	server     string
	flows      int
	leaving    string
	gone       string
	span       time.Duration
	talk       time.Duration
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }
func (c *command) Usage() string    { return c.name + " [flags]: " + c.synopsis + "\n" }
func (c *command) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.options.deployment, "deployment", "horodis", "deployment: horodis or hanji")
	flags.StringVar(&c.options.directory, "directory", "", "directory of settings or published values")
	flags.StringVar(&c.options.server, "server", "", "name of the backend server")
	flags.StringVar(&c.options.leaving, "leaving", "", "numbers of balancers that are leaving, with commas")
	flags.StringVar(&c.options.gone, "gone", "", "numbers of balancers that are off the list, with commas")
	flags.IntVar(&c.options.flows, "flows", 2000, "flows of the first service; others get a quarter")
	flags.DurationVar(&c.options.span, "span", 15*time.Second, "length of the run")
	flags.DurationVar(&c.options.talk, "talk", 2*time.Second, "time between two requests of a flow")
}

func (c *command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx, c.options); err != nil {
		fmt.Fprintf(os.Stderr, "wigeonlab %s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

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
	return platform.Serve(ctx, deployment.Platform())
}

func runFabric(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	fabric := stand.NewFabric(stand.FabricConfig{
		Name:     deployment.Instances().Instances[0].Fabric,
		Platform: deployment.Platform(),
		Listen:   deployment.Fabric(),
		Return:   deployment.FabricReturn(),
		Caller:   deployment.Caller(),
	})
	return fabric.Serve(ctx)
}

func runServer(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	service, backend, err := find(deployment, options.server)
	if err != nil {
		return err
	}
	return stand.NewServer(stand.ServerConfig{
		Name:    backend.Name,
		Service: service,
		Listen:  backend.Address,
		Load:    backend.Load,
		Caller:  deployment.Caller(),
	}).Serve(ctx)
}

func find(deployment deploy.Deployment, name string) (service netip.AddrPort, found config.Backend, err error) {
	for _, document := range deployment.Documents().Services {
		for _, backend := range document.Backends {
			if backend.Name == name {
				return document.Address, backend, nil
			}
		}
	}
	return service, found, fmt.Errorf("deployment %s has no backend server %q", deployment.Name, name)
}

func call(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	result, err := stand.Call(ctx, stand.CallerConfig{
		Fabric:   deployment.Fabric(),
		Listen:   deployment.Caller(),
		Services: deployment.Documents().Services,
		Flows:    options.flows,
		Span:     options.span,
		Talk:     options.talk,
	})
	if err != nil {
		return err
	}
	fmt.Printf("callers: %d flows, %d whole answers, %d not whole, %d never opened, %d seen by two backend servers\n",
		result.Flows, result.Answers, result.WrongAnswers, result.Unanswered, result.TwoServed)
	for _, why := range result.Why {
		fmt.Println("callers: broken:", why)
	}
	doubled := result.Doubled + result.TwoServed
	fmt.Printf("demo: Flows=%d BrokenFlows=%d Misrouted=%d Doubled=%d ImbalanceMaxOverMean=%.3f\n",
		result.Flows, result.BrokenFlows, result.Misrouted, doubled, result.MaxOverMean)
	if result.BrokenFlows+result.Misrouted+doubled+result.WrongAnswers+result.Unanswered > 0 || result.Answers == 0 {
		return fmt.Errorf("a promise was broken")
	}
	return nil
}

func publish(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	version, err := stand.Publish(ctx, deployment.Platform(), options.directory)
	if err != nil {
		return err
	}
	fmt.Printf("operator: published configuration %d\n", version)
	return nil
}

// publishInstances does what the platform does when instances leave or fail.
func publishInstances(ctx context.Context, options options) error {
	deployment, err := deploy.ByName(options.deployment)
	if err != nil {
		return err
	}
	leaving := strings.Split(options.leaving, ",")
	gone := strings.Split(options.gone, ",")
	list := config.Instances{}
	for index, instance := range deployment.Instances().Instances {
		number := strconv.Itoa(index + 1)
		if slices.Contains(gone, number) {
			continue
		}
		if slices.Contains(leaving, number) {
			instance.State = config.InstanceLeaving
		}
		list.Instances = append(list.Instances, instance)
	}
	return stand.PublishInstances(ctx, deployment.Platform(), list)
}
