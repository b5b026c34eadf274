// Package admit decides which new flows of a service are admitted while callers ask
// for more than its servers bear, and which failure domain gets them. It answers the
// load at which the queues of servers grow: without it, servers reject what they have
// no room for, whatever its priority, and answers come late. All instances that have
// the same sums decide alike. The package has no sockets, goroutines, clocks or
// randomness.
package admit

import (
	"time"

	"ebonypaddle/pkg/load"
)

const (
	// waitShare is the share of the latency target that a request may wait for a
	// slot. The rest is for the work, the path and a second try.
	waitShare = 0.25
	// busyShare is the share of the slots that must be busy for a plan to come into
	// force. With fewer, the queues are those of single servers, which placing avoids.
	busyShare = 0.9
	// idleShare is the share of busy slots below which nothing is refused, although the
	// plan stays in force: servers have room, whatever the capacity looks like. After a
	// common outage most answers are rejections, and little is known of it.
	idleShare = 0.5
	// flowHorizon is the time in which the requests of a new flow count when it is
	// admitted. Those of the flows that are open cannot be refused afterwards.
	flowHorizon = time.Second
	// resumeShare is the share of the bearable requests in progress below which a
	// service is not pressed any more, once that held for calmTime.
	resumeShare = 0.7
	calmTime    = time.Second
	// settleTime is the time in which requests in progress above or below the bearable
	// number are to come to it. It is longer than the sums are old.
	settleTime = 500 * time.Millisecond
	// trimGain is by how much each update corrects the capacity, as a share of it, while
	// the requests in progress are far from the bearable number. It is never below the
	// measured one, which counts the path of requests as work while slots are free.
	trimGain = 0.06
	maxTrim  = 0.3
	// roomFollow is the part of a change of another failure domain's room that an update
	// takes over.
	roomFollow = 0.3
	// leastShare is the share of the capacity that lower classes together get
	// whatever the higher ones ask for, so that they do not starve.
	leastShare = 0.02
	// rejectedShare is the share of answers that are rejections from which on
	// servers have less room than the latency target allows. Each update then
	// lowers the bearable wait by roomStep, to minRoom at least, and raises it
	// again by roomGain otherwise.
	rejectedShare = 0.1
	roomStep      = 0.97
	roomGain      = 0.03
	minRoom       = 0.3
)

// allClasses admits all new flows.
var allClasses = [load.Classes]float64{1, 1, 1, 1}

// Domain is the load of a service in one failure domain.
type Domain struct {
	load.Total
	// Flows is the number of open flows at the servers.
	Flows float64
	// ReceivedInProgress is what other failure domains have in progress here.
	ReceivedInProgress float64
}

// Away is the part of new flows that goes to another failure domain, by class, as a
// share of all new flows of the class.
type Away struct {
	Domain string
	Share  [load.Classes]float64
}

// Plan says what happens to new flows of a service, by class: Admit is the share
// that is placed in the own failure domain, Away what goes to others, and the rest is
// refused.
type Plan struct {
	Admit [load.Classes]float64
	Away  []Away
}

// Service plans for one service in one failure domain. The zero value is ready for
// use.
type Service struct {
	pressed   bool
	refuses   bool // the last plan refused flows, or sent them away
	calmSince time.Time
	// shrunk is the part by which rejections lowered the bearable wait.
	shrunk float64
	// trim is the part by which the capacity is above the measured one.
	trim float64
	// rooms are those of other failure domains.
	rooms map[string]float64
}

// domainState is what the decision needs of one failure domain.
type domainState struct {
	*Domain
	capacity float64 // requests a second
	excess   float64 // by how much the capacity is lower for all but the highest class
	room     float64 // capacity without what is admitted there, below 0 for an excess
	pressed  bool    // otherwise it admits all of its own callers
}

