package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/wait"
)

// Load generates flows and requests. The exported fields are set before Run.
type Load struct {
	Callers []*Caller
	Rand    *rand.Rand
	HTTP    *http.Client
	// Flows is the number of flows of each caller, Keepalive the interval between
	// keepalives, and Stall the time without a received frame after which a flow
	// counts as broken.
	Flows            int
	Keepalive, Stall time.Duration
	// OpenTries bounds the attempts to open one flow. OpenPause is the wait between
	// two attempts. Servers in cold start accept few new flows per second, so some
	// flows are refused at first.
	OpenTries int
	OpenPause time.Duration
	// FlowLife is the time after which a caller closes a flow and opens another. If
	// it is 0, flows stay open until the end of the run.
	FlowLife time.Duration
	// Rate is the number of requests per second, OnceRatio the fraction of them that
	// must not run more than once, and AnswerSize the maximum size of the requested
	// answers in bytes.
	Rate       float64
	OnceRatio  float64
	AnswerSize int
	// Timeout bounds one request and one attempt to open a flow. Duration is the
	// length of the run.
	Timeout  time.Duration
	Duration time.Duration
	// MaxInFlight bounds concurrent requests. Requests that are due while the
	// limit is reached are skipped.
	MaxInFlight int
	// SettleTime is the wait before Records are fetched, so that attempts for which the
	// caller no longer waits have ended.
	SettleTime time.Duration
	// Records are the URLs of the servers' records, which end in /records.
	Records []string

	mu     sync.Mutex
	report *Report
}

// Run generates the load for Duration, compares the results with the servers' records
// and returns the report. If the records cannot be fetched, it returns the report
// without the comparison, and an error.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	l.report = NewReport()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var readers, work sync.WaitGroup
	for _, c := range l.Callers {
		if err := c.Dial(); err != nil {
			return nil, err
		}
		readers.Go(func() { _ = c.Run(ctx) }) // Run returns when ctx ends.
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, l.Duration)
	defer stopLoad()
	for _, c := range l.Callers {
		work.Go(func() { l.runFlows(ctx, loadCtx, c) })
	}
	work.Go(func() { l.runRequests(ctx, loadCtx) })
	work.Wait()
	for _, c := range l.Callers {
		c.Close()
	}
	wait.Pause(ctx, l.SettleTime)
	cancel()
	readers.Wait()
	l.countFlows()
	reports, err := l.fetchRecords(context.WithoutCancel(ctx))
	if err != nil {
		return l.report, err
	}
	l.report.Check(reports)
	return l.report, nil
}

// runFlows opens the flows of a caller and sends keepalives until loadCtx ends. It
// sends keepalives on open flows while others are still being opened, because the
// open ones would count as stalled otherwise.
func (l *Load) runFlows(ctx, loadCtx context.Context, c *Caller) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range l.Flows {
		wg.Go(func() { l.runFlow(ctx, loadCtx, c, i) })
	}
	ticker := time.NewTicker(l.Keepalive)
	defer ticker.Stop()
	for loadCtx.Err() == nil {
		select {
		case <-loadCtx.Done():
		case <-ticker.C:
			c.Keepalive(l.Stall)
		}
	}
}

// runFlow keeps one flow open. If FlowLife is set, it closes the flow after that time
// and opens another. The lifetime of the first flow is the fraction
// (index+1)/Flows of FlowLife, so that flows do not all close at the same time.
func (l *Load) runFlow(ctx, loadCtx context.Context, c *Caller, index int) {
	lifetime := l.FlowLife * time.Duration(index+1) / time.Duration(l.Flows)
	for first := true; first || loadCtx.Err() == nil; first = false {
		fl, tries, err := l.openFlow(ctx, loadCtx, c)
		l.mu.Lock()
		l.report.OpenRetries += uint64(tries - 1)
		if err != nil && (first || loadCtx.Err() == nil) {
			l.report.NotOpened++
		}
		l.mu.Unlock()
		if err != nil || l.FlowLife <= 0 {
			return
		}
		wait.Pause(loadCtx, lifetime)
		lifetime = l.FlowLife
		if loadCtx.Err() == nil {
			c.CloseFlow(fl)
		}
	}
}

// openFlow opens one flow and returns the number of attempts. It stops trying when
// loadCtx ends.
func (l *Load) openFlow(ctx, loadCtx context.Context, c *Caller) (*Flow, int, error) {
	for try := 1; ; try++ {
		fl, err := c.Open(ctx, l.Timeout)
		if err == nil || try >= l.OpenTries {
			return fl, try, err
		}
		wait.Pause(loadCtx, l.OpenPause)
		if loadCtx.Err() != nil {
			return nil, try, err
		}
	}
}

// runRequests sends requests at Rate until loadCtx ends, then waits for their
// results.
func (l *Load) runRequests(ctx, loadCtx context.Context) {
	if l.Rate <= 0 {
		return
	}
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, max(l.MaxInFlight, 1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer ticker.Stop()
	for n := 0; loadCtx.Err() == nil; n++ {
		select {
		case <-loadCtx.Done():
			continue
		case <-ticker.C:
		}
		select {
		case inFlight <- struct{}{}:
		default:
			l.mu.Lock()
			l.report.Skipped++
			l.mu.Unlock()
			continue
		}
		c := l.Callers[n%len(l.Callers)]
		once := l.Rand.Float64() < l.OnceRatio
		reqBody := body.Request(l.Rand.IntN(l.AnswerSize+1), fmt.Appendf(nil, "request %d", n))
		wg.Go(func() {
			defer func() { <-inFlight }()
			res := c.Request(ctx, reqBody, once, l.Timeout)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.report.Add(res)
		})
	}
	wg.Wait()
}

// countFlows adds the opened flows of all callers to the report.
func (l *Load) countFlows() {
	for _, c := range l.Callers {
		c.mu.Lock()
		for _, fl := range c.flows {
			if fl.Open {
				l.report.addFlow(fl)
			}
		}
		c.mu.Unlock()
	}
}

// fetchRecords returns the reports of all servers.
func (l *Load) fetchRecords(ctx context.Context) ([]server.Report, error) {
	var all []server.Report
	for _, url := range l.Records {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, fmt.Errorf("records: %w", err)
		}
		res, err := l.HTTP.Do(req)
		if err != nil {
			return nil, fmt.Errorf("records: %w", err)
		}
		var reports []server.Report
		err = json.NewDecoder(res.Body).Decode(&reports)
		res.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("records of %s: %w", url, err)
		}
		all = append(all, reports...)
	}
	return all, nil
}
