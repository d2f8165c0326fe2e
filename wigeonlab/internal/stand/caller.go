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

// CallerConfig sets callers up.
type CallerConfig struct {
	Fabric   netip.AddrPort
	Listen   netip.AddrPort
	Services []config.Service
	// Flows is the number of flows of the first service; others get a quarter.
	Flows int
	Span  time.Duration
	Talk  time.Duration
}

// Result is what callers and backend servers saw in a run.
type Result struct {
	Flows         int
	Answers       int
	BrokenFlows   int
	Misrouted     int
	Doubled       int
	TwoServed     int
	WrongAnswers  int
	Unanswered    int
	MaxOverMean   float64
	Why           []string
	OpenByBackend map[string]int
}

// openShare is the part of a run in which flows are opened; quietSpan is kept at
// its end for the last answers.
const (
	openShare = 3
	quietSpan = 4 * time.Second
)

// Call opens flows, has them talk for the span and compares what the backend
// servers saw.
func Call(ctx context.Context, settings CallerConfig) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, settings.Span)
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
		buffer := make([]byte, datagramBytes)
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
		line := model.FlowConfig{Service: service, RequestInterval: settings.Talk}
		callers.StartFlows(count, settings.Span/openShare, line)
	}
	loop.After(settings.Span-quietSpan, callers.StopRequests)
	loop.Serve(ctx, inbox)
	return compare(callers, settings.Services)
}

// compare asks all backend servers what they saw.
func compare(callers *model.Callers, services []config.Service) (Result, error) {
	result := Result{
		Flows:         callers.Started,
		Answers:       callers.Answered,
		BrokenFlows:   callers.Broken + callers.Waiting(),
		WrongAnswers:  callers.WrongAnswers,
		Unanswered:    callers.Unanswered,
		Why:           append(callers.BrokenReasons, callers.WaitingFlows()...),
		OpenByBackend: make(map[string]int),
	}
	accepted := make(map[string]string)
	ran := make(map[uint64]int)
	for index, service := range services {
		var highest, total, active int
		for _, backend := range service.Backends {
			seen, err := fetchSeen(backend)
			if err != nil {
				return result, err
			}
			result.Misrouted += seen.Misrouted
			result.OpenByBackend[seen.Name] = int(seen.Open)
			for _, caller := range seen.Accepted {
				if before, known := accepted[caller]; known && before != seen.Name {
					result.TwoServed++
				}
				accepted[caller] = seen.Name
			}
			for _, request := range seen.Ran {
				ran[request]++
			}
			highest = max(highest, int(seen.Open))
			total += int(seen.Open)
			active++
		}
		if index == 0 && total > 0 {
			result.MaxOverMean = float64(highest) * float64(active) / float64(total)
		}
	}
	for _, times := range ran {
		if times > 1 {
			result.Doubled++
		}
	}
	return result, nil
}

func fetchSeen(backend config.Backend) (Seen, error) {
	var seen Seen
	response, err := http.Get("http://" + backend.Load.String() + "/seen")
	if err != nil {
		return seen, fmt.Errorf("caller: ask %s: %w", backend.Name, err)
	}
	err = json.NewDecoder(response.Body).Decode(&seen)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return seen, fmt.Errorf("caller: ask %s: %w", backend.Name, err)
	}
	return seen, nil
}
