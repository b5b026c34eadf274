package load

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a report is part of the sums, at the least. In a
	// domain with long intervals it is lifetimeIntervals of them.
	reportLifetime    = time.Second
	lifetimeIntervals = 2
	// memoryTime is how long the sequence number of an instance is remembered,
	// longer than a datagram can be delayed.
	memoryTime = 10 * time.Second
	// totalLifetime is how long the totals of another failure domain count.
	totalLifetime = 2 * time.Second
	// senderLifetime is how long the totals of an aggregator take precedence over
	// those of another one of its domain with fewer reports.
	senderLifetime = 1200 * time.Millisecond
	// maxInstances bounds the instances of a failure domain in the sums.
	maxInstances = 1024
	// maxDomains bounds the other failure domains.
	maxDomains = 32
	// BaseInterval is the interval of reports, pressedInterval that while much is
	// in progress. Both are longer in a large domain, by intervalPerInstance.
	BaseInterval        = 500 * time.Millisecond
	pressedInterval     = 100 * time.Millisecond
	intervalPerInstance = 2 * time.Millisecond
)

// Ledger keeps the latest reports of the instances of a failure domain and the totals
// of other domains. Set the exported fields, then call Start. It is not safe for
// concurrent use.
type Ledger struct {
	// Domain is the failure domain of the instances.
	Domain string

	reports map[netip.AddrPort]*entry
	totals  map[string]*domainTotals
}

// entry is the latest report of an instance.
type entry struct {
	report *Report
	at     time.Time
	// previous is the start of the process before the one of the report.
	previous int64
}

// domainTotals are the latest totals of another failure domain.
type domainTotals struct {
	from netip.AddrPort
	at   time.Time
	*Totals
}

// Start prepares the tables.
func (l *Ledger) Start() {
	l.reports = map[netip.AddrPort]*entry{}
	l.totals = map[string]*domainTotals{}
}

// Add stores a report that arrived now, and reports whether it is newer than the known
// one of its instance and there is room for it. The reports of the process that ran
// before are older, whatever its clock said.
func (l *Ledger) Add(now time.Time, r *Report) bool {
	known := l.reports[r.Instance]
	switch {
	case known == nil:
		if l.forget(now); len(l.reports) >= maxInstances {
			return false
		}
		known = &entry{previous: r.StartedAt}
		l.reports[r.Instance] = known
	case r.StartedAt == known.report.StartedAt:
		if r.Sequence <= known.report.Sequence {
			return false
		}
	case r.StartedAt == known.previous:
		return false
	default:
		known.previous = known.report.StartedAt
	}
	known.report, known.at = r, now
	return true
}

// forget removes what is older than memoryTime or totalLifetime.
func (l *Ledger) forget(now time.Time) {
	maps.DeleteFunc(l.reports, func(_ netip.AddrPort, e *entry) bool { return now.Sub(e.at) >= memoryTime })
	maps.DeleteFunc(l.totals, func(_ string, t *domainTotals) bool { return now.Sub(t.at) >= totalLifetime })
}

// AddTotals stores the totals that the aggregator of another failure domain sent, and
// reports whether they count. They do not if they are of this domain, if there is no
// room for them, or if another aggregator of the domain has sent totals with more
// reports.
func (l *Ledger) AddTotals(now time.Time, from netip.AddrPort, t *Totals) bool {
	known := l.totals[t.Domain]
	if known == nil {
		l.forget(now)
	}
	switch {
	case t.Domain == l.Domain, known == nil && len(l.totals) >= maxDomains:
		return false
	case known != nil && known.from != from && known.Reports > t.Reports && now.Sub(known.at) < senderLifetime:
		return false
	}
	l.totals[t.Domain] = &domainTotals{from, now, t}
	return true
}

// Sender returns the instance whose totals of a failure domain count, and false if
// there are none.
func (l *Ledger) Sender(now time.Time, domain string) (netip.AddrPort, bool) {
	t := l.totals[domain]
	if t == nil || now.Sub(t.at) >= totalLifetime {
		return netip.AddrPort{}, false
	}
	return t.from, true
}

// interval returns the interval of the reports of n instances.
func interval(n int, pressed bool) time.Duration {
	base := BaseInterval
	if pressed {
		base = pressedInterval
	}
	return max(base, time.Duration(n)*intervalPerInstance)
}

// Sums adds up the reports that are recent enough. pressed says whether some service
// has much in progress, so that reports are to come more often.
func (l *Ledger) Sums(now time.Time, pressed bool) Sums {
	l.forget(now)
	lifetime := max(reportLifetime, lifetimeIntervals*interval(len(l.reports), false))
	var out Sums
	sums := summation{}
	// In a fixed order the rates add up to the same sum each time.
	for _, addr := range slices.SortedFunc(maps.Keys(l.reports), netip.AddrPort.Compare) {
		e := l.reports[addr]
		age := now.Sub(e.at)
		if age >= lifetime {
			continue
		}
		out.Reports++
		out.Age = max(out.Age, age)
		for i := range e.report.Services {
			sums.add(&e.report.Services[i])
		}
	}
	out.Services, out.Others = sums.services(), l.others(now)
	out.Interval = interval(out.Reports, pressed)
	return out
}

// others returns the totals of other failure domains that are recent enough, in order
// of domain and service.
func (l *Ledger) others(now time.Time) []Total {
	var out []Total
	for _, t := range l.totals {
		if now.Sub(t.at) < totalLifetime {
			out = append(out, t.Totals.Totals...)
		}
	}
	slices.SortStableFunc(out, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Service, b.Service))
	})
	return out
}

// summation adds up services by name.
type summation map[string]*serviceSum

type serviceSum struct {
	demand  Demand
	servers map[uint64]Server
	sent    map[string]Sent
	costs   map[uint32]costSum
}

// add adds the part of a report that is about one service.
func (s summation) add(service *Service) {
	sum := s[service.Name]
	if sum == nil {
		sum = &serviceSum{servers: map[uint64]Server{}, sent: map[string]Sent{}, costs: map[uint32]costSum{}}
		s[service.Name] = sum
	}
	sum.demand.Add(&service.Demand)
	for _, srv := range service.Servers {
		known := sum.servers[srv.ID]
		sum.servers[srv.ID] = Server{srv.ID, known.InProgress + srv.InProgress, known.Flows + srv.Flows}
	}
	for _, sent := range service.Sent {
		known := sum.sent[sent.Domain]
		sum.sent[sent.Domain] = Sent{sent.Domain, known.InProgress + sent.InProgress, known.Opened + sent.Opened}
	}
	for _, c := range service.Costs {
		sum.costs[c.Key] = sum.costs[c.Key].add(c)
	}
}

// services returns the first maxServices services by name, each with the maxServers
// servers that have the most in progress, in order of ID, and the MaxCosts costs with
// the most observations.
func (s summation) services() []Service {
	var out []Service
	for _, name := range slices.Sorted(maps.Keys(s)) {
		if len(out) == maxServices {
			break
		}
		sum := s[name]
		servers := slices.Collect(maps.Values(sum.servers))
		if len(servers) > maxServers {
			slices.SortFunc(servers, func(a, b Server) int { return compareLoad(&a, &b) })
			servers = servers[:maxServers]
		}
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
		sent := slices.SortedFunc(maps.Values(sum.sent), func(a, b Sent) int { return cmp.Compare(a.Domain, b.Domain) })
		out = append(out, Service{Name: name, Demand: sum.demand, Servers: servers, Sent: sent, Costs: meanCosts(sum.costs)})
	}
	return out
}
