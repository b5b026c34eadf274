package router

import (
	"time"

	"ebonypaddle/pkg/logs"
)

// maxExpired is how long open flows of a server without a record go on while it
// answers: the age up to which flows are kept.
const maxExpired = time.Minute

// expireRemoved ends new flows to servers without a record that may get none any
// more, and drops them after RemovalGrace, unless only their record expired: the server is only
// slow to report, and resets would cut off requests that it answers.
func (lb *Balancer) expireRemoved(now time.Time) {
	for srv := range lb.removedServers {
		age := now.Sub(srv.removedAt)
		switch {
		case age < lb.Limits.RemovalGrace:
			srv.noNewFlows = srv.noNewFlows || !now.Before(srv.newFlowsUntil)
		case lb.keepExpired(now, srv):
			srv.noNewFlows = true
			if lb.expired[srv.Addr] != srv {
				lb.expired[srv.Addr] = srv
				lb.Log.Info("server without a record still answers", "server", srv.name, "after", age, "answeredBefore", logs.Age(now, srv.ackedAt))
			}
		default:
			lb.Log.Info("server did not renew its record", "server", srv.name, "after", age)
			lb.dropServer(now, srv)
		}
	}
}

// keepExpired reports whether open flows of a server go on although its record was not
// renewed within RemovalGrace: it did not report that it is leaving, has answered
// since, and has left no packet unanswered for recentAnswerAge.
func (lb *Balancer) keepExpired(now time.Time, srv *server) bool {
	if srv.Leaving || now.Sub(srv.removedAt) >= maxExpired || !srv.ackedAt.After(srv.removedAt) || lb.otherAt(srv) {
		return false
	}
	quiet := now.Sub(srv.ackedAt)
	return quiet < recentAnswerAge || srv.health.failures == 0 && quiet < lb.idleTimeout()
}

// otherAt reports whether another server has the address of one without a record.
func (lb *Balancer) otherAt(srv *server) bool {
	if lb.expired[srv.Addr] == srv {
		return false // addServer drops it when another one gets its address
	}
	for _, other := range lb.byName {
		if other != srv && other.Addr == srv.Addr {
			return true
		}
	}
	return false
}
