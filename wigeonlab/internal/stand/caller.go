package stand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/model"
)

// CallerConfig configures a run of callers.
type CallerConfig struct {
	// Fabric receives the callers' packets. Answers arrive at Listen.
	Fabric   netip.AddrPort
	Listen   netip.AddrPort
	Services []config.Service
	// Flows is the number of flows of the first service. Each other service gets a quarter
	// of it.
	Flows int
	// Duration is the length of the run.
	Duration time.Duration
	// RequestInterval is the time between two requests of a flow.
	RequestInterval time.Duration
}

// Result is what callers and backend servers observed in a run.
type Result struct {
	Flows   int
	Answers int
	// BrokenFlows includes the flows that wait for an answer at the end of the run.
	BrokenFlows int
	// Misrouted counts malformed packets and packets that reached a backend server of
	// another service.
	Misrouted int
	// RepeatedRequests counts requests that ran more than once.
	RepeatedRequests int
	// FlowsAtTwoServers counts flows that several backend servers accepted.
	FlowsAtTwoServers int
	WrongAnswers      int
	// Unanswered counts flows that were never opened because no first packet was answered.
	Unanswered int
	// MaxOverMean is the largest number of open flows of a backend server of the first
	// service, divided by their mean.
	MaxOverMean float64
	// BreakReasons describes some of the broken flows, and the flows that wait for an answer at
	// the end of the run.
	BreakReasons []string
	// OpenByBackend is the number of open flows of each backend server, by its name.
	OpenByBackend map[string]int
}

const (
	// Flows are opened during the first 1/openPhaseDivisor of a run.
	openPhaseDivisor = 3
	// quietDuration is the time at the end of a run without new requests, in which
	// outstanding answers arrive.
	quietDuration = 4 * time.Second
)

// RunCallers opens flows, sends requests on them for the configured duration, and then collects
// the result from the callers and the backend servers. It returns an error if it cannot listen
// or a backend server cannot be queried.
func RunCallers(ctx context.Context, settings CallerConfig) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, settings.Duration)
	defer cancel()
	conn, err := listenUDP(ctx, settings.Listen)
	if err != nil {
		return Result{}, err
	}
	loop := &model.Loop{}
	callers := model.NewCallers(model.CallersConfig{
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Loop:   loop,
		Send: func(data []byte) {
			_, _ = conn.WriteToUDPAddrPort(data, settings.Fabric)
		},
	})
	inbox := make(chan func(), 1024)
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			length, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			data := append([]byte(nil), buffer[:length]...)
			select {
			case inbox <- func() { callers.Receive(data) }:
			case <-ctx.Done():
				return
			}
		}
	}()
	for index, service := range settings.Services {
		count := settings.Flows
		if index > 0 {
			count /= 4
		}
		flowConfig := model.FlowConfig{Service: service, RequestInterval: settings.RequestInterval}
		callers.StartFlows(count, settings.Duration/openPhaseDivisor, flowConfig)
	}
	loop.After(settings.Duration-quietDuration, callers.StopRequests)
	loop.Serve(ctx, inbox)
	return collectResult(callers, settings.Services)
}

// collectResult queries the observations of all backend servers and combines them with those of
// the callers.
func collectResult(callers *model.Callers, services []config.Service) (Result, error) {
	result := Result{
		Flows:         callers.Started,
		Answers:       callers.Answered,
		BrokenFlows:   callers.Broken + callers.Waiting(),
		WrongAnswers:  callers.WrongAnswers,
		Unanswered:    callers.Unanswered,
		BreakReasons:  append(callers.BrokenReasons, callers.WaitingFlows()...),
		OpenByBackend: make(map[string]int),
	}
	accepted := make(map[string]string)
	runs := make(map[uint64]int)
	for index, service := range services {
		var maxOpen, totalOpen, backends int
		for _, backend := range service.Backends {
			observed, err := fetchObservations(backend)
			if err != nil {
				return result, err
			}
			result.Misrouted += observed.Misrouted
			result.OpenByBackend[observed.Name] = int(observed.Open)
			for _, caller := range observed.Accepted {
				if before, known := accepted[caller]; known && before != observed.Name {
					result.FlowsAtTwoServers++
				}
				accepted[caller] = observed.Name
			}
			for _, request := range observed.Ran {
				runs[request]++
			}
			maxOpen = max(maxOpen, int(observed.Open))
			totalOpen += int(observed.Open)
			backends++
		}
		if index == 0 && totalOpen > 0 {
			result.MaxOverMean = float64(maxOpen) * float64(backends) / float64(totalOpen)
		}
	}
	for _, count := range runs {
		if count > 1 {
			result.RepeatedRequests++
		}
	}
	return result, nil
}

// fetchObservations reads the observations of a backend server over HTTP.
func fetchObservations(backend config.Backend) (Observations, error) {
	var observed Observations
	response, err := http.Get("http://" + backend.Load.String() + "/seen")
	if err != nil {
		return observed, fmt.Errorf("stand: query observations of backend server %s: %w", backend.Name, err)
	}
	err = json.NewDecoder(response.Body).Decode(&observed)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return observed, fmt.Errorf("stand: query observations of backend server %s: %w", backend.Name, err)
	}
	return observed, nil
}