// Update plans from the load of the own failure domain and of those that can be
// reached. target is the latency target of the service's routes. It reports false
// while there is room, and the plan is then not in force.
func (s *Service) Update(now time.Time, target time.Duration, own Domain, others []Domain) (Plan, bool) {
	work := workTime(own, others)
	bearable := s.bearable(target, work, &own)
	if work <= 0 { // without answers nothing is known of the capacity
		*s = Service{}
		return Plan{}, false
	}
	s.setPressed(now, bearable, &own)
	if !s.pressed {
		s.trim, s.refuses, s.rooms = 0, false, nil
		return Plan{}, false
	}
	if own.Busy+own.ReceivedInProgress < idleShare*own.Slots {
		s.refuses = false
		return Plan{Admit: allClasses}, true
	}
	perFlow := requestsPerFlow(&own)
	states := make([]domainState, 0, len(others)+1)
	s.updateTrim(bearable, &own)
	states = append(states, s.state(&own, work, bearable, true))
	for i := range others {
		d := others[i]
		bearable := bearablePerSlot(target, work) * d.Slots
		states = append(states, s.state(&d, work, bearable, d.InProgress >= bearable))
	}
	for i := range states {
		for c := range load.Classes {
			states[i].Demand.Offered[c] *= perFlow[c]
		}
	}
	p := s.plan(states)
	s.refuses = false
	for c, share := range p.Admit {
		s.refuses = s.refuses || share < 1 && own.Demand.Offered[c] > 0
	}
	return p, true
}

// requestsPerFlow returns by class how many requests a new flow carries within
// flowHorizon: its first one, and as many as the open flows carry now.
func requestsPerFlow(own *Domain) (out [load.Classes]float64) {
	for c := range load.Classes {
		out[c] = 1
		if own.Flows > 0 {
			out[c] += own.Demand.Begun[c] / own.Flows * flowHorizon.Seconds()
		}
	}
	return out
}

// workTime returns the mean time for which a request occupies a slot, in seconds, or
// 0 if there are no answers.
func workTime(own Domain, others []Domain) float64 {
	busy, done := own.Busy, own.Demand.Done-own.Demand.Rejected
	if done <= 0 || busy <= 0 {
		for i := range others {
			busy += others[i].Busy
			done += others[i].Demand.Done - others[i].Demand.Rejected
		}
	}
	if done <= 0 || busy <= 0 {
		return 0
	}
	return busy / done
}

// bearablePerSlot returns the number of requests in progress per slot at which a new
// one waits for waitShare of the latency target.
func bearablePerSlot(target time.Duration, work float64) float64 {
	if work <= 0 {
		return 1
	}
	return 1 + waitShare*target.Seconds()/work
}

// bearable returns the number of requests in progress in the own failure domain at
// which callers wait as long as they may.
func (s *Service) bearable(target time.Duration, work float64, own *Domain) float64 {
	answers := own.Demand.Done
	switch {
	case answers > 0 && own.Demand.Rejected > rejectedShare*answers:
		s.shrunk = min(s.shrunk+(1-s.shrunk)*(1-roomStep), 1-minRoom)
	default:
		s.shrunk = max(s.shrunk-roomGain, 0)
	}
	return (1 + (bearablePerSlot(target, work)-1)*(1-s.shrunk)) * own.Slots
}

// updateTrim corrects the capacity by the requests in progress.
func (s *Service) updateTrim(bearable float64, own *Domain) {
	if bearable <= 0 {
		return
	}
	off := (bearable - own.InProgress - own.ReceivedInProgress) / bearable
	s.trim = min(max(s.trim+trimGain*min(max(off, -1), 1), 0), maxTrim)
}

// setPressed puts the plan in force when nearly all slots are busy and more requests
// are in progress than bearable.
func (s *Service) setPressed(now time.Time, bearable float64, own *Domain) {
	inProgress := own.InProgress + own.ReceivedInProgress
	switch {
	case own.Slots > 0 && inProgress >= bearable && (s.pressed || own.Busy+own.ReceivedInProgress >= busyShare*own.Slots):
		s.pressed, s.calmSince = true, now
	case s.refuses || inProgress >= resumeShare*bearable && own.Slots > 0:
		s.calmSince = now
	case now.Sub(s.calmSince) >= calmTime:
		s.pressed = false
	}
}

