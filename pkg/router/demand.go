package router

import (
	"time"

	"ebonypaddle/pkg/load"
)

const (
	// maxInProgress is how long a request without an answer counts as in progress.
	// Its packets may go through another instance by then, its caller gave up, or its
	// server reset the flow, which the instance does not see.
	maxInProgress = 700 * time.Millisecond
	// movedFlows is the number of flows from other instances within movedWindow that
	// shows that the platform's routers distribute all flows anew. Own requests that
	// began more than movedBefore ago then go on at other instances.
	movedFlows  = 4
	movedWindow = 200 * time.Millisecond
	movedBefore = 100 * time.Millisecond
	// rejectionRatio is the length of an answer, as a share of what is usual for its
	// route, below which it looks like a rejection.
	rejectionRatio = 0.25
	// answerSizeGain and answerSizeDecay are the weights of long and of short answers
	// in the usual length.
	answerSizeGain, answerSizeDecay = 1.0 / 16, 1.0 / 512
)

// demand counts what the callers of this instance ask of each service.
type demand struct {
	services map[string]*serviceDemand
	begunAt  []activeRequest // oldest first; those before next are done
	next     int
	// moved counts flows that came from other instances since movedSince.
	moved      int
	movedSince time.Time
}

// serviceDemand is the demand on one service.
type serviceDemand struct {
	offered, begun [load.Classes]load.Rate
	done, rejected load.Rate
	// opened is the rate of flows to servers of other failure domains.
	opened map[string]*load.Rate
}

// activeRequest is a request that began at a time.
type activeRequest struct {
	flow *flow
	at   time.Time
}

func (d *demand) start() { d.services = map[string]*serviceDemand{} }

// service returns the demand on a service, and adds it if it is new.
func (d *demand) service(name string) *serviceDemand {
	s := d.services[name]
	if s == nil {
		s = &serviceDemand{opened: map[string]*load.Rate{}}
		d.services[name] = s
	}
	return s
}

// begun counts a request that begins on an open flow, by its cost in mean requests. The
// first one of a flow was counted with its opening.
func (d *demand) begun(now time.Time, f *flow, rt *Route, cost float64) {
	if rt == nil {
		return
	}
	s := d.service(f.server.Service)
	f.class = uint8(load.Class(rt.Priority))
	if f.adopted || f.requested {
		s.begun[f.class].Add(now, cost)
	}
	f.requested = true
	d.answerEnded(now, f, rt)
	f.answerFrom, f.answered = f.acked, false
	f.active = true
	f.server.load.active++
	d.begunAt = append(d.begunAt, activeRequest{f, now})
}

// sent counts a flow that is opened at a server of another failure domain.
func (d *demand) sent(now time.Time, srv *server) {
	s := d.service(srv.Service)
	r := s.opened[srv.Domain]
	if r == nil {
		r = &load.Rate{}
		s.opened[srv.Domain] = r
	}
	r.Add(now, 1)
}

// answered counts an answer that has begun, by the cost of its request.
func (d *demand) answered(now time.Time, srv *server, f *flow, cost float64) {
	f.answered, f.cost = true, float32(cost)
	d.service(srv.Service).done.Add(now, cost)
}

// ended handles the end of a flow by its caller.
func (d *demand) ended(now time.Time, f *flow, rt *Route) {
	if rt != nil && f.requestStartedAt.IsZero() {
		d.answerEnded(now, f, rt)
	}
}

// answerEnded handles the end of the latest answer of a flow, and counts it as a
// rejection if it looks like one.
func (d *demand) answerEnded(now time.Time, f *flow, rt *Route) {
	if f.answered && rt.shortAnswer(float64(f.acked-f.answerFrom)) {
		d.service(f.server.Service).rejected.Add(now, float64(f.cost))
	}
	f.answered = false
}

// shortAnswer updates the usual length of the route's answers by one of size bytes,
// and reports whether it looks like a rejection.
func (rt *Route) shortAnswer(size float64) bool {
	switch {
	case rt.answerSize == 0:
		rt.answerSize = size
	case size < rejectionRatio*rt.answerSize:
		rt.answerSize += (size - rt.answerSize) * answerSizeDecay
		return true
	default:
		rt.answerSize += (size - rt.answerSize) * answerSizeGain
	}
	return false
}

// adopted counts an open flow that comes from another instance.
func (d *demand) adopted(now time.Time) {
	if now.Sub(d.movedSince) > movedWindow {
		d.moved, d.movedSince = 0, now
	}
	if d.moved++; d.moved < movedFlows {
		return
	}
	d.moved = 0
	d.expire(now, movedBefore)
}

// expire takes requests out of those in progress that began longer ago than an age.
func (d *demand) expire(now time.Time, age time.Duration) {
	for d.next < len(d.begunAt) && now.Sub(d.begunAt[d.next].at) >= age {
		r := &d.begunAt[d.next]
		if r.flow.requestStartedAt.Equal(r.at) {
			r.flow.server.load.inactive(r.flow)
		}
		r.flow = nil
		d.next++
	}
	if 2*d.next > len(d.begunAt) {
		d.begunAt = append(d.begunAt[:0], d.begunAt[d.next:]...)
		d.next = 0
	}
}
