package member

import (
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// deadEvery is the interval of probes to dead members. They find instances
// again after a partition, and seeds after a start.
const deadEvery = time.Second

// repeatEvery is the interval at which an unanswered probe to a live member is
// repeated until the member is suspect. Of 100 datagrams lost one, two in 100
// probes had no answer, and the false suspicions of 440 instances kept an
// update from all of them for 42 s. Four probes in a row are lost 10^5 times
// less often.
const repeatEvery = SuspectAfter / 4

// Tick sends probes that are due and ages members. It is called several times
// a second.
func (t *Table) Tick(now time.Time, out *wire.Outbox) {
	t.checkPause(now)
	t.last = now
	t.expire(now)
	t.repeat(now, out)
	if now.Before(t.due) {
		return
	}
	t.due = now.Add(ProbeEvery)
	if a, ok := t.nextLive(); ok {
		t.probe(now, a, maxBody, out)
	}
	t.probeSuspect(now, out)
	if !now.Before(t.deadDue) {
		// Half the interval at random keeps instances that start together
		// from probing in step.
		t.deadDue = now.Add(deadEvery/2 + time.Duration(t.Rand.Int64N(int64(deadEvery))))
		if a, ok := t.anyDead(); ok {
			t.probe(now, a, extraBody, out)
		}
	}
}

// checkPause forgets unanswered probes and restarts suspicions after a pause
// or a step of the clock.
func (t *Table) checkPause(now time.Time) {
	gap := now.Sub(t.last)
	if gap >= 0 && gap <= MaxTickGap {
		return
	}
	t.Counters.Pauses++
	t.pending = nil
	t.skews = skews{}
	t.due, t.deadDue = now, now
	for _, m := range t.order {
		m.Since = now
	}
}

// expire moves members along alive, suspect, dead, forgotten.
func (t *Table) expire(now time.Time) {
	for _, p := range t.pending {
		m := t.members[p.to]
		if now.Sub(p.sent) < SuspectAfter {
			break
		}
		if m != nil && m.State == Alive && !p.answered && !p.again.IsZero() && m.Heard.Before(p.sent) {
			t.Counters.Suspected++
			t.become(now, m, Suspect)
		}
	}
	for len(t.pending) > 0 && now.Sub(t.pending[0].sent) > DeadAfter {
		t.pending = t.pending[1:]
	}
	t.suspect = slices.DeleteFunc(t.suspect, func(m *Member) bool {
		if m.State == Suspect && now.Sub(m.Since) >= DeadAfter-SuspectAfter {
			t.Counters.Died++
			t.become(now, m, Dead)
		}
		return m.State != Suspect
	})
	t.forget(now)
}

// repeat sends unanswered probes again, each under its own nonce, so that an
// answer is dated by the probe that it answers.
func (t *Table) repeat(now time.Time, out *wire.Outbox) {
	for i := range t.pending {
		p := t.pending[i]
		if p.answered || p.again.IsZero() || now.Before(p.again) || now.Sub(p.sent) >= SuspectAfter {
			continue
		}
		if m := t.members[p.to]; m == nil || m.State != Alive || !m.Heard.Before(p.sent) {
			continue
		}
		t.pending[i].again = now.Add(repeatEvery)
		t.probe(now, p.to, extraBody, out)
		t.pending[len(t.pending)-1].again = time.Time{}
	}
}

func (t *Table) become(now time.Time, m *Member, s State) {
	u := m.Update
	u.State = s
	t.set(now, m, u)
}

// forget drops members that are dead for long. A seed that never lived has no
// incarnation and stays.
func (t *Table) forget(now time.Time) {
	if now.Sub(t.swept) < time.Minute {
		return
	}
	t.swept = now
	t.order = slices.DeleteFunc(t.order, func(m *Member) bool {
		old := m.State == Dead && m.Incarnation > 0 && now.Sub(m.Since) > ForgetAfter
		if old {
			t.dead--
			delete(t.members, m.Addr)
		}
		return old
	})
}

// nextLive walks a shuffled list, which bounds the time between two probes of
// a member.
func (t *Table) nextLive() (netip.AddrPort, bool) {
	for range t.order {
		if t.next >= len(t.order) {
			t.next = 0
			t.Rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
		}
		m := t.order[t.next]
		t.next++
		if m.live() {
			return m.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// probeSuspect gives one suspect the chance to refute before it is dead. It
// takes the latest suspect, because the older ones were asked before.
func (t *Table) probeSuspect(now time.Time, out *wire.Outbox) {
	if n := len(t.suspect); n > 0 {
		t.probe(now, t.suspect[n-1].Addr, extraBody, out)
	}
}

func (t *Table) anyDead() (netip.AddrPort, bool) {
	n := len(t.order)
	if t.dead == 0 {
		return netip.AddrPort{}, false
	}
	start := t.Rand.IntN(n)
	for i := range n {
		if m := t.order[(start+i)%n]; !m.live() {
			return m.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (t *Table) probe(now time.Time, to netip.AddrPort, body int, out *wire.Outbox) {
	nonce := t.Rand.Uint64()
	t.pending = append(t.pending, probe{nonce: nonce, to: to, sent: now, again: now.Add(repeatEvery)})
	t.Counters.Probes++
	out.Peer(to, wire.PeerHeartbeat, Message{Nonce: nonce, Self: t.me, Updates: t.updates(to, body, &wire.FreshnessReport{})})
}
