package core

import (
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/pick"
	"ebonypaddle/pkg/reqs"
	"ebonypaddle/pkg/wire"
)

// Values in force before any settings.
const (
	defaultRetryRatio = 0.1
	defaultTicketTime = 30 * time.Second
	// retryBurst is the number of retries that may be saved, retryWindow the
	// time in which saved retries are lost again.
	retryBurst  = 10
	retryWindow = 10 * time.Second
)

// placer lets the request table use the picker.
type placer struct{ c *Core }

// Place implements reqs.Placer.
func (pl placer) Place(now time.Time, ask reqs.PlacementRequest) (reqs.Placement, wire.Reason) {
	a := pl.c.ask(now, ask.Service, false, ask.Deadline)
	a.Once = ask.Once
	if ask.Avoid != 0 {
		a.Tried = []conf.ServerID{ask.Avoid}
	}
	ch, why := pl.c.Picker.Place(now, &a)
	if why != wire.ReasonNone {
		return reqs.Placement{}, why
	}
	pl.c.Log.Info("request placed", "request", ask.Request, "caller", ask.Caller, "server", ch.Server,
		"domain", pl.c.addrs[ch.Server].domain, "cold", ch.Cold, "avoid", ask.Avoid, "until", ch.Deadline.Sub(now),
		"freshFor", a.CrossUntil.Sub(now), "rev", pl.c.snap.Rev)
	return reqs.Placement{Choice: ch, Server: ch.Server, Generation: ch.Generation, Addr: ch.Addr, Deadline: ch.Deadline, Expires: ch.Expires}, why
}

// Finished implements reqs.Placer.
func (pl placer) Finished(now time.Time, p reqs.Placement, r reqs.Result, latency time.Duration) {
	c := pl.c
	ch, _ := p.Choice.(pick.Choice)
	res := pick.Result{Latency: latency}
	switch r {
	case reqs.ResultAnswered:
		res.Outcome = pick.Done
		if in := c.inbound; in != nil {
			c.Servers.Receive(now, in.from, in.frame, latency)
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

// services looks up the limits of a service for the request table.
type services struct{ c *Core }

// Limits implements reqs.Services.
func (s services) Timeouts(id conf.ServiceID) reqs.Timeouts {
	r := s.c.limits[id]
	return reqs.Timeouts{Attempt: r.AttemptTime, Request: r.RequestTime}
}
