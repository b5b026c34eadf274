package router

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/revs"
)

// Bounds of an Explanation. MaxExplainedServers is that of each service.
const (
	MaxExplainedServices = 8
	MaxExplainedServers  = 32
)

// ExplainQuery describes a new flow that is not sent.
type ExplainQuery struct {
	// Service is the address and port to which the flow is opened.
	Service netip.AddrPort `json:"service"`
	// Caller is the caller's address and port; zero for one without a flow.
	Caller netip.AddrPort `json:"caller"`
	// Size is the length of the first data in bytes; below 0 it is unknown, and the
	// length of the latest request of the route counts.
	Size int `json:"size"`
}

// Valid reports whether the addresses can be those of a packet.
func (q *ExplainQuery) Valid() bool {
	return q.Service.Addr().Is4() && (q.Caller == netip.AddrPort{} || q.Caller.Addr().Is4())
}

// Explanation says where a new flow would go now, and why.
type Explanation struct {
	Domain string `json:"domain"` // failure domain of the instance
	// Version and Rev are those of the settings in force, 0 without any.
	Version uint64   `json:"version"`
	Rev     revs.Rev `json:"rev"`
	// Route is nil if the settings in force have none for the address.
	Route *ExplainedRoute `json:"route,omitempty"`
	// Outcome is the likeliest one.
	Outcome ExplainedOutcome `json:"outcome"`
	// Services are those of the route that get new flows, MoreServices the number of
	// those that are left out.
	Services     []ExplainedService `json:"services,omitempty"`
	MoreServices int                `json:"moreServices,omitempty"`
}

// ExplainedRoute is the route of an address.
type ExplainedRoute struct {
	Priority        int           `json:"priority"`
	Class           int           `json:"class"` // of admission
	Repeatable      bool          `json:"repeatable"`
	LatencyTargetNs time.Duration `json:"latencyTargetNs"`
}

// ExplainedOutcome is what happens to a share of the new flows. Server and Domain name
// the first candidate of a placed flow.
type ExplainedOutcome struct {
	Share  float64 `json:"share"`
	Action string  `json:"action"` // placed, refused or dropped
	Reason string  `json:"reason,omitempty"`
	Server string  `json:"server,omitempty"`
	Domain string  `json:"domain,omitempty"`
}

// ExplainedService is a service of the route.
type ExplainedService struct {
	Name string `json:"name"`
	// Share is the share of the route's new flows by weight.
	Share float64 `json:"share"`
	// RelativeCost is the expected cost of the request in mean requests of the service.
	RelativeCost float64 `json:"relativeCost"`
	// Planned is set while a plan of admission is in force. The shares of Outcomes are
	// of the flows of the service.
	Planned  bool               `json:"planned"`
	Outcomes []ExplainedOutcome `json:"outcomes"`
	// Sums is nil without sums that are fresh.
	Sums *ExplainedSums `json:"sums,omitempty"`
	// Servers are the candidates in order, MoreServers the number of those left out.
	Servers     []ExplainedServer `json:"servers"`
	MoreServers int               `json:"moreServers,omitempty"`
}

// ExplainedSums are the load of a service in the failure domain of the instance.
type ExplainedSums struct {
	AgeNs      time.Duration `json:"ageNs"` // of the oldest report in them
	Instances  int           `json:"instances"`
	InProgress float64       `json:"inProgress"`
	Slots      float64       `json:"slots"`
	Busy       float64       `json:"busy"`
	Answered   float64       `json:"answeredPerS"`
	Rejected   float64       `json:"rejectedPerS"`
}

// ExplainedServer is a candidate. EstimateNs and WaitNs are estimates without the random
// part: the time until an answer, and the part of it behind requests of this instance.
type ExplainedServer struct {
	Name       string        `json:"name"`
	Domain     string        `json:"domain"`
	State      string        `json:"state"`
	Cold       bool          `json:"cold"`
	EstimateNs time.Duration `json:"estimateNs"`
	WaitNs     time.Duration `json:"waitNs"`
	// ScoreNs orders the servers of a failure domain: the work per slot that counts for
	// the server, above the least of all candidates.
	ScoreNs time.Duration `json:"scoreNs"`
	Slots   int           `json:"slots"`
	// InProgress are requests and Opening unanswered openings of this instance, Others
	// the requests of other instances by the sums.
	InProgress int `json:"inProgress"`
	Opening    int `json:"opening"`
	Others     int `json:"others"`

	state serverState
	group int // see setGroup
}
