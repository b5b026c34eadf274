package caller

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/wire"
)

// Range and precision of latency histograms, in microseconds and digits.
const (
	maxLatency = 120_000_000
	digits     = 3
)

// maxFailures bounds the failures that a report names; all are counted.
const maxFailures = 20

// maxUnknown bounds the requests with unknown outcome and the broken flows that
// a report lists.
const maxUnknown = 1000

// Report is the outcome of a load run.
type Report struct {
	// Outcomes counts requests by outcome, Reasons those that were not done.
	Outcomes map[string]uint64 `json:"outcomes"`
	Reasons  map[string]uint64 `json:"reasons,omitempty"`
	// Skipped counts requests that were due and not sent, because MaxInFlight
	// were in progress.
	Skipped uint64 `json:"skipped"`
	// Latencies of done requests in microseconds.
	P50 int64 `json:"p50us"`
	P99 int64 `json:"p99us"`
	Max int64 `json:"maxUs"`

	Flows     uint64 `json:"flows"`
	NotOpened uint64 `json:"notOpened"`
	// OpenRetries counts repeated tries to open a flow.
	OpenRetries uint64            `json:"openRetries"`
	Broken      map[string]uint64 `json:"broken,omitempty"`
	// BrokenFlows lists the first broken flows.
	BrokenFlows []BrokenFlow `json:"brokenFlows,omitempty"`
	Keepalives  uint64       `json:"keepalives"`
	Echoed      uint64       `json:"echoed"`
	Gaps        uint64       `json:"gaps"`

	// OnceRuns counts requests that may run once by how often they ran.
	OnceRuns map[int]uint64 `json:"onceRuns,omitempty"`
	// Unknown lists the first requests whose outcome is unknown.
	Unknown []Unknown `json:"unknown,omitempty"`

	Misrouted uint64   `json:"misrouted"`
	Failed    int      `json:"failed"`
	Failures  []string `json:"failures,omitempty"`

	results []Result
	hist    *hdrhistogram.Histogram
}

// Unknown is a request whose outcome is unknown. The times tell which events
// of a run it overlapped.
type Unknown struct {
	Sent   time.Time `json:"sent"`
	Ended  time.Time `json:"ended"`
	Reason string    `json:"reason"`
	Once   bool      `json:"once,omitempty"`
}

// BrokenFlow tells when and why a flow broke.
type BrokenFlow struct {
	At    time.Time `json:"at"`
	Cause string    `json:"cause"`
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Outcomes: map[string]uint64{}, Reasons: map[string]uint64{}, Broken: map[string]uint64{},
		OnceRuns: map[int]uint64{},
		hist:     hdrhistogram.New(1, maxLatency, digits),
	}
}

// Add counts a result.
func (r *Report) Add(res Result) {
	r.results = append(r.results, res)
	r.Outcomes[res.Outcome.String()]++
	if res.Outcome == wire.OutcomeUnknown && len(r.Unknown) < maxUnknown {
		r.Unknown = append(r.Unknown, Unknown{res.Sent, res.Sent.Add(res.Latency), res.Reason.String(), res.Once})
	}
	if res.Outcome != wire.OutcomeDone {
		r.Reasons[res.Reason.String()]++
		return
	}
	_ = r.hist.RecordValue(min(res.Latency.Microseconds(), maxLatency)) // within the range
	r.P50, r.P99, r.Max = r.hist.ValueAtQuantile(50), r.hist.ValueAtQuantile(99), r.hist.Max()
}

// addFlow counts an opened flow.
func (r *Report) addFlow(fl *Flow) {
	r.Flows++
	r.Keepalives += fl.Sent
	r.Echoed += fl.Echoed
	r.Gaps += fl.Gaps
	if fl.Broken != "" {
		r.Broken[fl.Broken]++
		if len(r.BrokenFlows) < maxUnknown {
			r.BrokenFlows = append(r.BrokenFlows, BrokenFlow{fl.brokenAt, fl.Broken})
		}
	}
}

// Check compares the results with what the servers recorded.
func (r *Report) Check(servers []server.Report) {
	runs := map[string]int{}
	bodies := map[string]server.Record{}
	for _, s := range servers {
		r.Misrouted += s.Misrouted
		for _, rec := range s.Records {
			runs[rec.ID] += rec.Runs
			if prev, ok := bodies[rec.ID]; ok {
				rec.Mixed = rec.Mixed || prev.Mixed || !bytes.Equal(prev.Body, rec.Body)
			}
			bodies[rec.ID] = rec
		}
	}
	if r.Misrouted > 0 {
		r.fail("%d frames reached a server that is not the one they name", r.Misrouted)
	}
	for i := range r.results {
		res := &r.results[i]
		id := hex.EncodeToString(res.ID[:])
		r.checkRuns(res, id, runs[id])
		if rec, ok := bodies[id]; ok && (rec.Mixed || !bytes.Equal(rec.Body, res.Body)) {
			r.fail("request %s ran with another body than it was sent with", id)
		}
	}
}

func (r *Report) checkRuns(res *Result, id string, runs int) {
	if res.Once {
		r.OnceRuns[runs]++
	}
	switch {
	case res.Once && runs > 1:
		r.fail("request %s may run once and ran %d times", id, runs)
	case res.Outcome == wire.OutcomeNotRun && runs > 0:
		r.fail("request %s is reported as not run and ran %d times", id, runs)
	case res.Outcome == wire.OutcomeDone && runs == 0:
		r.fail("request %s is reported as done and did not run", id)
	}
	if res.Outcome == wire.OutcomeDone && !res.Whole {
		r.fail("request %s is done with another answer than its own", id)
	}
}

func (r *Report) fail(format string, args ...any) {
	if r.Failed++; len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
}

// WriteText prints the report for people.
func (r *Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "requests  %v, not done: %v, skipped: %d\nlatency   p50 %d us, p99 %d us, max %d us\n"+
		"flows     %d opened, %d not opened, broken: %v\nechoes    %d of %d, %d gaps in the push feed\nfailures  %d\n",
		r.Outcomes, r.Reasons, r.Skipped, r.P50, r.P99, r.Max, r.Flows, r.NotOpened, r.Broken, r.Echoed, r.Keepalives, r.Gaps, r.Failed)
	for _, f := range r.Failures {
		if err == nil {
			_, err = fmt.Fprintln(w, "  "+f)
		}
	}
	return err
}
