package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonmoor.example/internal/policy"
)

func TestLeastLoadedOrder(t *testing.T) {
	flow := policy.Flow{InFlightPerOpenFlow: 0.1, RemoteCost: 0.6}
	cases := []struct {
		name          string
		better, worse policy.Candidate
	}{
		{"fewer in-flight requests", policy.Candidate{Slots: 2, InFlight: 1}, policy.Candidate{Slots: 2, InFlight: 3}},
		{"more slots", policy.Candidate{Slots: 3, InFlight: 2}, policy.Candidate{Slots: 1, InFlight: 1}},
		{"fewer open flows", policy.Candidate{Slots: 2, OpenFlows: 10}, policy.Candidate{Slots: 2, OpenFlows: 40}},
		{"same domain", policy.Candidate{Slots: 2, InFlight: 1}, policy.Candidate{Slots: 2, InFlight: 1, Remote: true}},
		{"remote domain if requests queue in the local one", policy.Candidate{Slots: 2, Remote: true}, policy.Candidate{Slots: 2, InFlight: 4}},
		{"warmed up", policy.Candidate{Slots: 2, InFlight: 1}, policy.Candidate{Slots: 2 / 1.6, InFlight: 1}},
	}
	for _, c := range cases {
		better, worse := policy.LeastLoaded{}.Score(c.better, flow), policy.LeastLoaded{}.Score(c.worse, flow)
		if better >= worse {
			t.Errorf("%s: %v scores %v, %v scores %v", c.name, c.better, better, c.worse, worse)
		}
	}
}

func TestChooseSuspectedLast(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	busy := policy.Candidate{Slots: 1, InFlight: 50}
	suspected := policy.Candidate{Slots: 8, Suspected: true}
	for range 100 {
		if index, _ := policy.Choose(policy.LeastLoaded{}, []policy.Candidate{suspected, busy, suspected}, policy.Flow{}, random); index != 1 {
			t.Fatal("a suspected server was preferred to a busy server")
		}
	}
	if index, ok := policy.Choose(policy.LeastLoaded{}, []policy.Candidate{suspected}, policy.Flow{}, random); !ok || index != 0 {
		t.Error("the only server was not chosen")
	}
	if _, ok := policy.Choose(policy.LeastLoaded{}, nil, policy.Flow{}, random); ok {
		t.Error("Choose returned a server without candidates")
	}
}

func TestAdmit(t *testing.T) {
	cases := []struct {
		inFlight    float64
		timeout     time.Duration
		retransmits uint32
		random      float64
		want        policy.Admission
	}{
		{0, 4 * time.Second, 0, 0, policy.Place},
		{39, 4 * time.Second, 0, 0, policy.Place},
		{40, 4 * time.Second, 0, 0.99, policy.Wait},
		{40, 4 * time.Second, 1, 0.99, policy.Wait},
		{40, 2 * time.Second, 0, 0, policy.Place},
		{55, 2 * time.Second, 0, 0.37, policy.Refuse},
		{55, 2 * time.Second, 0, 0.38, policy.Place},
		{65, 0, 0, 0.74, policy.Refuse},
		{1e6, 0, 0, 0.76, policy.Place}, // some flows are always placed, since the load may be overestimated
		{1e6, 0, 2, 0, policy.Place},
		{1e6, time.Hour, 2, 0, policy.Place},
	}
	for _, c := range cases {
		if got := policy.Admit(policy.Load{Slots: 10, InFlight: c.inFlight}, c.timeout, c.retransmits, c.random); got != c.want {
			t.Errorf("%v in-flight requests on 10 slots, timeout %v, %d retransmits, random %v: got %s, want %s", c.inFlight, c.timeout, c.retransmits, c.random, got, c.want)
		}
	}
}

func ExampleChoose() {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := []policy.Candidate{{Slots: 2, InFlight: 4}, {Slots: 2, InFlight: 0}}
	index, _ := policy.Choose(policy.LeastLoaded{}, candidates, policy.Flow{}, random)
	fmt.Println(index)
	// Output: 1
}