// state returns what the decision needs of a failure domain. The capacity is the rate
// of requests that it answers, and what brings the requests in progress to the bearable
// number. If they are above it, that takes nothing from the highest class, which they
// are not of as long as it fits.
func (s *Service) state(d *Domain, work, bearable float64, pressed bool) domainState {
	st := domainState{Domain: d, pressed: pressed}
	if work <= 0 || d.Slots <= 0 {
		return st
	}
	if done := d.Demand.Done - d.Demand.Rejected; done > 0 && d.Busy > d.Slots/2 {
		work = d.Busy / done
	}
	off := (bearable - d.InProgress - d.ReceivedInProgress) / settleTime.Seconds()
	st.capacity = (1+s.trim)*d.Slots/work + max(off, 0)
	st.excess = max(-off, 0)
	return st
}

// shares returns the shares of new flows by class that fit into a capacity, the higher
// classes first, and how much of it is taken. excess lowers it for all but the highest
// class that callers ask for. Requests on open flows cannot be
// refused; those of lower classes do not take room from higher ones.
func shares(capacity, excess float64, most [load.Classes]float64, d *load.Demand) (out [load.Classes]float64, admitted, begun float64) {
	left, highest := capacity, true
	for c := range load.Classes {
		left -= d.Begun[c]
		begun += d.Begun[c]
		room := left
		if c > 0 {
			room = max(left, leastShare*capacity)
		}
		out[c] = most[c]
		if d.Offered[c] > 0 {
			out[c] = min(max(room/d.Offered[c], 0), most[c])
		}
		left -= out[c] * d.Offered[c]
		admitted += out[c] * d.Offered[c]
		if highest && d.Offered[c]+d.Begun[c] > 0 {
			highest = false
			left -= excess
		}
	}
	return out, admitted, begun
}

// smoothRoom returns the room of another failure domain, which follows its totals
// slowly: they are older than the sums, and flows to it are not in them at once.
func (s *Service) smoothRoom(st *domainState) float64 {
	if s.rooms == nil {
		s.rooms = map[string]float64{}
	}
	room, ok := s.rooms[st.Domain.Domain]
	if !ok {
		room = st.room
	}
	room += (st.room - room) * roomFollow
	s.rooms[st.Domain.Domain] = room
	return room
}

// plan shares the capacity of all failure domains out by class, so that callers of one
// class are admitted alike wherever they are. The first domain is the own one; what it
// has no room for goes to those that have, in proportion to their room.
func (s *Service) plan(states []domainState) Plan {
	var demand load.Demand
	total, excess := 0.0, 0.0
	for i := range states {
		total += states[i].capacity
		excess += states[i].excess
		demand.Add(&states[i].Demand)
	}
	share, _, _ := shares(total, excess, allClasses, &demand)
	rooms, excesses := 0.0, 0.0
	for i := range states {
		st := &states[i]
		st.room = st.capacity - st.excess
		for c := range load.Classes {
			admitted := st.Demand.Offered[c]
			if st.pressed {
				admitted *= share[c]
			}
			st.room -= st.Demand.Begun[c] + admitted
		}
		if i > 0 {
			st.room = s.smoothRoom(st)
		}
		rooms += max(st.room, 0)
		excesses += max(-st.room, 0)
	}
	own := &states[0]
	elsewhere := 0.0 // the room of other domains for this one
	if own.room < 0 {
		elsewhere = min(-own.room, rooms*-own.room/excesses)
	}
	share, admitted, begun := shares(own.capacity+elsewhere, own.excess, share, &own.Demand)
	away := min(max(admitted+begun-own.capacity+own.excess, 0), elsewhere, admitted)
	p := Plan{Admit: share}
	if away <= 0 {
		return p
	}
	for c := range load.Classes {
		p.Admit[c] = share[c] * (1 - away/admitted)
	}
	for _, st := range states[1:] {
		if st.room <= 0 {
			continue
		}
		a := Away{Domain: st.Domain.Domain}
		for c := range load.Classes {
			a.Share[c] = share[c] * away / admitted * st.room / rooms
		}
		p.Away = append(p.Away, a)
	}
	return p
}
