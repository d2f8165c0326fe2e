// Package proxy stands between processes on loopback and harms what passes: it delays,
// loses, silences one way or both, and resets.
//
// Rules of the kernel's packet filter were rejected: they need privileges, and stay when
// a run is killed.
package proxy

import (
	"net/netip"
	"sync"
	"time"
)

// Harm is what happens on a link. The zero value is none.
type Harm struct {
	Delay time.Duration
	// Loss is the share of datagrams that are lost. Connections lose nothing.
	Loss float64
	// Rate is what datagrams may take in bytes a second, 0 for any number. What would wait
	// longer than queueSpan is lost.
	Rate float64
	// Silent forward or back: nothing passes that way. On a connection, bytes wait
	// until the harm ends.
	SilentForward, SilentBack bool
	// Reset has connections reset as soon as something is to pass.
	Reset bool
}

// queueSpan is the longest that a datagram waits for a link of a set rate.
const queueSpan = 300 * time.Millisecond

// Link is the state of what passes one proxy, by the IP number of the sender. The zero
// value harms nothing.
type Link struct {
	mutex sync.Mutex
	all   Harm
	from  map[netip.Addr]Harm
	// free is when a link of a set rate has sent all that waits for it.
	free time.Time
}

// Set harms what all senders send.
func (l *Link) Set(harm Harm) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.all = harm
}

// SetFrom harms what one sender sends and is sent, in place of what all suffer.
func (l *Link) SetFrom(sender netip.Addr, harm Harm) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.from == nil {
		l.from = make(map[netip.Addr]Harm)
	}
	if harm == (Harm{}) {
		delete(l.from, sender)
		return
	}
	l.from[sender] = harm
}

func (l *Link) harm(sender netip.Addr) Harm {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if harm, ok := l.from[sender]; ok {
		return harm
	}
	return l.all
}

// queue returns how long a datagram waits for a link of a rate, false if it is lost.
func (l *Link) queue(rate float64, size int) (time.Duration, bool) {
	if rate == 0 {
		return 0, true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	if l.free.Sub(now) > queueSpan {
		return 0, false
	}
	l.free = l.free.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	return l.free.Sub(now), true
}
