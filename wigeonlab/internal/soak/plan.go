package soak

// What goes wrong in a run, and when: drawn from the seed alone, so that a run can be
// played again. Steps overlap as they come.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of step.
type Kind string

// The kinds. Planned ones must not be noticed by callers.
const (
	Kill         Kind = "Kill"
	KillMany     Kind = "KillMany"
	KillAll      Kind = "KillAll"
	Freeze       Kind = "Freeze"
	StoreLink    Kind = "StoreLink"
	StoreDown    Kind = "StoreDown"
	StoreSlow    Kind = "StoreSlow"
	PeerLink     Kind = "PeerLink"
	DomainCut    Kind = "DomainCut"
	ServerLink   Kind = "ServerLink"
	ServerCrash  Kind = "ServerCrash"
	AddressReuse Kind = "AddressReuse"
	Terminate    Kind = "Terminate"
	Roll         Kind = "Roll"
	Reload       Kind = "Reload"
	ServerDrain  Kind = "ServerDrain"
	ServerAdd    Kind = "ServerAdd"
	EntryLapse   Kind = "EntryLapse"
	RouteAdd     Kind = "RouteAdd"
	RouteDrop    Kind = "RouteDrop"
	RouteStorm   Kind = "RouteStorm"
	RouteGrowth  Kind = "RouteGrowth"
	LinkRate     Kind = "LinkRate"
)

// kinds are drawn from with equal chance, so that those named twice come more often.
var kinds = []Kind{
	Kill, Kill, KillMany, KillAll, Freeze, Freeze, StoreLink, StoreLink, StoreDown, StoreSlow, PeerLink, DomainCut,
	ServerLink, ServerCrash, AddressReuse, Terminate, Terminate, Roll, Reload, ServerDrain, ServerDrain,
	ServerAdd, EntryLapse, RouteAdd, RouteDrop, RouteStorm,
}

// planned kinds are an operator's work, or a server's that lives on.
var planned = []Kind{Terminate, Roll, Reload, ServerDrain, ServerAdd, EntryLapse, RouteAdd, RouteDrop, RouteStorm, RouteGrowth}

// Planned reports whether callers must not notice the kind.
func (k Kind) Planned() bool { return slices.Contains(planned, k) }

// Style is how a link is harmed.
type Style string

// The styles of harm to a link.
const (
	Silent     Style = "Silent"
	OneWay     Style = "OneWay"
	AnswerLost Style = "AnswerLost"
	Delayed    Style = "Delayed"
	Lossy      Style = "Lossy"
	Reset      Style = "Reset"
)

var styles = []Style{Silent, OneWay, AnswerLost, Delayed, Lossy, Reset}

// Step is one thing that happens.
type Step struct {
	Kind Kind
	// At is counted from the start of the faults.
	At, For time.Duration
	// Pick draws the balancer, server or domain from those there are.
	Pick  uint32
	Style Style
}

// String returns the step as logs have it.
func (s Step) String() string {
	return fmt.Sprintf("%s at %.1fs for %.1fs, pick %d, %s", s.Kind, s.At.Seconds(), s.For.Seconds(), s.Pick%100, s.Style)
}

// stepPause is the mean time between two steps: several are under way at a time.
const stepPause = 1200 * time.Millisecond

// Plan draws the steps of a run.
func Plan(seed uint64, span time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	// Some runs have planned work only, in which callers must notice nothing.
	calm := random.IntN(3) == 0
	var steps []Step
	for at := time.Duration(0); at < span; at += time.Duration(random.Int64N(int64(2 * stepPause))) {
		kind := kinds[random.IntN(len(kinds))]
		if calm {
			kind = planned[random.IntN(len(planned))]
		}
		steps = append(steps, Step{
			Kind: kind, At: at, For: time.Duration(500+random.IntN(3500)) * time.Millisecond,
			Pick: random.Uint32(), Style: styles[random.IntN(len(styles))],
		})
	}
	return append(steps, growth(seed, span)...)
}

// growthFrom is the seed from which on plans have great changes and links of a set rate as
// well. Those of earlier seeds stay what they were.
const growthFrom = 1000

// growth draws a configuration that grows by hundreds of routes while balancers are
// replaced, and links of a set rate around it unless all work is planned.
func growth(seed uint64, span time.Duration) []Step {
	if seed < growthFrom {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 2))
	at := time.Duration(random.Int64N(int64(span)))
	steps := []Step{
		{Kind: RouteGrowth, At: at},
		{Kind: Roll, At: at + time.Duration(random.IntN(500))*time.Millisecond, Pick: random.Uint32()},
	}
	if !calmPlan(seed) {
		for range 2 {
			steps = append(steps, Step{Kind: LinkRate, At: at, For: 3 * time.Second, Pick: random.Uint32()})
		}
	}
	return steps
}

// calmPlan reports whether a seed has planned work only.
func calmPlan(seed uint64) bool { return rand.New(rand.NewPCG(seed, 1)).IntN(3) == 0 }
