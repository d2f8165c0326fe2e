package eject_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonmoor.example/internal/eject"
)

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// service returns a service of twenty servers, of which the first have the given evidence and the
// others answer all requests.
func service(first ...eject.Evidence) []eject.Server {
	servers := make([]eject.Server, 20)
	for index := range servers {
		servers[index] = eject.Server{State: &eject.State{}, Evidence: eject.Evidence{Good: 20}}
		if index < len(first) {
			servers[index].Evidence = first[index]
		}
	}
	return servers
}

func TestDecide(t *testing.T) {
	repeat := func(count int, e eject.Evidence) []eject.Evidence {
		list := make([]eject.Evidence, count)
		for index := range list {
			list[index] = e
		}
		return list
	}
	cases := []struct {
		name  string
		first []eject.Evidence
		want  int
	}{
		{"all answer", nil, 0},
		{"hangs", []eject.Evidence{{Bad: 4}}, 1},
		{"fails two of five requests", []eject.Evidence{{Good: 12, Bad: 8}}, 1},
		{"two lost answers", []eject.Evidence{{Good: 1, Bad: 2}}, 0},
		{"a few of many requests", []eject.Evidence{{Good: 60, Bad: 4}}, 0},
		{"a fault of all servers", repeat(20, eject.Evidence{Good: 6, Bad: 4}), 0},
		{"more servers than may be ejected", repeat(10, eject.Evidence{Bad: 5}), 6},
	}
	for _, c := range cases {
		if got := eject.Decide(service(c.first...), start); len(got) != c.want {
			t.Errorf("%s: %d servers are ejected, want %d", c.name, len(got), c.want)
		}
	}
}

// The worst servers must be ejected first if not all may be.
func TestWorstServersAreEjectedFirst(t *testing.T) {
	servers := service()
	for index := range 10 {
		servers[index].Evidence = eject.Evidence{Good: 10, Bad: 4 + float64(index)}
	}
	for _, index := range eject.Decide(servers, start) {
		if index < 4 {
			t.Errorf("server %d is ejected before worse ones", index)
		}
	}
}

// A server that flaps must be ejected for longer each time, by less evidence, until it has served
// for a while.
func TestProbation(t *testing.T) {
	servers := service(eject.Evidence{Bad: 5})
	server, now := &servers[0], start
	decide := func() bool { return len(eject.Decide(servers, now)) > 0 }
	if !decide() || !server.State.Ejected(now.Add(2900*time.Millisecond)) || server.State.Ejected(now.Add(3100*time.Millisecond)) {
		t.Error("the first ejection does not last for 3 s")
	}
	now = now.Add(4 * time.Second)
	server.Evidence = eject.Evidence{Good: 2, Bad: 1}
	if !decide() || !server.State.Ejected(now.Add(5900*time.Millisecond)) {
		t.Error("a bad outcome on probation does not eject for 6 s")
	}
	now = now.Add(20 * time.Second)
	if decide() {
		t.Error("a bad outcome after the probation ejects")
	}
	server.Evidence = eject.Evidence{Bad: 5}
	if !decide() || server.State.Ejected(now.Add(3100*time.Millisecond)) {
		t.Error("the span has not started over after the probation")
	}
}

func ExampleDecide() {
	servers := []eject.Server{
		{State: &eject.State{}, Evidence: eject.Evidence{Good: 30}},
		{State: &eject.State{}, Evidence: eject.Evidence{Good: 1, Bad: 9}},
		{State: &eject.State{}, Evidence: eject.Evidence{Good: 28}},
		{State: &eject.State{}, Evidence: eject.Evidence{Good: 31, Bad: 1}},
	}
	fmt.Println(eject.Decide(servers, time.Now()))
	// Output: [1]
}

// BenchmarkCapacityDecide measures one decision on the services of 9,000 servers.
func BenchmarkCapacityDecide(b *testing.B) {
	var services [][]eject.Server
	for range 9000 / 20 {
		services = append(services, service(eject.Evidence{Good: 12, Bad: 8}))
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, servers := range services {
			eject.Decide(servers, start)
		}
	}
}
