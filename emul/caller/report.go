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

// Range of the latency histogram in microseconds, and its precision in significant
// decimal digits. Higher latencies count as maxLatencyMicros.
const (
	maxLatencyMicros = 120_000_000
	latencyDigits    = 3
)

// maxListedFailures bounds the failures that a report lists; all are counted.
const maxListedFailures = 20

// maxListed bounds the requests with an unknown outcome and the broken flows that a
// report lists; all are counted.
const maxListed = 1000

// Report is the result of a load run.
type Report struct {
	// Outcomes counts requests by outcome, Reasons requests that were not done by
	// reason.
	Outcomes map[string]uint64 `json:"outcomes"`
	Reasons  map[string]uint64 `json:"reasons,omitempty"`
	// Skipped counts requests that were due but not sent because MaxInFlight
	// requests were in progress.
	Skipped uint64 `json:"skipped"`
	// P50, P99 and Max are latencies of done requests in microseconds.
	P50 int64 `json:"p50us"`
	P99 int64 `json:"p99us"`
	Max int64 `json:"maxUs"`

	// Flows counts opened flows, NotOpened flows that could not be opened, and
	// OpenRetries repeated attempts to open a flow.
	Flows       uint64 `json:"flows"`
	NotOpened   uint64 `json:"notOpened"`
	OpenRetries uint64 `json:"openRetries"`
	// Broken counts broken flows by cause.
	Broken map[string]uint64 `json:"broken,omitempty"`
	// BrokenFlows lists the first broken flows.
	BrokenFlows []BrokenFlow `json:"brokenFlows,omitempty"`
	// Keepalives counts keepalives sent, Echoed those that came back, and Gaps the
	// sequence numbers of pushes that were not received.
	Keepalives uint64 `json:"keepalives"`
	Echoed     uint64 `json:"echoed"`
	Gaps       uint64 `json:"gaps"`

	// OnceRuns counts the requests that must not run more than once, by the number of
	// times they ran.
	OnceRuns map[int]uint64 `json:"onceRuns,omitempty"`
	// Unknown lists the first requests whose outcome is unknown.
	Unknown []UnknownRequest `json:"unknown,omitempty"`

	// Misrouted counts frames that reached a server other than the one they name.
	// Failed counts failures of Check; Failures lists the first of them.
	Misrouted uint64   `json:"misrouted"`
	Failed    int      `json:"failed"`
	Failures  []string `json:"failures,omitempty"`

	results   []Result
	latencies *hdrhistogram.Histogram
}

// UnknownRequest is a request whose outcome is unknown. Its times allow comparing it with
// the events of a run.
type UnknownRequest struct {
	Sent   time.Time `json:"sent"`
	Ended  time.Time `json:"ended"`
	Reason string    `json:"reason"`
	Once   bool      `json:"once,omitempty"`
}

// BrokenFlow is the time and the cause of the break of a flow.
type BrokenFlow struct {
	At    time.Time `json:"at"`
	Cause string    `json:"cause"`
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		Outcomes: map[string]uint64{}, Reasons: map[string]uint64{}, Broken: map[string]uint64{},
		OnceRuns:  map[int]uint64{},
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

// Add adds the result of a request.
func (r *Report) Add(res Result) {
	r.results = append(r.results, res)
	r.Outcomes[res.Outcome.String()]++
	if res.Outcome == wire.OutcomeUnknown && len(r.Unknown) < maxListed {
		r.Unknown = append(r.Unknown, UnknownRequest{res.Sent, res.Sent.Add(res.Latency), res.Reason.String(), res.Once})
	}
	if res.Outcome != wire.OutcomeDone {
		r.Reasons[res.Reason.String()]++
		return
	}
	_ = r.latencies.RecordValue(min(res.Latency.Microseconds(), maxLatencyMicros)) // The value is within the range.
	r.P50, r.P99, r.Max = r.latencies.ValueAtQuantile(50), r.latencies.ValueAtQuantile(99), r.latencies.Max()
}

// addFlow adds an opened flow.
func (r *Report) addFlow(fl *Flow) {
	r.Flows++
	r.Keepalives += fl.Sent
	r.Echoed += fl.Echoed
	r.Gaps += fl.Gaps
	if fl.Broken != "" {
		r.Broken[fl.Broken]++
		if len(r.BrokenFlows) < maxListed {
			r.BrokenFlows = append(r.BrokenFlows, BrokenFlow{fl.brokenAt, fl.Broken})
		}
	}
}

// Check compares the results with the records of the servers and adds a failure for
// every contradiction.
func (r *Report) Check(servers []server.Report) {
	runs := map[string]int{}
	records := map[string]server.Record{}
	for _, s := range servers {
		r.Misrouted += s.Misrouted
		for _, rec := range s.Records {
			runs[rec.ID] += rec.Runs
			if prev, ok := records[rec.ID]; ok {
				rec.Mixed = rec.Mixed || prev.Mixed || !bytes.Equal(prev.Body, rec.Body)
			}
			records[rec.ID] = rec
		}
	}
	if r.Misrouted > 0 {
		r.addFailure("%d frames reached a server other than the one they name", r.Misrouted)
	}
	for i := range r.results {
		res := &r.results[i]
		id := hex.EncodeToString(res.ID[:])
		r.checkRuns(res, id, runs[id])
		if rec, ok := records[id]; ok && (rec.Mixed || !bytes.Equal(rec.Body, res.Body)) {
			r.addFailure("request %s ran with a body other than the one sent", id)
		}
	}
}

// checkRuns compares the outcome of a request with the number of times it ran.
func (r *Report) checkRuns(res *Result, id string, runs int) {
	if res.Once {
		r.OnceRuns[runs]++
	}
	switch {
	case res.Once && runs > 1:
		r.addFailure("request %s must not run more than once, but ran %d times", id, runs)
	case res.Outcome == wire.OutcomeNotRun && runs > 0:
		r.addFailure("request %s is reported as not run, but ran %d times", id, runs)
	case res.Outcome == wire.OutcomeDone && runs == 0:
		r.addFailure("request %s is reported as done, but did not run", id)
	}
	if res.Outcome == wire.OutcomeDone && !res.AnswerCorrect {
		r.addFailure("request %s is done, but its answer is wrong", id)
	}
}

func (r *Report) addFailure(format string, args ...any) {
	if r.Failed++; len(r.Failures) < maxListedFailures {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
}

// WriteText writes the report as human-readable text.
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
