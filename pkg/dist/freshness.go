package dist

import (
	"time"

	"ebonypaddle/pkg/wire"
)

// maxUndetectedClockStep is the largest backward step of the clock that can remain
// undetected: checkClock detects only steps longer than the time since its last
// call. The daemon ticks every 20 ms, and the constant covers ticks that are up to
// 100 ms apart. Freshness ends earlier by this time.
const maxUndetectedClockStep = 100 * time.Millisecond

// Freshness decides until when this instance may send to other failure domains.
// That is allowed while the platform recently confirmed the applied settings, or
// while every failure domain was heard from recently and none knows of a higher
// revision.
//
// All times are on the clock of this instance and never later than the event
// they date. Callers must read the clock for now after they received the datagram
// that they handle. Freshness is not safe for concurrent use.
type Freshness struct {
	// Domain is the failure domain of this instance. FreshFor is how long a
	// confirmation lasts.
	Domain   string
	FreshFor time.Duration

	lastNow             time.Time
	appliedRev          uint64
	knownRev            uint64
	confirmed           confirmation
	pendingConfirmation confirmation
	lastHeard           map[string]time.Time
	domains             []string
}

// confirmation is a time at which the platform's settings were at a revision.
type confirmation struct {
	at  time.Time
	rev uint64
}

// SetApplied sets the revision of the applied settings and the failure domains
// of this half that are not marked out.
func (f *Freshness) SetApplied(rev uint64, domains []string) {
	f.appliedRev, f.domains = rev, domains
	f.knownRev = max(f.knownRev, rev)
	if f.pendingConfirmation.rev <= rev {
		f.setConfirmed(f.pendingConfirmation)
	}
}

// Known returns the highest revision that this instance knows to exist.
func (f *Freshness) Known() uint64 { return f.knownRev }

// Confirm records a response of the platform that its settings are at revision
// rev. querySent is when the query was sent, since the response may be as old as
// that. A response with a lower revision than the applied one is ignored: it
// comes from a lagging replica or a restored backup of the platform.
func (f *Freshness) Confirm(now, querySent time.Time, rev uint64) {
	f.checkClock(now)
	if querySent.After(now) || rev < f.appliedRev {
		return
	}
	f.addConfirmation(confirmation{querySent, rev})
}

// Report returns the freshness report for peers.
func (f *Freshness) Report(now time.Time) wire.FreshnessReport {
	f.checkClock(now)
	report := wire.FreshnessReport{Known: f.knownRev, Confirmed: f.confirmed.rev, Age: wire.AgeOf(now, f.confirmed.at)}
	for _, d := range f.domains {
		if age := wire.AgeOf(now, f.lastHeard[d]); d != f.Domain && age < uint32(f.FreshFor.Milliseconds()) {
			report.Domains = append(report.Domains, wire.DomainAge{Domain: d, Age: age})
		}
	}
	return report
}

// ReceiveReport handles a report from an instance of the failure domain, which
// answers a probe sent at probeSent. The ages in the report are subtracted from
// probeSent, since the report was made no earlier.
func (f *Freshness) ReceiveReport(now, probeSent time.Time, domain string, report wire.FreshnessReport) {
	f.checkClock(now)
	f.knownRev = max(f.knownRev, report.Known)
	if probeSent.After(now) {
		return
	}
	if report.Age != wire.NoAge {
		f.addConfirmation(confirmation{agoMs(probeSent, report.Age), report.Confirmed})
	}
	f.recordHeard(domain, probeSent)
	for _, d := range report.Domains {
		if d.Age != wire.NoAge {
			f.recordHeard(d.Domain, agoMs(probeSent, d.Age))
		}
	}
}

// CrossUntil returns the time until which this instance may send to other
// failure domains, or the zero time if it may not.
func (f *Freshness) CrossUntil(now time.Time) time.Time {
	f.checkClock(now)
	until := f.confirmed.at
	if heardAt := f.allDomainsHeardAt(now); heardAt.After(until) {
		until = heardAt
	}
	if until.IsZero() {
		return until
	}
	if until = until.Add(f.FreshFor - maxUndetectedClockStep); until.After(now) {
		return until
	}
	return time.Time{}
}

// allDomainsHeardAt returns the oldest of the times at which the other failure
// domains were last heard from. It returns the zero time if one was never heard
// from or if a higher revision than the applied one is known.
func (f *Freshness) allDomainsHeardAt(now time.Time) time.Time {
	if f.knownRev > f.appliedRev || len(f.domains) == 0 {
		return time.Time{}
	}
	oldest := now
	for _, d := range f.domains {
		if at := f.lastHeard[d]; d != f.Domain && at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// checkClock discards all times if the clock stepped back, since they no longer
// show how long ago an event was.
func (f *Freshness) checkClock(now time.Time) {
	if now.Before(f.lastNow) {
		f.confirmed, f.pendingConfirmation, f.lastHeard = confirmation{}, confirmation{}, nil
	}
	f.lastNow = now
}

// addConfirmation records a confirmation, or stores it until its revision is
// applied.
func (f *Freshness) addConfirmation(c confirmation) {
	f.knownRev = max(f.knownRev, c.rev)
	if c.rev <= f.appliedRev {
		f.setConfirmed(c)
	} else if c.at.After(f.pendingConfirmation.at) {
		f.pendingConfirmation = c
	}
}

func (f *Freshness) setConfirmed(c confirmation) {
	if c.at.After(f.confirmed.at) {
		f.confirmed = c
	}
}

// recordHeard records that an instance of the failure domain was heard from at a
// time.
func (f *Freshness) recordHeard(domain string, at time.Time) {
	if f.lastHeard == nil {
		f.lastHeard = map[string]time.Time{}
	}
	if at.After(f.lastHeard[domain]) {
		f.lastHeard[domain] = at
	}
}

// agoMs returns the time ms milliseconds before t.
func agoMs(t time.Time, ms uint32) time.Time {
	return t.Add(-time.Duration(ms) * time.Millisecond)
}
