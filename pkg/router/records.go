package router

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/revs"
)

// ServerID identifies one incarnation of a backend server.
type ServerID uint64

// Server is the record by which a backend server registers itself in the
// store.
type Server struct {
	ID      ServerID
	Service string
	Domain  string
	Addr    netip.AddrPort
	// Slots is the number of requests that the server processes at a time.
	Slots int
	// Leaving is set when the server keeps its flows but must get no new ones.
	Leaving bool
	// ColdTimeLeft is the remaining time of the server's cold start.
	ColdTimeLeft time.Duration
	// StartedAt is the start time of the server process. Sequence counts the
	// records that the process wrote.
	StartedAt time.Time
	Sequence  uint64
	// Rev is the store's revision of the record.
	Rev revs.Rev
}

// WeightedService is a service and its weight in the distribution of a route's
// new flows.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says which services get the flows that callers open to an address.
type Route struct {
	Addr netip.AddrPort
	// WeightedServices lists one service, or several that share the flows by
	// weight.
	WeightedServices []WeightedService
	// Repeatable is set when callers may safely send a request again after any
	// failure.
	Repeatable bool
	// LatencyTarget is the time within which an answer should arrive.
	LatencyTarget time.Duration
	// Priority orders routes while servers lack room, 0 comes first.
	Priority int

	answerSize float64 // usual length of an answer in bytes
	bucket     uint8   // of the length of the latest request's first data
}

// Service holds the settings that apply to all servers of a service.
type Service struct {
	Name string
	// ColdDuration is how long a server is cold after its start. ColdRate is the
	// number of requests per second that it can take during that time; 0 means
	// that there is no limit.
	ColdDuration time.Duration
	ColdRate     float64
	// MaxFlows is the number of open flows that each server holds, 0 for no limit.
	MaxFlows int
}

// Settings are the routes and services that operators configured.
type Settings struct {
	// Version orders settings, Rev is the store's revision of them.
	Version  uint64
	Rev      revs.Rev
	Routes   []Route
	Services []Service
	// IdleTimeout is the time without packets after which the state of a flow
	// may be discarded; 0 selects a default.
	IdleTimeout time.Duration
}

// Change is the new state of an object of the store, or its removal if Deleted
// is set. Rev is the store's revision of the change.
type Change[T any] struct {
	Name    string
	Rev     revs.Rev
	Deleted bool
	// Invalid is set with Deleted if there is an object that does not decode.
	Invalid bool
	Value   T
}

// ExcludedDomain is the record by which operators exclude a failure domain
// from new flows.
type ExcludedDomain struct{ Domain string }
