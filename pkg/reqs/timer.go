package reqs

import "time"

// timer is the next timeout of a request or a relay. Either request or relay is
// set.
type timer struct {
	at       time.Time
	position int // position in the heap plus 1, or 0 if not queued
	request  *request
	relay    *pendingRelay
}

// timerHeap is a binary heap ordered by time. A timer is removed by its position
// as soon as it is not needed, so that the heap holds only timers in use.
type timerHeap []*timer

// set queues tm for the time at, or moves it there if it is queued.
func (h *timerHeap) set(tm *timer, at time.Time) {
	h.remove(tm)
	tm.at = at
	*h = append(*h, tm)
	tm.position = len(*h)
	h.up(len(*h) - 1)
}

// remove removes tm. It does nothing if tm is not queued.
func (h *timerHeap) remove(tm *timer) {
	if tm.position == 0 {
		return
	}
	i, last := tm.position-1, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	tm.position = 0
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h timerHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

func (h timerHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h[i].at.Before(h[parent].at) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h timerHeap) down(i int) {
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
