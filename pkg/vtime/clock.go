// Package vtime runs functions in virtual time, so that tests and benchmarks
// of several instances are fast and give the same result each run.
package vtime

import (
	"container/heap"
	"time"
)

// Clock holds the virtual time and the functions scheduled for later. Functions
// that are due at the same time run in the order in which they were added. It is
// not safe for concurrent use.
type Clock struct {
	// Now is the virtual time. Set it before the first use.
	Now time.Time

	queue events
	added int
}

// After schedules do to run when d has passed.
func (c *Clock) After(d time.Duration, do func()) {
	c.added++
	heap.Push(&c.queue, event{c.Now.Add(d), c.added, do})
}

// RunUntil runs all functions that are due up to and including end, and then
// sets the time to end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = end
}

// RunFor runs all functions that are due within d, and advances the time by d.
func (c *Clock) RunFor(d time.Duration) { c.RunUntil(c.Now.Add(d)) }

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
