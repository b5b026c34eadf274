package router

import (
	"net/netip"
	"time"
)

// ServerID is the identity of one incarnation of a backend server.
type ServerID uint64

// Server is the record that a backend server keeps of itself.
type Server struct {
	ID      ServerID
	Service string
	Domain  string
	Addr    netip.AddrPort
	// Slots is the number of requests that it works on at a time.
	Slots int
	// Leaving servers keep their flows and get no new ones.
	Leaving bool
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
	// StartedAt is when it started.
	StartedAt time.Time
	// Rev is the store's revision of the record.
	Rev uint64
}

// WeightedService is a service and its share of the new flows of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says where the flows to one address go.
type Route struct {
	Addr netip.AddrPort
	// WeightedServices has one service, or several with weights.
	WeightedServices []WeightedService
	// Repeatable requests may be sent again by the caller after any failure.
	Repeatable bool
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
}

// Service is what the settings say of all servers of a service.
type Service struct {
	Name string
	// ColdFor is how long a server is cold after its start, and ColdRate the
	// requests a second that it bears meanwhile; 0 means that no rate is set.
	ColdFor  time.Duration
	ColdRate float64
}

// Settings are the routes and services in force.
type Settings struct {
	// Version orders settings, Rev is the store's revision of them.
	Version, Rev uint64
	Routes       []Route
	Services     []Service
	// IdleTimeout is the time without packets after which a flow may be discarded.
	IdleTimeout time.Duration
}

// Change is a new state of one object of the store, or its removal.
type Change[T any] struct {
	Name    string
	Rev     uint64
	Deleted bool
	Value   T
}

// ExcludedDomain is the record that takes a failure domain out.
type ExcludedDomain struct{ Domain string }
