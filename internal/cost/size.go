package cost

const (
	// sizeGain is the weight of the newest answer in the mean size, which follows a change within
	// some hundred requests.
	sizeGain = 0.01
	// maxSize limits the size that an answer counts with, so that single large ones do not make
	// usual ones look short.
	maxSize = 2400
	// shortShare is the share of the mean size below which an answer is short. Errors of servers
	// have about 230 bytes, usual answers of known deployments at least 500.
	shortShare = 0.4
	// minSizes is the number of answers from which on sizes are judged.
	minSizes = 30
)

// Size is the mean size of a route's answers, as far as callers acknowledge them at first. The zero
// value is ready to use.
type Size struct {
	mean  float64
	count int
}

// Observe adds the size of an answer in bytes. It reports whether the answer is short: far smaller
// than usual, as that of a request that failed. A server that answers everything at once with an error
// would otherwise look like the fastest one.
func (s *Size) Observe(bytes uint32) (short bool) {
	size := float64(min(bytes, maxSize))
	short = s.count >= minSizes && size < shortShare*s.mean
	if s.count++; s.count == 1 {
		s.mean = size
	}
	s.mean += (size - s.mean) * max(sizeGain, 1/float64(s.count))
	return short
}
