package core

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

const (
	// defaultRetryRatio and defaultTicketTime are used until the first settings
	// are applied.
	defaultRetryRatio = 0.1
	defaultTicketTime = 30 * time.Second
	// retryBurst is the largest number of saved retries, and retryWindow the
	// time in which a full budget drains without requests.
	retryBurst  = 10
	retryWindow = 10 * time.Second
)

// placer implements reqs.Placer, so that the request table uses the picker of c.
type placer struct{ c *Core }

// Place implements reqs.Placer.
func (pl placer) Place(now time.Time, req reqs.PlacementRequest) (reqs.Placement, wire.Reason) {
	criteria := pl.c.criteria(now, req.Service, false, req.Deadline)
	criteria.Once = req.Once
	if req.Avoid != 0 {
		criteria.Tried = []conf.ServerID{req.Avoid}
	}
	ch, reason := pl.c.Picker.Place(now, &criteria)
	if reason != wire.ReasonNone {
		return reqs.Placement{}, reason
	}
	pl.c.Log.Info("request placed", "request", req.Request, "caller", req.Caller, "server", ch.Server,
		"domain", pl.c.targets[ch.Server].domain, "cold", ch.Cold, "avoid", req.Avoid, "until", ch.Deadline.Sub(now),
		"freshFor", criteria.CrossUntil.Sub(now), "rev", pl.c.snap.Rev)
	return reqs.Placement{Choice: ch, Server: ch.Server, Generation: ch.Generation, Addr: ch.Addr, Deadline: ch.Deadline, Expires: ch.Expires}, reason
}

// Finished implements reqs.Placer.
func (pl placer) Finished(now time.Time, p reqs.Placement, r reqs.Result, latency time.Duration) {
	c := pl.c
	ch, _ := p.Choice.(pick.Choice)
	res := pick.Result{Latency: latency}
	switch r {
	case reqs.ResultAnswered:
		res.Outcome = pick.Done
		if f := c.serverFrame; f != nil {
			c.Servers.Receive(now, f.from, f.frame, latency)
		}
	case reqs.ResultShed, reqs.ResultShedCold, reqs.ResultUnsent, reqs.ResultFailed:
		res.Outcome = pick.Shed
	case reqs.ResultTimedOut:
		res.Outcome = pick.TimedOut
		c.Servers.TimedOut(now, p.Server)
	case reqs.ResultCancelled:
		res.Outcome = pick.Cancelled
	}
	c.Picker.Finished(now, ch, res)
}

// services looks up the timeouts of a service for the request table.
type services struct{ c *Core }

// Timeouts implements reqs.Services.
func (s services) Timeouts(id conf.ServiceID) reqs.Timeouts {
	r := s.c.serviceSettings[id]
	return reqs.Timeouts{Attempt: r.AttemptTime, Request: r.RequestTime}
}
