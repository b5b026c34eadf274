package dist

import (
	"time"

	"ebonypaddle/pkg/wire"
)

// stepGuard ends freshness early by the largest step back of the clock that
// ticks, 50 to 100 ms apart, do not show.
const stepGuard = 100 * time.Millisecond

// Freshness decides until when an instance may send to other failure domains.
// Every time is on the clock of this instance and never later than the event
// it dates. It is not safe for concurrent use. now is read after the datagram
// that is handled.
type Freshness struct {
	// Domain is the instance's own failure domain, FreshFor how long a
	// confirmation lasts.
	Domain   string
	FreshFor time.Duration

	last      time.Time
	rev       uint64
	known     uint64
	confirmed stamp
	waiting   stamp
	heard     map[string]time.Time
	domains   []string
}

// stamp is a time at which the platform was at a revision.
type stamp struct {
	at  time.Time
	rev uint64
}

// SetApplied tells the revision of the settings in force and the failure
// domains of the half that are not out.
func (f *Freshness) SetApplied(rev uint64, domains []string) {
	f.rev, f.domains = rev, domains
	f.known = max(f.known, rev)
	if f.waiting.rev <= rev {
		f.take(f.waiting)
	}
}

// Known returns the highest revision this instance has heard of.
func (f *Freshness) Known() uint64 { return f.known }

// Confirm takes an answer of the platform that its settings are at revision
// rev. asked is when the question was sent, because the answer may be as old
// as that. An answer below the own revision confirms nothing: it comes from a
// lagging replica or a restored backup.
func (f *Freshness) Confirm(now, asked time.Time, rev uint64) {
	f.observe(now)
	if asked.After(now) || rev < f.rev {
		return
	}
	f.learn(stamp{asked, rev})
}

// Report returns the freshness report for peers.
func (f *Freshness) Report(now time.Time) wire.FreshnessReport {
	f.observe(now)
	h := wire.FreshnessReport{Known: f.known, Confirmed: f.confirmed.rev, Age: wire.AgeOf(now, f.confirmed.at)}
	for _, d := range f.domains {
		if age := wire.AgeOf(now, f.heard[d]); d != f.Domain && age < uint32(f.FreshFor.Milliseconds()) {
			h.Domains = append(h.Domains, wire.DomainAge{Domain: d, Age: age})
		}
	}
	return h
}

// ReceiveReport takes a report from an instance of the domain in answer to a
// question that was sent at asked. The ages are counted from asked, since the
// answer was made no earlier.
func (f *Freshness) ReceiveReport(now, asked time.Time, domain string, h wire.FreshnessReport) {
	f.observe(now)
	f.known = max(f.known, h.Known)
	if asked.After(now) {
		return
	}
	if h.Age != wire.NoAge {
		f.learn(stamp{before(asked, h.Age), h.Confirmed})
	}
	f.hear(domain, asked)
	for _, d := range h.Domains {
		if d.Age != wire.NoAge {
			f.hear(d.Domain, before(asked, d.Age))
		}
	}
}

// CrossUntil returns the time until which sends to other failure domains are
// allowed, zero if they are not.
func (f *Freshness) CrossUntil(now time.Time) time.Time {
	f.observe(now)
	until := f.confirmed.at
	if fleet := f.fleet(now); fleet.After(until) {
		until = fleet
	}
	if until.IsZero() {
		return until
	}
	if until = until.Add(f.FreshFor - stepGuard); until.After(now) {
		return until
	}
	return time.Time{}
}

// fleet returns the time at which every domain had been heard last.
func (f *Freshness) fleet(now time.Time) time.Time {
	if f.known > f.rev || len(f.domains) == 0 {
		return time.Time{}
	}
	oldest := now
	for _, d := range f.domains {
		if at := f.heard[d]; d != f.Domain && at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// observe drops everything after the clock stepped back, since the dates no
// longer say how long ago something was.
func (f *Freshness) observe(now time.Time) {
	if now.Before(f.last) {
		f.confirmed, f.waiting, f.heard = stamp{}, stamp{}, nil
	}
	f.last = now
}

// learn takes a confirmation, or keeps it until its revision is applied.
func (f *Freshness) learn(s stamp) {
	f.known = max(f.known, s.rev)
	if s.rev <= f.rev {
		f.take(s)
	} else if s.at.After(f.waiting.at) {
		f.waiting = s
	}
}

func (f *Freshness) take(s stamp) {
	if s.at.After(f.confirmed.at) {
		f.confirmed = s
	}
}

func (f *Freshness) hear(domain string, at time.Time) {
	if f.heard == nil {
		f.heard = map[string]time.Time{}
	}
	if at.After(f.heard[domain]) {
		f.heard[domain] = at
	}
}

func before(t time.Time, ms uint32) time.Time {
	return t.Add(-time.Duration(ms) * time.Millisecond)
}
