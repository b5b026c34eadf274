package load

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"
)

// The structs below are the bodies of datagrams. Rates and numbers with a fraction
// are in tenths. Names are indexes into the table of names of the datagram.

type wireReport struct {
	_         struct{} `cbor:",toarray"`
	StartedAt int64
	Sequence  uint64
	Names     []string
	Services  []wireService
}

type wireSums struct {
	_                          struct{} `cbor:",toarray"`
	AgeMs, Reports, IntervalMs int64
	Names                      []string
	Services                   []wireService
	Others                     []wireTotal
	Preferred                  []byte // address; empty for none
	Weight, SeenMs             int64
}

// wireTotals are the totals of the failure domain with the name 0.
type wireTotals struct {
	_       struct{} `cbor:",toarray"`
	Reports int64
	Names   []string
	Totals  []wireTotal
}

type wireService struct {
	_       struct{} `cbor:",toarray"`
	Name    int64
	Demand  []int64 // without the zeros at its end
	Servers []byte  // packed by packServers
	Sent    []int64 // name, requests in progress and opened flows of each domain
	Costs   []byte  // packed by packCosts
}

type wireTotal struct {
	_                       struct{} `cbor:",toarray"`
	Domain, Service         int64
	Demand                  []int64
	Slots, Busy, InProgress int64
	Sent                    []int64
}

// Bounds of what a datagram may hold.
const (
	maxNameBytes = 64
	maxNames     = 128
	maxServices  = 16
	maxServers   = 512 // of one service
	maxSent      = 64  // failure domains to which flows of a service are sent
	maxTotals    = 64
	// maxRate bounds rates per second, and slots. It is more than the largest
	// fleet has.
	maxRate = 10_000_000
	// maxCount bounds requests, flows and instances.
	maxCount = 1 << 24
	// maxDuration bounds ages and intervals.
	maxDuration = time.Minute
	tenths      = 10
)

// names builds the table of names of a datagram.
type names struct{ list []string }

func (n *names) index(name string) int64 {
	i := slices.Index(n.list, name)
	if i < 0 {
		i = len(n.list)
		n.list = append(n.list, name)
	}
	return int64(i)
}

// toTenths returns v in tenths. What cannot be sent becomes the nearest bound.
func toTenths(v float64) int64 {
	if !(v > 0) { // also NaN
		return 0
	}
	return int64(math.Round(min(v, maxRate) * tenths))
}

// millis returns d in milliseconds. What cannot be sent becomes the nearest bound.
func millis(d time.Duration) int64 { return min(max(d, 0), maxDuration).Milliseconds() }

// services, totals and sent leave out names that are too long to be sent.
func (n *names) services(list []Service) []wireService {
	out := make([]wireService, 0, len(list))
	for i := range list {
		if s := &list[i]; len(s.Name) <= maxNameBytes {
			out = append(out, wireService{Name: n.index(s.Name), Demand: packDemand(&s.Demand), Servers: packServers(s.Servers), Sent: n.sent(s.Sent), Costs: packCosts(s.Costs)})
		}
	}
	return out
}

func (n *names) totals(list []Total) []wireTotal {
	out := make([]wireTotal, 0, len(list))
	for i := range list {
		t := &list[i]
		if len(t.Service) > maxNameBytes || len(t.Domain) > maxNameBytes {
			continue
		}
		out = append(out, wireTotal{
			Domain: n.index(t.Domain), Service: n.index(t.Service), Demand: packDemand(&t.Demand),
			Slots: toTenths(t.Slots), Busy: toTenths(t.Busy), InProgress: toTenths(t.InProgress), Sent: n.sent(t.Sent),
		})
	}
	return out
}

func (n *names) sent(list []Sent) []int64 {
	var out []int64
	for _, s := range list[:min(len(list), maxSent)] {
		if len(s.Domain) <= maxNameBytes {
			out = append(out, n.index(s.Domain), int64(min(s.InProgress, maxCount)), toTenths(s.Opened))
		}
	}
	return out
}

// demandFields is the number of rates of a Demand.
const demandFields = 2 + 2*Classes

func packDemand(d *Demand) []int64 {
	out := append(make([]int64, 0, demandFields), toTenths(d.Done), toTenths(d.Rejected))
	for c := range Classes {
		out = append(out, toTenths(d.Offered[c]), toTenths(d.Begun[c]))
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// packServers returns the servers in order of ID, each as the difference to the ID
// before, the requests in progress and the open flows, all as varints.
func packServers(list []Server) []byte {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]byte, 0, 8*len(sorted))
	last := uint64(0)
	for _, s := range sorted {
		out = binary.AppendUvarint(out, s.ID-last)
		out = binary.AppendUvarint(out, uint64(min(s.InProgress, maxCount)))
		out = binary.AppendUvarint(out, uint64(min(s.Flows, maxCount)))
		last = s.ID
	}
	return out
}

