package router

import "time"

// serverState says whether a server may get new flows, and why not.
type serverState uint8

// The states. stateSlow and stateUnanswered are those of healthy servers that come
// after the others.
const (
	stateHealthy     serverState = iota
	stateSlow                    // estimate far above the lowest one
	stateUnanswered              // did not answer the caller's earlier opening
	stateSuspected               // failed several times in a row
	stateUnreachable             // its failure domain does not answer
	stateNew                     // others may not know it yet
	stateFull                    // holds as many flows as its service allows
	stateColdLimited             // got its share during its cold start
	stateExcluded                // operators took its failure domain out
	stateLeaving
	stateRemoved // its record is gone
	stateNoToken
)

var stateNames = [...]string{
	stateHealthy: "healthy", stateSlow: "slow", stateUnanswered: "noAnswer", stateSuspected: "suspected",
	stateUnreachable: "unreachableDomain", stateNew: "new", stateFull: "full", stateColdLimited: "coldLimited",
	stateExcluded: "excludedDomain", stateLeaving: "leaving", stateRemoved: "removed", stateNoToken: "noToken",
}

// String returns the name of the state as operators see it.
func (s serverState) String() string { return stateNames[s] }

// usableState returns why a server may not get new flows regardless of its health and
// load, or stateHealthy.
func (lb *Balancer) usableState(srv *server) serverState {
	_, excluded := lb.marks.excluded[srv.Domain]
	switch {
	case excluded:
		return stateExcluded
	case lb.tokens.leaving(srv):
		return stateLeaving
	case srv.noNewFlows || lb.byName[srv.name] != srv:
		return stateRemoved
	case srv.token == 0:
		return stateNoToken
	}
	return stateHealthy
}

// serverState returns why a server gets no new flow while others can, or stateHealthy.
func (lb *Balancer) serverState(now time.Time, srv *server) serverState {
	if s := lb.usableState(srv); s != stateHealthy {
		return s
	}
	switch {
	case srv.health.suspected(now):
		return stateSuspected
	case lb.unreachable(srv.Domain):
		return stateUnreachable
	case now.Sub(srv.addedAt) < lb.Limits.NewServerDelay:
		return stateNew
	case srv.load.full():
		return stateFull
	case lb.coldLimited(now, srv):
		return stateColdLimited
	}
	return stateHealthy
}
