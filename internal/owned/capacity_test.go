package owned_test

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
)

// capacityControlBytes is the control budget of a balancer, in bytes per second.
const capacityControlBytes = 17000

// cpuTime returns the CPU time that this process has used, or zero on failure.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measurePhase calls act, which may be nil, runs the fleet for a span and returns the mean
// control bytes and CPU cores that each balancer has used.
func measurePhase(sim *model.Simulation, span time.Duration, act func()) (bytes float64, cores float64) {
	before, used := sim.ControlBytes(), cpuTime()
	if act != nil {
		act()
	}
	sim.Run(span)
	count := float64(len(sim.Nodes))
	bytes = float64(sim.ControlBytes()-before) / count
	cores = float64(cpuTime()-used) / float64(span) / count
	return bytes, cores
}

// publishAndConverge publishes a configuration and returns how long it took until it was in
// force on all live balancers, or a minute if it took longer.
func publishAndConverge(t *testing.T, sim *model.Simulation, documents config.Documents) time.Duration {
	published := time.Now()
	if err := sim.Publish(documents); err != nil {
		t.Fatal(err)
	}
	for time.Since(published) < time.Minute {
		sim.Run(10 * time.Millisecond)
		behind := 0
		for _, node := range sim.Nodes {
			if compiled := node.Core.Compiled(); node.Alive() && (compiled == nil || compiled.Version < sim.PublishedVersion()) {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(published)
		}
	}
	return time.Minute
}

// TestCapacity prints the control bytes and CPU time per balancer for several fleet sizes.
// docs/CAPACITY.md extrapolates from them to larger fleets.
func TestCapacity(t *testing.T) {
	if !*measureEnabled {
		t.Skip("run by make capacity")
	}
	for _, size := range []struct{ balancers, services int }{{8, 8}, {36, 36}, {72, 72}, {145, 145}} {
		if *experimentName != "" && *experimentName != fmt.Sprint(size.balancers) {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			fleet := model.FleetConfig{Balancers: size.balancers, Domains: 1}
			for index := range size.services {
				fleet.Services = append(fleet.Services, model.ServiceConfig{Name: fmt.Sprintf("service-%d", index), Backends: 7})
			}
			sim, err := model.New(model.Config{
				Seed:                  5,
				Instances:             fleet.Instances(),
				Documents:             fleet.Documents(),
				Delay:                 hopDelay,
				ControlBytesPerSecond: capacityControlBytes,
				Log:                   logr.Discard(),
				PlatformReaders:       2,
			})
			if err != nil {
				t.Fatal(err)
			}
			sim.Run(20 * time.Second)
			documents := fleet.Documents()
			for index := range 20 * size.balancers {
				flowConfig := model.FlowConfig{Service: documents.Services[index%len(documents.Services)], RequestInterval: 10 * time.Second}
				sim.Callers.StartFlows(1, time.Second, flowConfig)
			}
			sim.Run(15 * time.Second)
			idle, idleCores := measurePhase(sim, 10*time.Second, nil)
			leave, _ := measurePhase(sim, 10*time.Second, func() { sim.Leave(sim.Nodes[1]) })
			join, _ := measurePhase(sim, 10*time.Second, func() { sim.Add(fleet.Instance(size.balancers)) })
			kill, _ := measurePhase(sim, 10*time.Second, func() { sim.Kill(sim.Nodes[2]) })
			documents.Services[0].Backends[0].State = config.Leaving
			before := sim.ControlBytes()
			spread := publishAndConverge(t, sim, documents)
			change := float64(sim.ControlBytes()-before)/float64(len(sim.Nodes)) - idle/10*spread.Seconds()
			fmt.Printf("capacity: Balancers=%d Services=%d Backends=%d IdleBytesPerSecond=%.0f IdleCorePercent=%.2f LeaveBytes=%.0f JoinBytes=%.0f KillBytes=%.0f ChangeBytes=%.0f ConvergeSeconds=%.2f Broken=%d\n",
				size.balancers, size.services, 7*size.services, idle/10, 100*idleCores, leave-idle, join-idle, kill-idle, change, spread.Seconds(), sim.Callers.Broken)
		})
	}
}
