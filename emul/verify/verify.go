package verify

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// Verify returns all judgements of a run.
func (r *Run) Verify() []Check {
	out := r.evidence()
	if len(r.Samples) == 0 {
		return out
	}
	out = append(out, r.flows(), r.misroutes(), r.cold())
	out = append(out, r.domains()...)
	out = append(out, r.requests()...)
	out = append(out, r.leaving()...)
	out = append(out, r.stops()...)
	out = append(out, r.reverts())
	return append(out, r.settings()...)
}

// evidence checks that the run has what the judgements need, since an empty
// run would pass them.
func (r *Run) evidence() []Check {
	out := []Check{{0, "samples were taken", len(r.Samples) >= 2, fmt.Sprint(len(r.Samples))}}
	out = append(out, Check{0, "callers reported", len(r.Reports) > 0, fmt.Sprint(len(r.Reports))})
	for _, name := range slices.Sorted(maps.Keys(r.Reports)) {
		rep := r.Reports[name]
		done := rep.Outcomes[wire.OutcomeDone.String()]
		out = append(out, Check{
			0, name + ": all flows opened, requests were done",
			rep.Flows > 0 && rep.NotOpened == 0 && done > 0,
			fmt.Sprintf("%d flows, %d not opened, %d requests done", rep.Flows, rep.NotOpened, done),
		})
	}
	for _, kind := range r.Expect {
		n := 0
		for _, e := range r.Events {
			if e.Kind == kind {
				n++
			}
		}
		out = append(out, Check{0, "event " + kind + " took place", n > 0, fmt.Sprint(n)})
	}
	return out
}

func (r *Run) flows() Check {
	broken := r.broken()
	lost := uint64(0)
	for cause, n := range broken {
		if cause != givenUp || len(spans(r.Events, Out, Back, r.end())) == 0 {
			lost += n
		}
	}
	return Check{1, "no flow broke, but for those of a domain taken out", lost == 0, fmt.Sprint(broken)}
}

func (r *Run) misroutes() Check {
	n := uint64(0)
	for _, s := range r.last(r.end()).Servers {
		n += s.Misrouted
	}
	return Check{2, "no packet reached another service's server", n == 0, fmt.Sprint(n)}
}

// cold checks that no server in cold start got more than it bears. One that
// fell into cold start silently may shed what was under way to it, but must not
// fall over.
func (r *Run) cold() Check {
	silent := map[conf.ServerID]bool{}
	for _, e := range r.Events {
		if id, err := strconv.ParseUint(e.Name(), 10, 32); e.Kind == Cold && err == nil {
			silent[conf.ServerID(id)] = true
		}
	}
	var fell, excess, shed uint64
	for _, s := range r.last(r.end()).Servers {
		fell += s.FellOver
		if silent[s.ID] {
			shed += s.ColdExcess
		} else {
			excess += s.ColdExcess
		}
	}
	return Check{
		3, "no server in cold start got more than it bears", fell == 0 && excess == 0,
		fmt.Sprintf("%d fell over, %d requests beyond it, %d shed after a silent fall", fell, excess, shed),
	}
}

// domains checks the last packet that servers of a domain got before it came
// back.
func (r *Run) domains() []Check {
	var out []Check
	for _, sp := range spans(r.Events, Out, Back, r.end()) {
		c := Check{Requirement: 4, What: "domain " + sp.name + " got no packet after " + quietLimit.String(), Detail: "no sample in that time"}
		s := r.last(sp.to)
		if s != nil && s.At.Sub(sp.from) > quietLimit {
			d := max(r.lastPacket(s, sp.name).Sub(sp.from), 0)
			c.OK, c.Detail = d <= quietLimit, fmt.Sprintf("last after %.3f s", d.Seconds())
		}
		out = append(out, c)
	}
	return out
}

func (r *Run) lastPacket(s *Sample, domain string) time.Time {
	var t time.Time
	for _, rec := range r.Settings.Servers {
		if v := s.server(rec.ID); v != nil && rec.Domain == domain {
			t = later(t, v.LastPacket)
		}
	}
	return t
}

