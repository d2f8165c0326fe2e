package place_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wigeonmoor.example/internal/config"
	"wigeonmoor.example/internal/flow"
	"wigeonmoor.example/internal/model"
	"wigeonmoor.example/internal/place"
)

// newPlacer returns a placer for the first service of a model fleet, modified by edit.
func newPlacer(t *testing.T, edit func(service *config.Service)) (*place.Placer, *config.CompiledService) {
	t.Helper()
	documents := model.HorodisFleet().Documents()
	edit(&documents.Services[0])
	bundle, err := config.Render(documents, config.Bundle{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	compiled, err := config.Compile(bundle, "fabric", nil)
	if err != nil {
		t.Fatal(err)
	}
	p := place.New(place.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	p.SetConfig(compiled, true)
	return p, compiled.ByAddress(flow.TCP, documents.Services[0].Address)
}

// countChosen places flows whose default is the given backend server and returns how many
// were placed on it. The flows are not counted as open, so load has no effect.
func countChosen(p *place.Placer, service *config.CompiledService, to *config.CompiledBackend, count int) int {
	random := rand.New(rand.NewPCG(3, 4))
	got := 0
	for range count {
		choice := p.Choose(place.Request{Service: service, Default: to.Key, Flow: flow.ID(random.Uint64())})
		if choice.Backend == to {
			got++
		}
	}
	return got
}

// A new backend server's share of the flows whose default it is grows linearly during
// ColdStart.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := model.HorodisFleet()
		documents := fleet.Documents()
		documents.Services[0].ColdStart = config.Duration(40 * time.Second)
		p, _ := newPlacer(t, func(service *config.Service) { *service = documents.Services[0] })
		documents.Services[0].Backends = append(documents.Services[0].Backends, fleet.Backend("planning", 0, 50))
		bundle, err := config.Render(documents, config.Bundle{}, 2)
		is.NoErr(err)
		compiled, err := config.Compile(bundle, "fabric", nil)
		is.NoErr(err)
		p.SetConfig(compiled, false)
		service := compiled.ByAddress(flow.TCP, documents.Services[0].Address)
		added := service.Backends[15]
		for _, expected := range []int{50, 250, 500, 750, 1000} {
			got := countChosen(p, service, added, 1000)
			is.True(got >= expected-60 && got <= expected+60) // per 1,000 flows at this age, plus or minus 60
			time.Sleep(10 * time.Second)
		}
	})
}

// Flows beyond a server's limit on new flows are placed on other servers, and refused if all
// servers are at the limit.
func TestNewFlowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, service := newPlacer(t, func(service *config.Service) { service.Limits.NewPerSecond = 10 })
		is.Equal(countChosen(p, service, service.Backends[0], 50), 10)
		refused := 0
		for number := range 1000 {
			choice := p.Choose(place.Request{Service: service, Default: service.Backends[number%15].Key, Flow: flow.ID(number)})
			if choice.Backend == nil {
				refused++
				is.Equal(choice.Reason, place.ReasonNone)
			}
		}
		is.True(refused >= 1000-14*10) // no backend server got more flows than its limit
		time.Sleep(time.Second)
		is.Equal(countChosen(p, service, service.Backends[0], 10), 10) // the limit applies to each second separately
	})
}

// An unhealthy report keeps flows away from a server until the report expires.
func TestReportsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, service := newPlacer(t, func(*config.Service) {})
		backend := service.Backends[3]
		p.Gauge(backend.Key).SetReport(place.Report{At: time.Now()})
		is.Equal(countChosen(p, service, backend, 100), 0) // unhealthy
		p.Gauge(backend.Key).SetReport(place.Report{At: time.Now().Add(-time.Minute), Healthy: true})
		is.Equal(countChosen(p, service, backend, 100), 0) // an older report does not replace the unhealthy one
		time.Sleep(6 * time.Second)
		is.Equal(countChosen(p, service, backend, 100), 100) // the report has expired
	})
}
