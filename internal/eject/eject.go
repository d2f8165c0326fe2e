// Package eject decides which backend servers get no new flows because they do not serve, although
// they accept connections.
//
// The evidence is the outcome of recent requests, summed over the balancers: good if the caller
// acknowledged an answer in time, bad if it did not. A server is ejected if a large share of its
// requests is bad, and several times as large as on the service's other servers: a fault that hits
// all servers alike is not theirs. At most a part of a service is ejected, the worst servers first.
// An ejection lasts for a while, which doubles each time. Afterwards the server is on probation:
// a single bad outcome ejects it again.
//
// Rejected alternatives: a fixed number of failures in a row, which a server that fails part of its
// requests never reaches and which a busy one reaches by chance; active checks, which such servers
// answer; and ending open flows, which would break them while their server lives.
//
// The rules answer services of 8 to several thousand servers, of which up to a fifth fail 40 % to
// all of their requests for 3 to 10 s, at 5 to 30 requests per second and server.
package eject

import (
	"cmp"
	"slices"
	"time"
)

// Evidence are the outcomes of recent requests on a server. They may be fractions, because old ones
// count less.
type Evidence struct {
	Good, Bad float64
}

// Add returns the evidence of two observers.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{e.Good + other.Good, e.Bad + other.Bad}
}

// Decay returns the evidence multiplied by a factor, which forgets old outcomes.
func (e Evidence) Decay(factor float64) Evidence { return Evidence{e.Good * factor, e.Bad * factor} }

// badShare returns the share of bad outcomes, 0 without any.
func (e Evidence) badShare() float64 {
	if e.Bad <= 0 {
		return 0
	}
	return e.Bad / (e.Good + e.Bad)
}

const (
	// minBad is the least number of bad outcomes for an ejection, and minBadShare the least share.
	// Single lost packets and callers that give up cause far smaller shares.
	minBad      = 3.0
	minBadShare = 0.25
	// minRatio is how many times the share of the service's other servers that of an ejected one
	// must be.
	minRatio = 3.0
	// maxEjectedShare is the share of a service's servers that may be ejected. The others have to
	// carry the load.
	maxEjectedShare = 0.3
	// minSpan and maxSpan limit the length of an ejection. Faults last for seconds.
	minSpan = 3 * time.Second
	maxSpan = 30 * time.Second
	// probation is the time after an ejection during which a single bad outcome is enough, which
	// counts as a little less than one by the next decision.
	probation            = 10 * time.Second
	minProbationBad      = 0.7
	minProbationBadShare = 0.2
)

// State is the ejection of one server. The zero value is not ejected.
type State struct {
	until time.Time
	// span is the length of the last ejection, 0 if the server has passed its probation.
	span time.Duration
}

// Ejected reports whether the server is ejected.
func (s *State) Ejected(now time.Time) bool { return now.Before(s.until) }

// Span returns the length of the last ejection, 0 if the server has passed its probation.
func (s *State) Span() time.Duration { return s.span }

// onProbation reports whether the server was ejected recently.
func (s *State) onProbation(now time.Time) bool {
	return s.span > 0 && !s.Ejected(now) && now.Before(s.until.Add(probation))
}

// Server is a server of a service with its evidence.
type Server struct {
	State    *State
	Evidence Evidence
}

// Decide ejects servers of one service and returns the indices of those that it has ejected now.
func Decide(servers []Server, now time.Time) []int {
	var all Evidence
	ejected := 0
	var suspects []int
	for index := range servers {
		s := &servers[index]
		all = all.Add(s.Evidence)
		switch {
		case s.State.Ejected(now):
			ejected++
		case s.State.onProbation(now):
			if s.Evidence.Bad >= minProbationBad && s.Evidence.badShare() >= minProbationBadShare {
				suspects = append(suspects, index)
			}
		default:
			s.State.span = 0
			if s.Evidence.Bad >= minBad && s.Evidence.badShare() >= minBadShare {
				suspects = append(suspects, index)
			}
		}
	}
	slices.SortFunc(suspects, func(a, b int) int {
		return cmp.Compare(servers[b].Evidence.badShare(), servers[a].Evidence.badShare())
	})
	var decided []int
	for _, index := range suspects {
		s := &servers[index]
		others := Evidence{all.Good - s.Evidence.Good, all.Bad - s.Evidence.Bad}
		if float64(ejected+1) > maxEjectedShare*float64(len(servers)) || s.Evidence.badShare() < minRatio*others.badShare() {
			continue
		}
		s.State.span = min(max(2*s.State.span, minSpan), maxSpan)
		s.State.until = now.Add(s.State.span)
		decided = append(decided, index)
		ejected++
	}
	return decided
}
