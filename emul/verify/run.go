package verify

import (
	"cmp"
	"slices"
	"time"

	"ebonypaddle/emul/caller"
	"ebonypaddle/emul/server"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Limits from the requirements.
const (
	// settingLimit is the longest time until an accepted setting is in force on
	// every instance.
	settingLimit = 4 * time.Second
	// trafficStopLimit is the longest time until a failure domain that was
	// taken out gets no more packets, and a leaving server no new work.
	trafficStopLimit = 4 * time.Second
)

// Run holds everything that was collected during one run. The fields must be
// set before Verify is called.
type Run struct {
	Settings *conf.Snapshot
	Servers  []server.Config
	// Reports holds the callers' reports by service.
	Reports map[string]*caller.Report
	Samples []Sample
	Events  []Event
	// Expect lists the kinds of events that must have occurred for the run to
	// count.
	Expect []string
}

// Check is the result of checking one requirement.
type Check struct {
	// Requirement is the requirement's number in section 1 of docs/design.md,
	// or 0 for a precondition of the run itself.
	Requirement int    `json:"requirement"`
	What        string `json:"what"`
	OK          bool   `json:"ok"`
	Detail      string `json:"detail"`
}

// lastSampleBefore returns the latest sample taken before at, or nil.
func (r *Run) lastSampleBefore(at time.Time) *Sample {
	for _, s := range slices.Backward(r.Samples) {
		if s.At.Before(at) {
			return &s
		}
	}
	return nil
}

// firstSampleFrom returns the earliest sample taken at or after at, or nil.
func (r *Run) firstSampleFrom(at time.Time) *Sample {
	for _, s := range r.Samples {
		if !s.At.Before(at) {
			return &s
		}
	}
	return nil
}

func (s *Sample) server(id conf.ServerID) *Server {
	for i := range s.Servers {
		if s.Servers[i].ID == id {
			return &s.Servers[i]
		}
	}
	return nil
}

// endTime returns a time just after the last event and sample.
func (r *Run) endTime() time.Time {
	var t time.Time
	for _, s := range r.Samples {
		t = latest(t, s.At)
	}
	for _, e := range r.Events {
		t = latest(t, e.At)
	}
	return t.Add(time.Nanosecond)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// brokenFlows returns the number of broken flows of all callers by cause.
func (r *Run) brokenFlows() map[string]uint64 {
	out := map[string]uint64{}
	for _, rep := range r.Reports {
		for cause, n := range rep.Broken {
			out[cause] += n
		}
	}
	return out
}

// causeDomainOut is the cause of flows that were closed because the failure
// domain of their server was taken out.
var causeDomainOut = wire.ReasonDomainOut.String()

// sumCounters adds up the increments of a group of counters between samples,
// over all instances and the successive processes at each entry place. of
// selects the group.
func (r *Run) sumCounters(of func(*Vars) map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	r.forEachInterval(func(_ string, from, to *Vars, _ time.Duration) {
		for k, n := range of(to) {
			out[k] += n - of(from)[k]
		}
	})
	return out
}

// bytesOutCounter only grows within a process, so a lower value in a later
// sample shows that a new process has started.
const bytesOutCounter = "peerBytesOut"

// forEachInterval calls visit with the counters of every instance at successive
// samples and the time between them. For a process that has started since the
// previous sample, the earlier counters and the time are zero.
func (r *Run) forEachInterval(visit func(name string, from, to *Vars, d time.Duration)) {
	type sampled struct {
		v  Vars
		at time.Time
	}
	prev := map[string]sampled{}
	for _, s := range r.Samples {
		for name, v := range s.Instances {
			was, ok := prev[name]
			d := s.At.Sub(was.at)
			if !ok || v.Control[bytesOutCounter] < was.v.Control[bytesOutCounter] {
				was, d = sampled{}, 0
			}
			visit(name, &was.v, &v, d)
			prev[name] = sampled{v, s.At}
		}
	}
}

// controlRate is the traffic of one instance in control datagrams, in bytes per
// second.
type controlRate struct {
	name    string
	out, in float64
}

// controlRates returns the control traffic of all instances, ordered by falling
// outgoing rate.
func (r *Run) controlRates() []controlRate {
	type sum struct {
		out, in uint64
		d       time.Duration
	}
	sums := map[string]sum{}
	r.forEachInterval(func(name string, from, to *Vars, d time.Duration) {
		if d <= 0 {
			return
		}
		s := sums[name]
		s.out += to.Control[bytesOutCounter] - from.Control[bytesOutCounter]
		s.in += to.Control["peerBytesIn"] - from.Control["peerBytesIn"]
		s.d += d
		sums[name] = s
	})
	var out []controlRate
	for name, s := range sums {
		out = append(out, controlRate{name, float64(s.out) / s.d.Seconds(), float64(s.in) / s.d.Seconds()})
	}
	slices.SortFunc(out, func(a, b controlRate) int { return cmp.Compare(b.out, a.out) })
	return out
}

// imbalance returns, by service, the highest utilisation of a server divided by
// the mean utilisation. The utilisation is the number of runs divided by the
// server's speed, which is its slots divided by its mean service time.
func (r *Run) imbalance() map[conf.ServiceID]float64 {
	s := r.lastSampleBefore(r.endTime())
	utilisation := map[conf.ServiceID][]float64{}
	for i := range r.Servers {
		srv := &r.Servers[i]
		if v := s.server(srv.ID); v != nil {
			util := float64(v.Runs) * time.Duration(srv.Mean).Seconds() / float64(srv.Slots)
			utilisation[srv.Service] = append(utilisation[srv.Service], util)
		}
	}
	out := map[conf.ServiceID]float64{}
	for id, us := range utilisation {
		var sum float64
		for _, u := range us {
			sum += u
		}
		if sum > 0 {
			out[id] = slices.Max(us) * float64(len(us)) / sum
		}
	}
	return out
}
