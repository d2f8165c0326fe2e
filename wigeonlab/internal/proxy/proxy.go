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
	// Silent forward or back: nothing passes that way. On a connection, bytes wait
	// until the harm ends.
	SilentForward, SilentBack bool
	// Reset has connections reset as soon as something is to pass.
	Reset bool
}

// Link is the state of what passes one proxy, by the IP number of the sender. The zero
// value harms nothing.
type Link struct {
	mutex sync.Mutex
	all   Harm
	from  map[netip.Addr]Harm
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
