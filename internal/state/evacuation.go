package state

// Evacuations: failure domains whose backend servers are to get nothing until the operators take
// that back.
//
// The replica keeps a record for each domain that was ever evacuated, also after the evacuation
// was taken back, so that of two records the one with the later revision counts, whichever way
// it arrives. There are as many records as failure domains with an evacuation.
//
// A restored store may lack an evacuation that is still wanted, or hold one that was taken back.
// Operators write again what was lost, but removing a key that the copy lacks is no change that a
// watch reports. Therefore an evacuation that the copy lacks continues for retainedEvacuationTTL
// and then ends unless it was published again. Ending it at once was rejected, because requests
// would reach the domain until it is published again. One that the copy still holds is in force
// again until the operators remove it again, because following the store is what they expect.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// retainedEvacuationTTL is how long an evacuation continues that a restored store lacks. Writers
// repeat what a restore has lost within two seconds.
const retainedEvacuationTTL = 10 * time.Second

// maxEvacuations bounds the records of evacuations. It is far above the number of failure
// domains.
const maxEvacuations = 1024

// Evacuation says whether the backend servers of a failure domain are to get nothing.
type Evacuation struct {
	Domain string
	// Active is false if the evacuation has been taken back.
	Active   bool
	Revision Revision
	// ExpiresAt is when an evacuation ends that a restored store lacks, otherwise the zero time.
	ExpiresAt time.Time
}

// putEvacuation stores a record unless the replica has one that is not older, and reports
// whether it changed.
func (r *Replica) putEvacuation(evacuation Evacuation) bool {
	current, known := r.evacuations[evacuation.Domain]
	if known && current.Revision >= evacuation.Revision || !known && len(r.evacuations) >= maxEvacuations {
		return false
	}
	r.evacuations[evacuation.Domain] = evacuation
	return current.Active || evacuation.Active
}

// applyEvacuations applies the records of a delta. A full delta ends the evacuations that it does
// not hold as active, also those that its sender has not seen since it read the platform anew.
func (r *Replica) applyEvacuations(delta Delta, entersEpoch bool, now time.Time) bool {
	changed := false
	present := make(map[string]bool, len(delta.Evacuations))
	for _, evacuation := range delta.Evacuations {
		present[evacuation.Domain] = evacuation.Active
		if entersEpoch {
			evacuation.Revision = max(evacuation.Revision, delta.To)
		}
		changed = r.putEvacuation(evacuation) || changed
	}
	if !delta.Full {
		return changed
	}
	for domain, current := range r.evacuations {
		// An evacuation that was taken back is recorded again in a new epoch, because peers may
		// have seen it active in the copy.
		if present[domain] || !current.Active && !entersEpoch {
			continue
		}
		changed = changed || current.Active
		switch {
		case current.Active && entersEpoch:
			current.ExpiresAt = now.Add(retainedEvacuationTTL)
		case current.ExpiresAt.IsZero():
			current.Active = false
		}
		current.Revision = max(current.Revision, delta.To)
		r.evacuations[domain] = current
	}
	return changed
}

// expireEvacuations ends the evacuations whose time has passed, and reports whether there were
// any.
func (r *Replica) expireEvacuations(now time.Time) bool {
	changed := false
	for domain, current := range r.evacuations {
		if current.Active && !current.ExpiresAt.IsZero() && now.After(current.ExpiresAt) {
			current.Active = false
			r.evacuations[domain] = current
			changed = true
		}
	}
	return changed
}

// evacuationsSince returns the records that changed after a revision, sorted by domain.
func (r *Replica) evacuationsSince(revision Revision) []Evacuation {
	var list []Evacuation
	for _, evacuation := range r.evacuations {
		if evacuation.Revision > revision {
			list = append(list, evacuation)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// evacuatedDomains returns the failure domains under evacuation.
func (r *Replica) evacuatedDomains() map[string]bool {
	domains := make(map[string]bool)
	for _, domain := range slices.Sorted(maps.Keys(r.evacuations)) {
		if r.evacuations[domain].Active {
			domains[domain] = true
		}
	}
	return domains
}
