package router

import (
	"container/heap"
	"time"
)

type simEvent struct {
	at time.Time
	do func()
}

type eventQueue []simEvent

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// timeline runs the events of a simulation in virtual time.
type timeline struct {
	now    time.Time
	events eventQueue
}

func (t *timeline) schedule(d time.Duration, do func()) {
	heap.Push(&t.events, simEvent{t.now.Add(d), do})
}

func (t *timeline) run(d time.Duration) {
	end := t.now.Add(d)
	for len(t.events) > 0 && t.events[0].at.Before(end) {
		e := heap.Pop(&t.events).(simEvent)
		t.now = e.at
		e.do()
	}
	t.now = end
}
