// Package cost estimates how long requests keep a backend server busy, and how fast the servers
// are, from the times at which callers acknowledge answers.
//
// A Route has a histogram of answer times with exponentially growing buckets, which forgets old
// observations. It gives the mean, quantiles, and the time that a request of a certain age still
// takes: in a distribution with a long tail, a request that has run for long is likely to run on.
// A Server compares the answer times of one server with what its routes let expect.
//
// Answer times include the time after which callers acknowledge, which is the same for all servers.
// It would hide most of the difference between servers if requests are short, so each route
// subtracts the shortest times that it has seen.
//
// Rejected alternatives: a mean alone, which says nothing about a request that runs for long;
// keeping samples, whose memory grows with the traffic; and asking the servers for their load,
// which they do not tell balancers.
//
// The estimates are designed for requests of 4 to 200 ms with tails of up to seven times that, 5 to
// 1,500 requests per second of a route, and servers of 0.5 to 2 times the usual speed that
// sometimes become 5 to 8 times as slow.
package cost

import (
	"math"
	"time"
)

const (
	// minBucket is the upper bound of the first bucket, and bucketGrowth the ratio of the bounds of
	// two buckets. 32 buckets reach 4.6 s.
	bucketCount  = 32
	minBucket    = time.Millisecond
	bucketGrowth = 1.3125
	// maxWeight is the sum of all weights at which a histogram halves them, so that it follows
	// changes within some thousand requests.
	maxWeight = 4000
	// floorQuantile is the quantile that is subtracted from answer times. The very shortest time
	// may be an exception.
	floorQuantile = 0.01
)

// Route is the distribution of a route's answer times. The zero value is ready to use.
type Route struct {
	weights [bucketCount]float32
	total   float32
	sum     float64
}

// bucketOf returns the index of the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= minBucket {
		return 0
	}
	index := int(math.Ceil(math.Log(float64(d)/float64(minBucket)) / math.Log(bucketGrowth)))
	return min(index, bucketCount-1)
}

// bounds are the upper bounds of the buckets.
var bounds = func() (list [bucketCount]time.Duration) {
	for index := range list {
		list[index] = time.Duration(float64(minBucket) * math.Pow(bucketGrowth, float64(index)))
	}
	return list
}()

// Observe adds the time of an answer.
func (r *Route) Observe(answerTime time.Duration) {
	r.weights[bucketOf(answerTime)]++
	r.total++
	r.sum += float64(answerTime)
	if r.total < maxWeight {
		return
	}
	for index := range r.weights {
		r.weights[index] /= 2
	}
	r.total /= 2
	r.sum /= 2
}

// Count returns the weight of the observations.
func (r *Route) Count() float64 { return float64(r.total) }

// Mean returns the mean answer time, 0 without observations.
func (r *Route) Mean() time.Duration {
	if r.total == 0 {
		return 0
	}
	return time.Duration(r.sum / float64(r.total))
}

// Quantile returns an upper bound of a quantile q from 0 to 1, 0 without observations.
func (r *Route) Quantile(q float64) time.Duration {
	var sum float32
	for index, weight := range r.weights {
		if sum += weight; weight > 0 && float64(sum) >= q*float64(r.total) {
			return bounds[index]
		}
	}
	return 0
}

// Remaining returns the expected time that a request of an age still takes. Beyond the longest time
// observed, that is as long again as the request has taken.
func (r *Route) Remaining(age time.Duration) time.Duration {
	var weight float32
	var sum float64
	for index := bucketOf(age); index < bucketCount; index++ {
		if upper := bounds[index]; upper > age {
			weight += r.weights[index]
			sum += float64(r.weights[index]) * float64(upper-age)
		}
	}
	if weight > 0 {
		return time.Duration(sum / float64(weight))
	}
	return max(age, r.Mean())
}

// Floor returns the time that is part of every answer time, whatever the server: at most the shortest
// answer times seen.
func (r *Route) Floor() time.Duration {
	for index, sum := 0, float32(0); index < bucketCount; index++ {
		if sum += r.weights[index]; sum > 0 && float64(sum) >= floorQuantile*float64(r.total) {
			if index == 0 {
				return 0
			}
			return bounds[index-1]
		}
	}
	return 0
}

// Work returns the parts of an answer time, and of the expected one, that depend on the server.
func (r *Route) Work(answerTime time.Duration) (took, expected time.Duration) {
	floor := r.Floor()
	return max(answerTime-floor, 0), max(r.Mean()-floor, time.Millisecond)
}

// Sums are the sums of work over recent requests of a server.
type Sums struct {
	Took, Expected time.Duration
}

// Add returns the sums of two observers.
func (s Sums) Add(other Sums) Sums { return Sums{s.Took + other.Took, s.Expected + other.Expected} }

// Decay returns the sums multiplied by a factor, which forgets old requests.
func (s Sums) Decay(factor float64) Sums {
	return Sums{time.Duration(float64(s.Took) * factor), time.Duration(float64(s.Expected) * factor)}
}

const (
	// priorWork is the work for which a server is assumed to have the usual speed, so that a few
	// observations change little.
	priorWork = 150 * time.Millisecond
	// minSlowness and maxSlowness limit estimates. A server that seems slower is still used a
	// little, so that its recovery is noticed.
	minSlowness, maxSlowness = 0.5, 10
)

// Slowness returns how many times as long as usual a server takes for a request.
func (s Sums) Slowness() float64 {
	slowness := float64(s.Took+priorWork) / float64(s.Expected+priorWork)
	return min(max(slowness, minSlowness), maxSlowness)
}