// reader checks decoded values and keeps the first error.
type reader struct {
	names []string
	err   error
}

// fail records a value that exceeds a bound.
func (r *reader) fail(field string, value, limit int64) {
	if r.err == nil {
		r.err = &LimitError{field, value, limit}
	}
}

func (r *reader) count(field string, v, limit int64) int64 {
	if v < 0 || v > limit {
		r.fail(field, v, limit)
		return 0
	}
	return v
}

func (r *reader) tenths(field string, v int64) float64 {
	return float64(r.count(field, v, maxRate*tenths)) / tenths
}

func (r *reader) millis(field string, v int64) time.Duration {
	return time.Duration(r.count(field, v, maxDuration.Milliseconds())) * time.Millisecond
}

// addr returns an address with its port, which is zero for no bytes.
func (r *reader) addr(field string, b []byte) (a netip.AddrPort) {
	if len(b) == 0 {
		return a
	}
	if err := a.UnmarshalBinary(b); err != nil || !a.IsValid() || a.Port() == 0 {
		r.fail("bytes of "+field, int64(len(b)), 0)
		return netip.AddrPort{}
	}
	return a
}

func (r *reader) setNames(list []string) {
	r.count("names", int64(len(list)), maxNames)
	for _, n := range list {
		r.count("bytes of a name", int64(len(n)), maxNameBytes)
	}
	r.names = list
}

func (r *reader) name(i int64) string {
	if i < 0 || i >= int64(len(r.names)) {
		r.fail("name", i, int64(len(r.names))-1)
		return ""
	}
	return r.names[i]
}

func (r *reader) services(list []wireService) []Service {
	r.count("services", int64(len(list)), maxServices)
	var out []Service
	for i := 0; i < len(list) && r.err == nil; i++ {
		s := &list[i]
		out = append(out, Service{Name: r.name(s.Name), Demand: r.demand(s.Demand), Servers: r.servers(s.Servers), Sent: r.sent(s.Sent), Costs: r.costs(s.Costs)})
	}
	return out
}

func (r *reader) totals(list []wireTotal) []Total {
	r.count("totals", int64(len(list)), maxTotals)
	var out []Total
	for i := 0; i < len(list) && r.err == nil; i++ {
		t := &list[i]
		out = append(out, Total{
			Domain: r.name(t.Domain), Service: r.name(t.Service), Demand: r.demand(t.Demand),
			Slots: r.tenths("slots", t.Slots), Busy: r.tenths("busy slots", t.Busy), InProgress: r.tenths("requests in progress", t.InProgress),
			Sent: r.sent(t.Sent),
		})
	}
	return out
}

func (r *reader) demand(list []int64) (d Demand) {
	r.count("rates", int64(len(list)), demandFields)
	for i, v := range list {
		if r.err != nil {
			return d
		}
		rate := r.tenths("rate", v)
		switch c := (i - 2) / 2; {
		case i == 0:
			d.Done = rate
		case i == 1:
			d.Rejected = rate
		case i%2 == 0:
			d.Offered[c] = rate
		default:
			d.Begun[c] = rate
		}
	}
	return d
}

func (r *reader) sent(list []int64) []Sent {
	const fields = 3
	r.count("values of sent", int64(len(list)), maxSent*fields)
	if len(list)%fields != 0 {
		r.fail("values of sent", int64(len(list)), int64(len(list)/fields*fields))
	}
	var out []Sent
	for ; len(list) >= fields && r.err == nil; list = list[fields:] {
		out = append(out, Sent{r.name(list[0]), uint32(r.count("requests sent", list[1], maxCount)), r.tenths("opened flows", list[2])})
	}
	return out
}

func (r *reader) servers(b []byte) []Server {
	var out []Server
	last := uint64(0)
	for len(b) > 0 && r.err == nil {
		var s Server
		s.ID = r.varint("server ID", &b, math.MaxUint64)
		if len(out) > 0 && s.ID == 0 || s.ID > math.MaxUint64-last {
			r.fail("server ID", int64(len(out)), int64(len(out)-1))
		}
		s.ID += last
		last = s.ID
		s.InProgress = uint32(r.varint("requests in progress", &b, maxCount))
		s.Flows = uint32(r.varint("open flows", &b, maxCount))
		out = append(out, s)
		r.count("servers", int64(len(out)), maxServers)
	}
	return out
}

// varint removes a varint from b.
func (r *reader) varint(field string, b *[]byte, limit uint64) uint64 {
	v, n := binary.Uvarint(*b)
	if n <= 0 {
		r.fail("bytes of "+field, int64(len(*b)), binary.MaxVarintLen64)
		return 0
	}
	*b = (*b)[n:]
	if v > limit {
		r.fail(field, int64(min(v, math.MaxInt64)), int64(limit))
		return 0
	}
	return v
}
