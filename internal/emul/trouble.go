package emul

// What may be wrong with a balancer alone: its link or its processor.

import "time"

// queueSpan is the longest that a packet waits for a link; what would wait longer is lost.
const queueSpan = 300 * time.Millisecond

// Sizes of what a balancer sends, in bytes with all heads.
const (
	checkBytes = 60
	headBytes  = 68
	resetBytes = 60
)

// trouble is a balancer's link and processor.
type trouble struct {
	// rate is what the link carries in bytes a second, 0 for any number, and free when it
	// has sent all that waits.
	rate float64
	free time.Time
	// mute balancers' packets are lost on the way out, in part or all.
	mute float64
	// late balancers do not get the processor.
	late bool
}

// Squeeze has the balancer's link carry no more than so many bytes a second for a while.
func (b *Balancer) Squeeze(rate float64, span time.Duration) {
	b.trouble.rate = rate
	b.p.after(span, func() { b.trouble.rate = b.p.settings.Link })
}

// Mute has a share of what the balancer sends be lost for a while.
func (b *Balancer) Mute(share float64, span time.Duration) {
	b.trouble.mute = share
	b.p.after(span, func() { b.trouble.mute = 0 })
}

// Stutter has the balancer get the processor for a quarter of each 400 ms only, for a
// while.
func (b *Balancer) Stutter(span time.Duration) {
	const run, wait = 100 * time.Millisecond, 300 * time.Millisecond
	for at := time.Duration(0); at < span; at += run + wait {
		b.p.after(at, func() { b.trouble.late = true })
		b.p.after(at+wait, func() { b.trouble.late = false })
	}
}

// out sends something of a size over the balancer's link.
func (b *Balancer) out(size int, run func()) {
	t := &b.trouble
	if b.p.random.Float64() < t.mute {
		return
	}
	if t.rate == 0 {
		run()
		return
	}
	now := time.Now()
	if t.free.Before(now) {
		t.free = now
	}
	if t.free.Sub(now) > queueSpan {
		return
	}
	t.free = t.free.Add(time.Duration(float64(size) / t.rate * float64(time.Second)))
	b.p.after(t.free.Sub(now), run)
}
