// Package load says what instances tell each other about the load of backend
// servers, and sums it up. An instance sees only what its own callers send, a small
// part in a large fleet. The package has no sockets, goroutines or clocks.
package load

import (
	"math"
	"net/netip"
	"time"
)

// Classes is the number of priority classes of routes. Class 0 comes first; routes of
// lower priority than the last class belong to it.
const Classes = 4

// Class returns the class of a route's priority, where 0 is the highest.
func Class(priority int) int { return min(max(priority, 0), Classes-1) }

// Demand is what the callers of one or more instances ask of a service. Rates are
// per second.
type Demand struct {
	// Offered are the rates of new flows, and Begun those of requests on flows that
	// were open already, by class. Retransmitted openings do not count.
	Offered, Begun [Classes]float64
	// Done is the rate of answers.
	Done float64
	// Rejected is the rate of answers that look like a rejection for lack of room.
	Rejected float64
}

// Add adds other to d.
func (d *Demand) Add(other *Demand) {
	for c := range Classes {
		d.Offered[c] += other.Offered[c]
		d.Begun[c] += other.Begun[c]
	}
	d.Done += other.Done
	d.Rejected += other.Rejected
}

// Server is what one or more instances have in progress at a backend server.
type Server struct {
	ID uint64
	// InProgress is the number of requests that were sent and not answered, Flows
	// that of open flows.
	InProgress, Flows uint32
}

// Sent is what instances of one failure domain have in progress at the servers of
// another one, and the rate of flows that they open there.
type Sent struct {
	Domain     string
	InProgress uint32
	Opened     float64
}

// Service is the part of a report or of sums that is about one service. Servers are
// those of the own failure domain only. Costs are at most MaxReportCosts in a report
// and MaxCosts in sums.
type Service struct {
	Name    string
	Demand  Demand
	Servers []Server
	Sent    []Sent
	Costs   []Cost
}

// Report is what one instance sends.
type Report struct {
	// Instance is the address of its sender. Sequence counts the sender's reports
	// since StartedAt, the start of the sender's process by its own clock; a report
	// replaces the earlier ones of the same process.
	Instance  netip.AddrPort
	StartedAt int64
	Sequence  uint64
	Services  []Service
}

// Total is the load of a service in one failure domain. It is all that other failure
// domains get to know.
type Total struct {
	Domain, Service string
	Demand          Demand
	// Slots is the number of requests that the servers which may get new flows
	// process at a time, Busy how many of these process one, and InProgress the
	// number of requests that they have, those that wait included. All three leave
	// out what instances of other failure domains sent.
	Slots, Busy, InProgress float64
	Sent                    []Sent
}

// Sums are the reports of the instances of a failure domain, summed up.
type Sums struct {
	// Age is how old the oldest report in the sums is.
	Age      time.Duration
	Reports  int // number of instances in the sums
	Services []Service
	// Others are the totals of other failure domains.
	Others []Total
	// Interval is how soon the next report is expected.
	Interval time.Duration
}

// rateWindow is the time constant of a Rate.
const rateWindow = 250 * time.Millisecond

// Rate estimates how often something happens. Events count less the longer ago they
// are. The zero value is a rate of 0.
type Rate struct {
	value float64
	at    time.Time
}

// Add counts n events.
func (r *Rate) Add(now time.Time, n float64) {
	r.value, r.at = r.PerSecond(now)+n/rateWindow.Seconds(), now
}

// PerSecond returns the rate in events per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateWindow.Seconds())
}
