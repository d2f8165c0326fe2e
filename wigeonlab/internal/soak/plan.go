package soak

// The plan of a run: its steps and their times. It depends only on the seed and the fault
// window, so that a run can be repeated. Steps may overlap.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of step.
type Kind string

// The kinds of steps. Callers must not be affected by planned kinds (see Planned).
const (
	Kill         Kind = "Kill"         // SIGKILL to one balancer, which is then started again
	KillMany     Kind = "KillMany"     // SIGKILL to killManyFraction of the balancers
	KillAll      Kind = "KillAll"      // SIGKILL to all balancers
	Freeze       Kind = "Freeze"       // SIGSTOP to a balancer, and SIGCONT later
	StoreLink    Kind = "StoreLink"    // fault of the link between one balancer and the store
	StoreDown    Kind = "StoreDown"    // the store refuses all calls
	StoreRestore Kind = "StoreRestore" // the store refuses all calls, and then continues from an older copy
	StoreSlow    Kind = "StoreSlow"    // delay on the links between all balancers and the store
	PeerLink     Kind = "PeerLink"     // fault of the link from the peers to one balancer
	DomainCut    Kind = "DomainCut"    // network partition between a failure domain's balancers and the others
	ServerLink   Kind = "ServerLink"   // fault of the link to a backend server
	ServerCrash  Kind = "ServerCrash"  // a backend server ends, and its entry is removed later
	AddressReuse Kind = "AddressReuse" // as ServerCrash; then another server gets the address
	Terminate    Kind = "Terminate"    // SIGTERM to one balancer, which is then started again
	Roll         Kind = "Roll"         // rolling restart of two balancers
	Reload       Kind = "Reload"       // changed settings and SIGHUP
	ServerDrain  Kind = "ServerDrain"  // a backend server is replaced, drains and ends
	ServerAdd    Kind = "ServerAdd"    // a backend server starts
	EntryLapse   Kind = "EntryLapse"   // the entry of a running backend server expires and is published again later
	RouteAdd     Kind = "RouteAdd"     // a route is added
	RouteDrop    Kind = "RouteDrop"    // a route is dropped from the configuration
	RouteStorm   Kind = "RouteStorm"   // stormRouteCount routes are added one after another
	RouteGrowth  Kind = "RouteGrowth"  // grownRouteCount routes are added at once
	LinkRate     Kind = "LinkRate"     // limited rate of the link from the peers to one balancer
	Evacuate     Kind = "Evacuate"     // a failure domain is evacuated, and later taken back
	ServerHang   Kind = "ServerHang"   // a backend server accepts flows and answers no requests
	ForeignEntry Kind = "ForeignEntry" // another writer overwrites the entry of a running backend server
)

// drawnKinds lists the kinds to draw from with equal probability. Kinds that are listed twice
// are twice as frequent.
var drawnKinds = []Kind{
	Kill, Kill, KillMany, KillAll, Freeze, Freeze, StoreLink, StoreLink, StoreDown, StoreSlow, PeerLink, DomainCut,
	ServerLink, ServerCrash, AddressReuse, Terminate, Terminate, Roll, Reload, ServerDrain, ServerDrain,
	ServerAdd, EntryLapse, RouteAdd, RouteDrop, RouteStorm,
}

// earlyPlannedKinds are the planned kinds that DrawPlan draws from. Later ones are added by functions
// of their own, so that the plans of smaller seeds stay as they were.
var earlyPlannedKinds = []Kind{Terminate, Roll, Reload, ServerDrain, ServerAdd, EntryLapse, RouteAdd, RouteDrop, RouteStorm, RouteGrowth}

// plannedKinds are operator work, and changes by a server that keeps running or in its name.
var plannedKinds = slices.Concat(earlyPlannedKinds, []Kind{Evacuate, ForeignEntry})

// Planned reports whether steps of the kind must not affect callers.
func (k Kind) Planned() bool { return slices.Contains(plannedKinds, k) }

// Style is a kind of link fault.
type Style string

// The kinds of link faults (see Step.linkFault).
const (
	Silent     Style = "Silent"     // both directions are blocked
	OneWay     Style = "OneWay"     // the forward direction is blocked
	AnswerLost Style = "AnswerLost" // the back direction is blocked
	Delayed    Style = "Delayed"    // linkDelay is added
	Lossy      Style = "Lossy"      // datagrams are lost with probability linkLossRate
	Reset      Style = "Reset"      // connections are reset, the forward direction is blocked
)

var styles = []Style{Silent, OneWay, AnswerLost, Delayed, Lossy, Reset}

// Step is a fault or a piece of planned work.
type Step struct {
	Kind Kind
	// At is the time from the start of the plan to that of the step. Duration is how long
	// the fault lasts; kinds without a lasting fault ignore it.
	At, Duration time.Duration
	// Selector selects the balancer, server or failure domain, modulo their number.
	Selector uint32
	// Style is the fault to inject if the step is a StoreLink, PeerLink or ServerLink.
	Style Style
}

