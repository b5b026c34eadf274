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

// Limits, from the requirements.
const (
	// forceLimit is the time until an accepted setting is in force.
	forceLimit = 4 * time.Second
	// quietLimit is the time after which a failure domain that was taken out
	// gets no packets and a leaving server no new work.
	quietLimit = 4 * time.Second
)

// Run is everything that was collected of one run. The fields are set before
// Verify.
type Run struct {
	Settings *conf.Snapshot
	Servers  []server.Config
	// Reports are those of the callers by service.
	Reports map[string]*caller.Report
	Samples []Sample
	Events  []Event
	// Expect lists the kinds of events without which the run proves nothing.
	Expect []string
}

// Check is one judgement.
type Check struct {
	// Requirement is its number in section 1 of the design, 0 for conditions
	// of the run itself.
	Requirement int    `json:"requirement"`
	What        string `json:"what"`
	OK          bool   `json:"ok"`
	Detail      string `json:"detail"`
}

// last returns the latest sample taken before at, or nil.
func (r *Run) last(at time.Time) *Sample {
	for _, s := range slices.Backward(r.Samples) {
		if s.At.Before(at) {
			return &s
		}
	}
	return nil
}

// first returns the earliest sample taken at or after at, or nil.
func (r *Run) first(at time.Time) *Sample {
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

// end is after every event and sample.
func (r *Run) end() time.Time {
	var t time.Time
	for _, s := range r.Samples {
		t = later(t, s.At)
	}
	for _, e := range r.Events {
		t = later(t, e.At)
	}
	return t.Add(time.Nanosecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// broken sums broken flows by cause.
func (r *Run) broken() map[string]uint64 {
	out := map[string]uint64{}
	for _, rep := range r.Reports {
		for cause, n := range rep.Broken {
			out[cause] += n
		}
	}
	return out
}

// givenUp is the cause of flows that end in a domain that was taken out.
var givenUp = wire.ReasonDomainOut.String()

// totals sums a counter over instances and the processes that ran at their
// places, as increments between samples.
func (r *Run) totals(of func(*Vars) map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	r.steps(func(_ string, from, to *Vars, _ time.Duration) {
		for k, n := range of(to) {
			out[k] += n - of(from)[k]
		}
	})
	return out
}

// sent is the counter by which a new process is recognised: it only grows.
const sent = "peerBytesOut"

// steps visits the counters of every instance at successive samples. A process
// that is new since the sample before starts at zero and has no duration.
func (r *Run) steps(visit func(name string, from, to *Vars, d time.Duration)) {
	type point struct {
		v  Vars
		at time.Time
	}
	prev := map[string]point{}
	for _, s := range r.Samples {
		for name, v := range s.Instances {
			was, ok := prev[name]
			d := s.At.Sub(was.at)
			if !ok || v.Control[sent] < was.v.Control[sent] {
				was, d = point{}, 0
			}
			visit(name, &was.v, &v, d)
			prev[name] = point{v, s.At}
		}
	}
}

// rate is bytes a second of control datagrams of one instance.
type rate struct {
	name    string
	out, in float64
}

// control returns the rates of all instances, the highest first.
func (r *Run) control() []rate {
	type sum struct {
		out, in uint64
		d       time.Duration
	}
	sums := map[string]sum{}
	r.steps(func(name string, from, to *Vars, d time.Duration) {
		if d <= 0 {
			return
		}
		s := sums[name]
		s.out += to.Control[sent] - from.Control[sent]
		s.in += to.Control["peerBytesIn"] - from.Control["peerBytesIn"]
		s.d += d
		sums[name] = s
	})
	var out []rate
	for name, s := range sums {
		out = append(out, rate{name, float64(s.out) / s.d.Seconds(), float64(s.in) / s.d.Seconds()})
	}
	slices.SortFunc(out, func(a, b rate) int { return cmp.Compare(b.out, a.out) })
	return out
}

// imbalance returns, by service, the highest use of a server by the mean use.
// Use is the number of runs by the speed, which is slots by mean service time.
func (r *Run) imbalance() map[conf.ServiceID]float64 {
	s := r.last(r.end())
	uses := map[conf.ServiceID][]float64{}
	for i := range r.Servers {
		h := &r.Servers[i]
		if v := s.server(h.ID); v != nil {
			use := float64(v.Runs) * time.Duration(h.Mean).Seconds() / float64(h.Slots)
			uses[h.Service] = append(uses[h.Service], use)
		}
	}
	out := map[conf.ServiceID]float64{}
	for id, us := range uses {
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
