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

// Load is a run of flows and requests. The fields are set before Run.
type Load struct {
	Callers []*Caller
	Rand    *rand.Rand
	HTTP    *http.Client
	// Flows is the number of flows of each caller, Keepalive their interval
	// and Stall the silence after which a flow counts as broken.
	Flows            int
	Keepalive, Stall time.Duration
	// OpenTries bounds the tries to open one flow, OpenPause is the wait
	// between two. Servers in cold start take few new flows a second, so some
	// are refused at first.
	OpenTries int
	OpenPause time.Duration
	// FlowLife is the time after which a caller closes a flow and opens
	// another; with 0 flows live until the end.
	FlowLife time.Duration
	// Rate is the number of requests a second, OnceRatio the part of them that
	// may run once, AnswerSize the largest answer asked for in bytes.
	Rate       float64
	OnceRatio  float64
	AnswerSize int
	Timeout    time.Duration
	Duration   time.Duration
	// MaxInFlight bounds requests at once; one above it is not sent.
	MaxInFlight int
	// Settle is the wait before Records are fetched, so that attempts that
	// the caller gave up have ended.
	Settle time.Duration
	// Records are URLs of the servers' /records.
	Records []string

	mu  sync.Mutex
	rep *Report
}

// Run carries out the run and checks the servers' records.
func (l *Load) Run(ctx context.Context) (*Report, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	l.rep = NewReport()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var readers, work sync.WaitGroup
	for _, c := range l.Callers {
		if err := c.Dial(); err != nil {
			return nil, err
		}
		readers.Go(func() { _ = c.Run(ctx) }) // ends when the socket closes
	}
	timed, stop := context.WithTimeout(ctx, l.Duration)
	defer stop()
	for _, c := range l.Callers {
		work.Go(func() { l.runFlows(ctx, timed, c) })
	}
	work.Go(func() { l.runRequests(ctx, timed) })
	work.Wait()
	for _, c := range l.Callers {
		c.Close()
	}
	wait.Pause(ctx, l.Settle)
	cancel()
	readers.Wait()
	l.countFlows()
	reports, err := l.fetch(context.WithoutCancel(ctx))
	if err != nil {
		return l.rep, err
	}
	l.rep.Check(reports)
	return l.rep, nil
}

// runFlows opens the flows of a caller and keeps them alive until timed ends.
// Flows that are open get keepalives while others still try to open, because
// they would count as stalled otherwise.
func (l *Load) runFlows(ctx, timed context.Context, c *Caller) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range l.Flows {
		wg.Go(func() { l.runFlow(ctx, timed, c, i) })
	}
	t := time.NewTicker(l.Keepalive)
	defer t.Stop()
	for timed.Err() == nil {
		select {
		case <-timed.Done():
		case <-t.C:
			c.Keepalive(l.Stall)
		}
	}
}

// runFlow keeps one flow open. With FlowLife it closes the flow after that time
// and opens another; the first lives shorter by its number, so that the ends
// spread over time.
func (l *Load) runFlow(ctx, timed context.Context, c *Caller, number int) {
	life := l.FlowLife * time.Duration(number+1) / time.Duration(l.Flows)
	for first := true; first || timed.Err() == nil; first = false {
		fl, tries, err := l.open(ctx, timed, c)
		l.mu.Lock()
		l.rep.OpenRetries += uint64(tries - 1)
		if err != nil && (first || timed.Err() == nil) {
			l.rep.NotOpened++
		}
		l.mu.Unlock()
		if err != nil || l.FlowLife <= 0 {
			return
		}
		wait.Pause(timed, life)
		life = l.FlowLife
		if timed.Err() == nil {
			c.CloseFlow(fl)
		}
	}
}

// open opens one flow and returns how often it tried. It gives up early when
// timed ends.
func (l *Load) open(ctx, timed context.Context, c *Caller) (*Flow, int, error) {
	for try := 1; ; try++ {
		fl, err := c.Open(ctx, l.Timeout)
		if err == nil || try >= l.OpenTries {
			return fl, try, err
		}
		wait.Pause(timed, l.OpenPause)
		if timed.Err() != nil {
			return nil, try, err
		}
	}
}

// runRequests sends requests at the rate until timed ends, and waits for all
// of them.
func (l *Load) runRequests(ctx, timed context.Context) {
	if l.Rate <= 0 {
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(l.MaxInFlight, 1))
	t := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer t.Stop()
	for n := 0; timed.Err() == nil; n++ {
		select {
		case <-timed.Done():
			continue
		case <-t.C:
		}
		select {
		case slots <- struct{}{}:
		default:
			l.mu.Lock()
			l.rep.Skipped++
			l.mu.Unlock()
			continue
		}
		c := l.Callers[n%len(l.Callers)]
		once := l.Rand.Float64() < l.OnceRatio
		b := body.Request(l.Rand.IntN(l.AnswerSize+1), fmt.Appendf(nil, "request %d", n))
		wg.Go(func() {
			defer func() { <-slots }()
			res := c.Request(ctx, b, once, l.Timeout)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.rep.Add(res)
		})
	}
	wg.Wait()
}

func (l *Load) countFlows() {
	for _, c := range l.Callers {
		c.mu.Lock()
		for _, fl := range c.flows {
			if fl.Open {
				l.rep.addFlow(fl)
			}
		}
		c.mu.Unlock()
	}
}

func (l *Load) fetch(ctx context.Context) ([]server.Report, error) {
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
