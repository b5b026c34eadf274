package router

import "time"

// lastAnswers holds the latest answers of two servers. An instance that nothing answers gets
// no processor time, or its own path is cut; that says nothing about any server.
type lastAnswers [2]struct {
	id ServerID
	at time.Time
}

// add records an answer of a server.
func (l *lastAnswers) add(now time.Time, id ServerID) {
	if l[0].id != id {
		l[1] = l[0]
	}
	l[0].id, l[0].at = id, now
}

// ofOther returns when another server than that with the ID last answered.
func (l *lastAnswers) ofOther(id ServerID) time.Time {
	if l[0].id != id {
		return l[0].at
	}
	return l[1].at
}

// aloneSilent reports whether another server answered callers through this instance for
// at least minUnansweredTime after a server's last answer, or after the first of its
// failures if it never answered.
func (lb *Balancer) aloneSilent(srv *server) bool {
	since := srv.health.answeredAt
	if since.IsZero() {
		since = srv.health.failingSince
	}
	other := lb.answers.ofOther(srv.ID)
	return !since.IsZero() && !other.IsZero() && other.Sub(since) >= minUnansweredTime
}
