package model

import (
	"container/heap"
	"context"
	"time"
)

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Loop runs events in the order of their time. Events with the same time run in the order in
// which they were added.
type Loop struct {
	events   eventQueue
	sequence uint64
}

// After schedules run after the delay.
func (l *Loop) After(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{time.Now().Add(delay), l.sequence, run})
}

// Run runs events for the duration.
func (l *Loop) Run(duration time.Duration) {
	end := time.Now().Add(duration)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next := heap.Pop(&l.events).(event)
		time.Sleep(time.Until(next.at))
		next.run()
	}
	time.Sleep(time.Until(end))
}

// maxIdleWait bounds a wait of Serve while no event is scheduled.
const maxIdleWait = 100 * time.Millisecond

// Serve runs events, and functions from the inbox as they arrive, until the context ends.
func (l *Loop) Serve(ctx context.Context, inbox <-chan func()) {
	for {
		wait := maxIdleWait
		if len(l.events) > 0 {
			wait = time.Until(l.events[0].at)
		}
		if wait <= 0 {
			heap.Pop(&l.events).(event).run()
			continue
		}
		select {
		case <-ctx.Done():
			return
		case run := <-inbox:
			run()
		case <-time.After(wait):
		}
	}
}
