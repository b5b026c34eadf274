package router

import (
	"time"

	"ebonypaddle/pkg/logs"
)

const (
	// suspectMisses is the number of signs in a row, without an answer between
	// them, after which a server gets no new flows. One can be a lost
	// datagram.
	suspectMisses = 2
	// silentMisses is the number of times that callers repeated data after
	// which open flows are given up too. It takes several flows, see silent.
	silentMisses = 3
	// muteRepeats is the number of copies that end a flow without signs from
	// others: with 1% of datagrams lost, four in a row are one in 10^8.
	muteRepeats = 3
	// silentFor is the time without any answer that it takes as well. Callers
	// repeat data after 200 ms.
	silentFor = 250 * time.Millisecond
	// silentWithin is the longest time since data was last repeated. Older
	// signs say nothing of a server that may be reached again. It is half of
	// the time for which the platform counts a healed link as disturbed.
	silentWithin = 2 * time.Second
	// cutMisses is the number of signs in a row after which a failure domain
	// counts as cut off.
	cutMisses = 4
	// suspectFor is how long a suspect server gets no new flows. Callers send
	// an opening again after 200 ms, so a trial after it costs one flow that.
	suspectFor = time.Second
	// maxSuspectFor bounds the time as it doubles with each failed trial.
	maxSuspectFor = 4 * time.Second
	// aliveFor is how long after an answer a server counts as alive. Records
	// are removed after three heartbeats of silence, so the server of a
	// rightly removed record has been silent for longer.
	aliveFor = 1500 * time.Millisecond
	// answerWithin is the time in which a server answers an opening and the
	// caller goes on. It is several times the longest way between failure
	// domains, and below the 200 ms after which callers repeat an opening.
	answerWithin = 80 * time.Millisecond
	// maxGap is the longest time between two calls that is not a pause of the
	// process: the ticks come every 100 ms. It is below the 200 ms after which
	// callers repeat data, so that no copy of data that waited in the socket
	// is taken for a sign. distrust is the time after a pause in which packets
	// are of unknown age and their absence shows nothing.
	maxGap   = 150 * time.Millisecond
	distrust = 400 * time.Millisecond
	// maxLag is the time that a packet may wait in the instance's own socket.
	// Behind a longer queue, copies of data come before the news that they
	// were answered.
	maxLag = 40 * time.Millisecond
	// closePause is how long after a pause or a lag no open flow is closed. The
	// signs from that time are too old then, see silentWithin.
	closePause = silentWithin
)

// evidence is what packets of callers tell of whether a server answers.
type evidence struct {
	answeredAt time.Time
	misses     int
	// unacked are the misses that were data of an open flow, the latest at
	// unackedAt. A full server ignores openings, but takes the data of its
	// flows.
	unacked   int
	unackedAt time.Time
	// first is the flow of the first miss in a row; several tells that misses
	// came from more than one flow.
	first   flowKey
	several bool
	// until is when a suspect server gets a new flow as a trial.
	until time.Time
	wait  time.Duration
}

// answered notes that a caller got something from the server.
func (e *evidence) answered(now time.Time) { *e = evidence{answeredAt: now} }

// missed notes that a caller lacks something that the server should have
// answered.
func (e *evidence) missed(now time.Time, k flowKey) {
	if e.misses == 0 {
		e.first = k
	}
	e.several = e.several || k != e.first
	e.misses++
	if e.misses < suspectMisses || now.Before(e.until) {
		return
	}
	e.wait = min(max(2*e.wait, suspectFor), maxSuspectFor)
	e.until = now.Add(e.wait)
}

// suspect reports whether the server should get no new flow.
func (e *evidence) suspect(now time.Time) bool { return now.Before(e.until) }

// silent reports whether the server answers nobody, so that its open flows are
// lost.
func (e *evidence) silent(now time.Time) bool {
	return e.unacked >= silentMisses && e.several &&
		now.Sub(e.answeredAt) >= silentFor && now.Sub(e.unackedAt) <= silentWithin
}

// mute reports whether the server has lately answered nobody, for a flow whose
// caller repeated its data a number of times. Datagrams are lost now and then,
// so it takes another flow as well, or more copies.
func (e *evidence) mute(now time.Time, repeats int) bool {
	if e.misses < suspectMisses || now.Sub(e.answeredAt) < silentFor {
		return false
	}
	return repeats >= muteRepeats || repeats >= suspectMisses && e.several
}

func (e *evidence) alive(now time.Time) bool {
	return !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < aliveFor && e.misses < suspectMisses
}

// domain is what is known of the way to a failure domain.
type domain struct {
	evidence evidence
	cut      bool
}

// domain returns the row of a failure domain.
func (s *Balancer) domain(name string) *domain {
	d := s.domains[name]
	if d == nil {
		d = &domain{}
		s.domains[name] = d
	}
	return d
}