// String describes the step on one line.
func (s Step) String() string {
	return fmt.Sprintf("%s at %.1fs for %.1fs, selector %d, %s", s.Kind, s.At.Seconds(), s.Duration.Seconds(), s.Selector%100, s.Style)
}

// meanStepInterval is the mean time between the starts of two steps. It is shorter than most
// steps so that several are in progress at a time.
const meanStepInterval = 1200 * time.Millisecond

// DrawPlan returns the steps of a seed, all of which begin within the fault window, apart
// from a Roll up to 500 ms later. Equal arguments give equal plans.
func DrawPlan(seed uint64, faultWindow time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1))
	// One run in three has planned work only and must not affect callers at all.
	onlyPlanned := random.IntN(3) == 0
	var steps []Step
	for at := time.Duration(0); at < faultWindow; at += time.Duration(random.Int64N(int64(2 * meanStepInterval))) {
		kind := drawnKinds[random.IntN(len(drawnKinds))]
		if onlyPlanned {
			kind = earlyPlannedKinds[random.IntN(len(earlyPlannedKinds))]
		}
		steps = append(steps, Step{
			Kind: kind, At: at, Duration: time.Duration(500+random.IntN(3500)) * time.Millisecond,
			Selector: random.Uint32(), Style: styles[random.IntN(len(styles))],
		})
	}
	steps = append(steps, growthSteps(seed, faultWindow)...)
	if later := append(restoreSteps(seed, faultWindow), evacuationSteps(seed, faultWindow)...); len(later) > 0 {
		steps = append(steps, later...)
		slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	}
	return steps
}

// firstRestoreSeed is the first seed whose plan includes the steps of restoreSteps.
const firstRestoreSeed = 2000

// restoreSteps draws two restores of the store, each soon after changes of the routes and
// followed by another one. Plans that have planned work only have none.
func restoreSteps(seed uint64, faultWindow time.Duration) []Step {
	if seed < firstRestoreSeed || plannedOnly(seed) {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var steps []Step
	for range 2 {
		at := time.Duration(random.Int64N(int64(faultWindow)))
		restore := Step{Kind: StoreRestore, At: at, Duration: time.Duration(200+random.IntN(3000)) * time.Millisecond, Selector: random.Uint32()}
		end := at + restore.Duration
		steps = append(steps, restore,
			Step{Kind: RouteStorm, At: max(0, at-time.Duration(random.IntN(2500))*time.Millisecond)},
			Step{Kind: RouteAdd, At: end + time.Duration(random.IntN(3000))*time.Millisecond},
			Step{Kind: RouteDrop, At: end + time.Duration(random.IntN(3000))*time.Millisecond},
		)
	}
	return steps
}

// firstEvacuationSeed is the first seed whose plan includes the steps of evacuationSteps.
const firstEvacuationSeed = 3000

// evacuationSteps draws an evacuation that lasts longer than evacuationLimit, entries of another
// writer and, unless the plan has planned work only, a server that hangs.
func evacuationSteps(seed uint64, faultWindow time.Duration) []Step {
	if seed < firstEvacuationSeed {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 4))
	steps := []Step{{
		Kind: Evacuate, At: time.Duration(random.Int64N(int64(faultWindow))), Selector: random.Uint32(),
		Duration: evacuationLimit + time.Duration(1000+random.IntN(4000))*time.Millisecond,
	}}
	if !plannedOnly(seed) {
		steps = append(steps, Step{
			Kind: ServerHang, At: time.Duration(random.Int64N(int64(faultWindow))), Selector: random.Uint32(), Duration: 3 * time.Second,
		})
	}
	for range 3 {
		steps = append(steps, Step{
			Kind: ForeignEntry, At: time.Duration(random.Int64N(int64(faultWindow))), Selector: random.Uint32(),
			Duration: time.Duration(200+random.IntN(600)) * time.Millisecond,
		})
	}
	return steps
}

// firstGrowthSeed is the first seed whose plan includes the steps of growthSteps. The plans of
// smaller seeds are kept as they were before these steps existed, so that they reproduce
// earlier runs.
const firstGrowthSeed = 1000

// growthSteps draws a configuration change that adds hundreds of routes while balancers are
// restarted and, unless the plan has planned work only, links with a limited rate.
func growthSteps(seed uint64, faultWindow time.Duration) []Step {
	if seed < firstGrowthSeed {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, 2))
	at := time.Duration(random.Int64N(int64(faultWindow)))
	steps := []Step{
		{Kind: RouteGrowth, At: at},
		{Kind: Roll, At: at + time.Duration(random.IntN(500))*time.Millisecond, Selector: random.Uint32()},
	}
	if !plannedOnly(seed) {
		for range 2 {
			steps = append(steps, Step{Kind: LinkRate, At: at, Duration: 3 * time.Second, Selector: random.Uint32()})
		}
	}
	return steps
}

// plannedOnly reports whether a seed's plan has planned work only. It must draw the same
// number as DrawPlan does first.
func plannedOnly(seed uint64) bool { return rand.New(rand.NewPCG(seed, 1)).IntN(3) == 0 }
