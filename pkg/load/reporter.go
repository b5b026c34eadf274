package load

import (
	"net/netip"
	"time"
)

const (
	// maxUnanswered is the number of consecutive reports without an answer after
	// which an aggregator is skipped for skipTime.
	maxUnanswered = 2
	skipTime      = 5 * time.Second
	// maxLate is how many reports later an answer may come at most.
	maxLate = 4
)

// Reporter decides to which aggregator an instance sends its reports, and which answers
// count. The zero value is ready to use. It is not safe for concurrent use.
type Reporter struct {
	target     netip.AddrPort
	sequence   uint64 // of the latest report
	answered   uint64 // the latest report that was answered
	unanswered int
	skipped    map[netip.AddrPort]time.Time // until when, by aggregator
}

// Next returns the target and the sequence number of the next report. aggregators are
// the candidates in order of preference, at least one.
func (r *Reporter) Next(now time.Time, aggregators []netip.AddrPort) (to netip.AddrPort, sequence uint64) {
	if r.unanswered >= maxUnanswered {
		if r.skipped == nil {
			r.skipped = map[netip.AddrPort]time.Time{}
		}
		r.skipped[r.target] = now.Add(skipTime)
	}
	for a, until := range r.skipped {
		if !now.Before(until) {
			delete(r.skipped, a)
		}
	}
	to = aggregators[0]
	for _, a := range aggregators {
		if _, skip := r.skipped[a]; !skip {
			to = a
			break
		}
	}
	if to != r.target {
		r.target, r.unanswered = to, 0
	}
	r.sequence++
	r.unanswered++
	return to, r.sequence
}

// Answered reports whether an answer counts: it comes from the aggregator of the latest
// report and is neither a copy nor older than one before.
func (r *Reporter) Answered(from netip.AddrPort, echo uint16) bool {
	late := uint64(uint16(r.sequence) - echo)
	if from != r.target || late >= min(maxLate, r.sequence-r.answered) {
		return false
	}
	r.answered, r.unanswered = r.sequence-late, 0
	return true
}