// answered notes an answer of a server.
func (s *Balancer) answered(now time.Time, r *server) {
	r.evidence.answered(now)
	s.reached(now, r.Domain)
}

// MarkReachable notes that something in a failure domain answered this instance.
func (s *Balancer) MarkReachable(now time.Time, name string) { s.reached(now, name) }

func (s *Balancer) reached(now time.Time, name string) {
	d := s.domain(name)
	if d.cut {
		s.Log.Info("failure domain reached again", "domain", name)
	}
	if d.cut {
		// What its servers did not answer was lost on the way.
		for _, r := range s.byName {
			if r.Domain == name {
				r.evidence = evidence{answeredAt: r.evidence.answeredAt}
			}
		}
	}
	d.cut = false
	d.evidence.answered(now)
}

// unacked notes that a caller repeated data of an open flow.
func (s *Balancer) unacked(now time.Time, r *server, k flowKey) {
	if now.Before(s.judgeFrom) {
		return
	}
	e := &r.evidence
	if now.Sub(e.unackedAt) > silentWithin {
		e.unacked = 0
	}
	e.unacked++
	e.unackedAt = now
	s.missed(now, r, k)
}

// missed notes that a server did not answer a flow. After a pause of this
// process nothing is noted.
func (s *Balancer) missed(now time.Time, r *server, k flowKey) {
	if now.Before(s.judgeFrom) {
		return
	}
	was := r.evidence.suspect(now)
	r.evidence.missed(now, k)
	if !was && r.evidence.suspect(now) {
		s.Log.Info("server suspect", "server", r.name, "misses", r.evidence.misses, "answeredBefore", logs.Age(now, r.evidence.answeredAt), "for", r.evidence.wait, "rev", r.Rev)
	}
	d := s.domain(r.Domain)
	d.evidence.missed(now, k)
	if !d.cut && r.Domain != s.Domain && d.evidence.misses >= cutMisses && d.evidence.several {
		d.cut = true
		s.Log.Warn("failure domain does not answer", "domain", r.Domain, "misses", d.evidence.misses)
	}
}

// ReportLag tells how long a packet, or another task of the process, waited for
// the instance itself. While that is long, nothing shows that a server does not
// answer.
func (s *Balancer) ReportLag(now time.Time, lag time.Duration) {
	if lag <= maxLag {
		return
	}
	if !now.Before(s.judgeFrom) {
		s.Log.Warn("instance is behind, silence of servers is not judged", "lag", lag)
	}
	s.judgeFrom = now.Add(distrust + lag)
	s.closeFrom = s.judgeFrom.Add(closePause)
	s.pending, s.due = s.pending[:0], 0
}

// pending is an opening that waits for the caller's next packet.
type pending struct {
	key flowKey
	at  time.Time
}

// enter begins a call. Openings that were not answered in time count against
// their servers.
func (s *Balancer) enter(now time.Time) {
	if gap := now.Sub(s.entered); gap > maxGap {
		s.judgeFrom = now.Add(distrust)
		s.closeFrom = s.judgeFrom.Add(closePause)
		s.pending, s.due = s.pending[:0], 0
	}
	s.entered = now
	for s.due < len(s.pending) && now.Sub(s.pending[s.due].at) >= answerWithin {
		p := &s.pending[s.due]
		s.due++
		if f := s.flows.rows[p.key]; f != nil && !f.open && !f.doubted && f.openedAt.Equal(p.at) {
			f.doubted = true
			s.missed(now, f.server, p.key)
		}
	}
	if 2*s.due > len(s.pending) {
		s.pending = append(s.pending[:0], s.pending[s.due:]...)
		s.due = 0
	}
}

// Isolated reports whether all servers that could take new flows of some
// service are in failure domains that do not answer. Then other instances can
// serve its callers better.
func (s *Balancer) Isolated() bool {
	for _, p := range s.pools {
		cut, rest := 0, 0
		for _, rows := range [][]*server{p.own, p.other} {
			for _, r := range rows {
				switch {
				case !s.usable(r):
				case s.domain(r.Domain).cut:
					cut++
				default:
					rest++
				}
			}
		}
		if cut > 0 && rest == 0 {
			return true
		}
	}
	return false
}

// Probe is a server whose answer shows that its failure domain is reached.
type Probe struct {
	Domain string
	Target Target
}

// Probes appends one server for each failure domain that does not answer.
func (s *Balancer) Probes(ps []Probe) []Probe {
	for name, d := range s.domains {
		if !d.cut {
			continue
		}
		for _, r := range s.byName {
			if r.Domain == name {
				ps = append(ps, Probe{name, r.target()})
				break
			}
		}
	}
	return ps
}
