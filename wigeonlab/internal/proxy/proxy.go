// Package proxy relays datagrams and connections between processes on loopback and injects
// network faults: delay, packet loss, a limited rate, blocked directions and resets.
//
// A relay listens at one address, forwards to another, and looks up the fault of each
// sender in a Link, which a test changes while the relay runs.
//
// Rules of the kernel's packet filter were rejected: they need privileges and remain in
// force if a run is killed.
package proxy

import (
	"net/netip"
	"sync"
	"time"
)

// Fault describes the faults of a link. The zero value is a link without faults.
type Fault struct {
	// Delay is added in each direction.
	Delay time.Duration
	// Loss is the probability, from 0 to 1, that a datagram is dropped. It does not
	// apply to connections.
	Loss float64
	// Rate limits datagrams to a number of bytes per second; 0 means no limit. A
	// datagram that arrives when the queue exceeds maxQueueDelay is dropped.
	Rate float64
	// BlockForward and BlockBack drop all datagrams of a direction: from the sender to
	// the target, or back. On a connection, bytes wait until the fault is removed.
	BlockForward, BlockBack bool
	// Reset resets a connection when it is opened or carries data. It does not apply
	// to datagrams.
	Reset bool
}

// maxQueueDelay is the queue length, as transmission time, from which a link with a
// limited rate drops datagrams.
const maxQueueDelay = 300 * time.Millisecond

// Link holds the faults of a relay. Senders are distinguished by IP address. The zero
// value has no faults. Its methods may be called concurrently.
type Link struct {
	mutex        sync.Mutex
	defaultFault Fault
	senderFaults map[netip.Addr]Fault
	// freeAt is when a link with a limited rate will have sent all queued datagrams.
	freeAt time.Time
}

// SetFault sets the fault for all senders that have none of their own.
func (l *Link) SetFault(fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.defaultFault = fault
}

// SetSenderFault sets the fault for the traffic from and to one sender, which replaces the
// fault set by SetFault. The zero Fault removes it.
func (l *Link) SetSenderFault(sender netip.Addr, fault Fault) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.senderFaults == nil {
		l.senderFaults = make(map[netip.Addr]Fault)
	}
	if fault == (Fault{}) {
		delete(l.senderFaults, sender)
		return
	}
	l.senderFaults[sender] = fault
}

// fault returns the current fault for a sender.
func (l *Link) fault(sender netip.Addr) Fault {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if fault, ok := l.senderFaults[sender]; ok {
		return fault
	}
	return l.defaultFault
}

// queueDelay enqueues a datagram on a link with a limited rate. It returns the delay until
// the datagram has been sent, or false if the datagram is dropped.
func (l *Link) queueDelay(rate float64, size int) (time.Duration, bool) {
	if rate == 0 {
		return 0, true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.freeAt.Sub(now) > maxQueueDelay {
		return 0, false
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / rate * float64(time.Second)))
	return l.freeAt.Sub(now), true
}