func (r *Run) requests() []Check {
	var out []Check
	for _, name := range slices.Sorted(maps.Keys(r.Reports)) {
		rep := r.Reports[name]
		twice := uint64(0)
		for runs, n := range rep.OnceRuns {
			if runs > 1 {
				twice += n
			}
		}
		out = append(out,
			Check{5, name + ": answers are whole, refusals are true", rep.Failed == 0, fmt.Sprintf("%d failures %v", rep.Failed, rep.Failures)},
			Check{7, name + ": requests that may run once did not run twice", twice == 0, fmt.Sprintf("by runs %v", rep.OnceRuns)},
		)
	}
	return out
}

// leaving compares a leaving server's work soon after the mark and just before
// its return.
func (r *Run) leaving() []Check {
	var out []Check
	for _, sp := range spans(r.Events, Leave, Return, r.end()) {
		c := Check{Requirement: 8, What: "server " + sp.name + " got no new work after " + quietLimit.String(), Detail: "no two samples in that time"}
		a, b := r.first(sp.from.Add(quietLimit)), r.last(sp.to)
		rec, ok := r.Settings.Servers[sp.name]
		if ok && a != nil && b != nil && a.At.Before(b.At) {
			c.OK, c.Detail = noNewWork(a.server(rec.ID), b.server(rec.ID))
		}
		out = append(out, c)
	}
	return out
}

func noNewWork(a, b *Server) (bool, string) {
	if a == nil || b == nil {
		return false, "the server does not report"
	}
	return a.Runs == b.Runs && b.Flows <= a.Flows, fmt.Sprintf("%d new runs, flows %d to %d", b.Runs-a.Runs, a.Flows, b.Flows)
}

// stops checks that no request that was sent while an instance left gracefully
// ended unknown.
func (r *Run) stops() []Check {
	var out []Check
	for _, sp := range spans(r.Events, Stop, Stopped, r.end()) {
		cut := 0
		for _, rep := range r.Reports {
			for _, u := range rep.Unknown {
				if !u.Ended.Before(sp.from) && !u.Sent.After(sp.to) {
					cut++
				}
			}
		}
		out = append(out, Check{
			9, "the stop of " + sp.name + " cut no request in progress", cut == 0,
			fmt.Sprintf("%d unknown in %.1f s", cut, sp.to.Sub(sp.from).Seconds()),
		})
	}
	return out
}

// reverts checks that no process went back to older settings. A new process at
// the place of an old one may begin lower, so places with events of processes
// do not count. At least one place must remain.
func (r *Run) reverts() Check {
	replaced := map[string]bool{}
	for _, e := range r.Events {
		if e.Kind == Kill || e.Kind == Stop {
			replaced[e.Name()] = true
		}
	}
	highest := map[string]uint64{}
	var back []string
	for _, s := range r.Samples {
		for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
			rev, ok := s.Instances[name].Settings["rev"]
			if !ok || replaced[name] {
				continue
			}
			if rev < highest[name] {
				back = append(back, fmt.Sprintf("%s from %d to %d", name, highest[name], rev))
			}
			highest[name] = max(highest[name], rev)
		}
	}
	ok := len(highest) > 0 && len(back) == 0
	return Check{10, "no process went back to older settings", ok, fmt.Sprintf("%d instances judged, %v", len(highest), back)}
}

// settings checks how long each edit took to be in force everywhere.
func (r *Run) settings() []Check {
	var out []Check
	for _, e := range r.Events {
		if e.Kind != Force {
			continue
		}
		c := Check{Requirement: 10, What: "edit " + e.Name() + " was in force everywhere", Detail: "event is not NAME CODE SECONDS"}
		if len(e.Args) == 3 {
			sec, err := strconv.ParseFloat(e.Args[2], 64)
			c.OK = err == nil && e.Args[1] == "0" && sec <= forceLimit.Seconds()
			c.Detail = fmt.Sprintf("after %s s, exit code %s", e.Args[2], e.Args[1])
		}
		out = append(out, c)
	}
	return out
}

// serviceName returns the path of a service.
func (r *Run) serviceName(id conf.ServiceID) string {
	for path, n := range r.Settings.Nodes {
		if n.Values.ServiceID != nil && *n.Values.ServiceID == id {
			return path
		}
	}
	return fmt.Sprint(id)
}
