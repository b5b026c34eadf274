package member

import (
	"net/netip"
	"slices"
	"time"

	"ebonypaddle/pkg/wire"
)

// deadProbeInterval is the mean interval of probes to dead members. These probes
// find instances again after a partition, and seeds after a start.
const deadProbeInterval = time.Second

// probeRepeatInterval is the interval at which an unanswered probe to a live
// member is repeated until the member is suspect. Without repeats, when 1 of 100
// datagrams was lost, 2 of 100 probes had no answer. The false suspicions among
// 440 instances then delayed other updates, and one took 42 s to reach all of
// them. The loss of four consecutive probes is 10^5 times less frequent.
const probeRepeatInterval = SuspectAfter / 4

// Tick appends the probes that are due to out and updates the states of members
// that did not answer. It must be called several times a second.
func (t *Table) Tick(now time.Time, out *wire.Outbox) {
	t.checkPause(now)
	t.lastTick = now
	t.expire(now)
	t.repeatProbes(now, out)
	if now.Before(t.nextProbe) {
		return
	}
	t.nextProbe = now.Add(ProbeInterval)
	if a, ok := t.nextLive(); ok {
		t.sendProbe(now, a, maxBodyBytes, out)
	}
	t.probeSuspect(now, out)
	if !now.Before(t.nextDeadProbe) {
		// The random part keeps instances that start together from probing at
		// the same time.
		t.nextDeadProbe = now.Add(deadProbeInterval/2 + time.Duration(t.Rand.Int64N(int64(deadProbeInterval))))
		if a, ok := t.randomDead(); ok {
			t.sendProbe(now, a, maxExtraBodyBytes, out)
		}
	}
}

// checkPause detects a pause of this process or a step of its clock. It then
// discards the pending probes and the clock samples, and restarts the timeouts of
// suspect and dead members.
func (t *Table) checkPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap >= 0 && gap <= MaxTickGap {
		return
	}
	t.Counters.Pauses++
	t.pendingProbes = nil
	t.clockOffsets = clockOffsets{}
	t.nextProbe, t.nextDeadProbe = now, now
	for _, m := range t.shuffled {
		m.Since = now
	}
}

// expire marks members suspect or dead whose timeout has passed, and removes
// members that have long been dead.
func (t *Table) expire(now time.Time) {
	for _, p := range t.pendingProbes {
		m := t.members[p.to]
		if now.Sub(p.sent) < SuspectAfter {
			break
		}
		if m != nil && m.State == Alive && !p.answered && !p.repeatAt.IsZero() && m.HeardAt.Before(p.sent) {
			t.Counters.Suspected++
			t.setState(now, m, Suspect)
		}
	}
	for len(t.pendingProbes) > 0 && now.Sub(t.pendingProbes[0].sent) > DeadAfter {
		t.pendingProbes = t.pendingProbes[1:]
	}
	t.suspects = slices.DeleteFunc(t.suspects, func(m *Member) bool {
		if m.State == Suspect && now.Sub(m.Since) >= DeadAfter-SuspectAfter {
			t.Counters.Died++
			t.setState(now, m, Dead)
		}
		return m.State != Suspect
	})
	t.removeDead(now)
}

// repeatProbes sends unanswered probes again. Each has its own nonce, so that an
// answer is dated from the probe that it answers.
func (t *Table) repeatProbes(now time.Time, out *wire.Outbox) {
	for i := range t.pendingProbes {
		p := t.pendingProbes[i]
		if p.answered || p.repeatAt.IsZero() || now.Before(p.repeatAt) || now.Sub(p.sent) >= SuspectAfter {
			continue
		}
		if m := t.members[p.to]; m == nil || m.State != Alive || !m.HeardAt.Before(p.sent) {
			continue
		}
		t.pendingProbes[i].repeatAt = now.Add(probeRepeatInterval)
		t.sendProbe(now, p.to, maxExtraBodyBytes, out)
		t.pendingProbes[len(t.pendingProbes)-1].repeatAt = time.Time{}
	}
}

func (t *Table) setState(now time.Time, m *Member, s State) {
	u := m.Update
	u.State = s
	t.replace(now, m, u)
}

// removeDead removes members that have been dead for RemoveDeadAfter. Seeds that
// were never heard from have no incarnation and are kept.
func (t *Table) removeDead(now time.Time) {
	if now.Sub(t.lastRemoval) < time.Minute {
		return
	}
	t.lastRemoval = now
	t.shuffled = slices.DeleteFunc(t.shuffled, func(m *Member) bool {
		expired := m.State == Dead && m.Incarnation > 0 && now.Sub(m.Since) > RemoveDeadAfter
		if expired {
			t.deadCount--
			delete(t.members, m.Addr)
		}
		return expired
	})
}

// nextLive returns the next live member of a shuffled list. Going through the
// whole list in turn bounds the time between two probes of a member.
func (t *Table) nextLive() (netip.AddrPort, bool) {
	for range t.shuffled {
		if t.nextLiveIndex >= len(t.shuffled) {
			t.nextLiveIndex = 0
			t.Rand.Shuffle(len(t.shuffled), func(i, j int) { t.shuffled[i], t.shuffled[j] = t.shuffled[j], t.shuffled[i] })
		}
		m := t.shuffled[t.nextLiveIndex]
		t.nextLiveIndex++
		if m.live() {
			return m.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// probeSuspect probes one suspect member, so that it can refute the suspicion
// before it is declared dead. It chooses the latest suspect, because the older
// ones have already been probed.
func (t *Table) probeSuspect(now time.Time, out *wire.Outbox) {
	if n := len(t.suspects); n > 0 {
		t.sendProbe(now, t.suspects[n-1].Addr, maxExtraBodyBytes, out)
	}
}

// randomDead returns a random dead member.
func (t *Table) randomDead() (netip.AddrPort, bool) {
	n := len(t.shuffled)
	if t.deadCount == 0 {
		return netip.AddrPort{}, false
	}
	start := t.Rand.IntN(n)
	for i := range n {
		if m := t.shuffled[(start+i)%n]; !m.live() {
			return m.Addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (t *Table) sendProbe(now time.Time, to netip.AddrPort, maxBytes int, out *wire.Outbox) {
	nonce := t.Rand.Uint64()
	t.pendingProbes = append(t.pendingProbes, pendingProbe{nonce: nonce, to: to, sent: now, repeatAt: now.Add(probeRepeatInterval)})
	t.Counters.Probes++
	out.Peer(to, wire.PeerHeartbeat, Message{Nonce: nonce, Self: t.selfUpdate, Updates: t.updates(to, maxBytes, &wire.FreshnessReport{})})
}
