package emul

// Faults of a single balancer's host: a slow or lossy link, or a lack of processor time.

import "time"

// maxLinkQueueDelay is the queueing delay of a link above which packets are dropped.
const maxLinkQueueDelay = 300 * time.Millisecond

// The sizes, in bytes including all headers, of what a balancer sends.
const (
	checkBytes = 60
	// headerBytes is the size of a forwarded packet without its data.
	headerBytes = 68
	resetBytes  = 60
)

// host is the state of a balancer's link and processor.
type host struct {
	// linkRate is the outgoing capacity in bytes per second, 0 if it is unlimited.
	// linkFreeAt is the time at which all queued packets will have been sent.
	linkRate   float64
	linkFreeAt time.Time
	// outgoingLossRate is the probability, from 0 to 1, that a sent packet is lost.
	outgoingLossRate float64
	// starved is set while the process gets no processor time.
	starved bool
}

// LimitLink limits the balancer's link to the given outgoing capacity, in bytes per second,
// for the given duration.
func (b *Balancer) LimitLink(rate float64, duration time.Duration) {
	b.host.linkRate = rate
	b.deployment.after(duration, func() { b.host.linkRate = b.deployment.config.LinkRate })
}

// DropOutgoing drops each packet that the balancer sends with the given probability, for the
// given duration.
func (b *Balancer) DropOutgoing(lossRate float64, duration time.Duration) {
	b.host.outgoingLossRate = lossRate
	b.deployment.after(duration, func() { b.host.outgoingLossRate = 0 })
}

// StarveProcessor gives the process processor time only for the last 100 ms of each
// 400 ms, for the given duration.
func (b *Balancer) StarveProcessor(duration time.Duration) {
	const run, wait = 100 * time.Millisecond, 300 * time.Millisecond
	for at := time.Duration(0); at < duration; at += run + wait {
		b.deployment.after(at, func() { b.host.starved = true })
		b.deployment.after(at+wait, func() { b.host.starved = false })
	}
}

// transmit sends a packet of the given size over the balancer's link and calls deliver
// when the packet leaves the link. It does not call deliver if the packet is lost.
func (b *Balancer) transmit(size int, deliver func()) {
	h := &b.host
	if b.deployment.random.Float64() < h.outgoingLossRate {
		return
	}
	if h.linkRate == 0 {
		deliver()
		return
	}
	now := time.Now()
	if h.linkFreeAt.Before(now) {
		h.linkFreeAt = now
	}
	if h.linkFreeAt.Sub(now) > maxLinkQueueDelay {
		return
	}
	h.linkFreeAt = h.linkFreeAt.Add(time.Duration(float64(size) / h.linkRate * float64(time.Second)))
	b.deployment.after(h.linkFreeAt.Sub(now), deliver)
}
