package reqs

import "time"

// timer is the next moment at which a request or relay needs attention.
type timer struct {
	at    time.Time
	index int // position in timers plus 1; 0 when not queued
	call  *call
	relay *relay
}

// timers is a binary heap ordered by time. Removal by position keeps its size
// equal to the number of live entries.
type timers []*timer

// set queues tm for at, or moves it there.
func (h *timers) set(tm *timer, at time.Time) {
	h.remove(tm)
	tm.at = at
	*h = append(*h, tm)
	tm.index = len(*h)
	h.up(len(*h) - 1)
}

// remove takes tm out; it does nothing when tm is not queued.
func (h *timers) remove(tm *timer) {
	if tm.index == 0 {
		return
	}
	i, last := tm.index-1, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	tm.index = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h timers) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

func (h timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].at.Before(h[parent].at) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h timers) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h[child].at.Before(h[least].at) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
