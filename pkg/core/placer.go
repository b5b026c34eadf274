package core

import (
	"time"

	"ebonypaddle/pkg/calls"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/pick"
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

// Place implements calls.Placer.
func (pl placer) Place(now time.Time, ask calls.Ask) (calls.Placement, wire.Reason) {
	a := pl.c.ask(now, ask.Service, false, ask.Deadline)
	a.Once = ask.Once
	if ask.Avoid != 0 {
		a.Tried = []conf.ServerID{ask.Avoid}
	}
	ch, why := pl.c.Picker.Place(now, &a)
	if why != wire.ReasonNone {
		return calls.Placement{}, why
	}
	pl.c.Log.Info("request placed", "request", ask.Request, "caller", ask.Caller, "server", ch.Server,
		"domain", pl.c.addrs[ch.Server].domain, "cold", ch.Cold, "avoid", ask.Avoid, "until", ch.Deadline.Sub(now),
		"freshFor", a.CrossUntil.Sub(now), "rev", pl.c.snap.Rev)
	return calls.Placement{Choice: ch, Server: ch.Server, Generation: ch.Generation, Addr: ch.Addr, Until: ch.Deadline, Expires: ch.Expires}, why
}

// Finished implements calls.Placer.
func (pl placer) Finished(now time.Time, p calls.Placement, r calls.Result, latency time.Duration) {
	c := pl.c
	ch, _ := p.Choice.(pick.Choice)
	res := pick.Result{Latency: latency}
	switch r {
	case calls.ResultAnswered:
		res.Outcome = pick.Done
		if in := c.inbound; in != nil {
			c.Servers.Heard(now, in.from, in.frame, latency)
		}
	case calls.ResultShed, calls.ResultCold, calls.ResultUnsent, calls.ResultFailed:
		res.Outcome = pick.Shed
	case calls.ResultTimedOut:
		res.Outcome = pick.TimedOut
		c.Servers.TimedOut(now, p.Server)
	case calls.ResultCancelled:
		res.Outcome = pick.Cancelled
	}
	c.Picker.Finished(now, ch, res)
}

// services looks up the limits of a service for the request table.
type services struct{ c *Core }

// Limits implements calls.Services.
func (s services) Limits(id conf.ServiceID) calls.Limits {
	r := s.c.limits[id]
	return calls.Limits{Attempt: r.AttemptTime, Request: r.RequestTime}
}
