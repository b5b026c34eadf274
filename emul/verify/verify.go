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

// Verify checks the run against the requirements and returns all results.
// Without any sample, it returns only those of the preconditions.
func (r *Run) Verify() []Check {
	out := r.checkRunIsUsable()
	if len(r.Samples) == 0 {
		return out
	}
	out = append(out, r.checkFlows(), r.checkMisrouted(), r.checkColdStart())
	out = append(out, r.checkDomainsOut()...)
	out = append(out, r.checkRequests()...)
	out = append(out, r.checkLeavingServers()...)
	out = append(out, r.checkGracefulStops()...)
	out = append(out, r.checkRevisions())
	return append(out, r.checkSettingTimes()...)
}

// checkRunIsUsable checks that the run has the samples, reports, requests and
// events that the other checks need. An empty run would pass those.
func (r *Run) checkRunIsUsable() []Check {
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
		out = append(out, Check{0, "event " + kind + " occurred", n > 0, fmt.Sprint(n)})
	}
	return out
}

func (r *Run) checkFlows() Check {
	broken := r.brokenFlows()
	unexpected := uint64(0)
	for cause, n := range broken {
		if cause != causeDomainOut || len(spans(r.Events, DomainOut, DomainBack, r.endTime())) == 0 {
			unexpected += n
		}
	}
	return Check{1, "no flow broke, except in a domain taken out", unexpected == 0, fmt.Sprint(broken)}
}

func (r *Run) checkMisrouted() Check {
	n := uint64(0)
	for _, s := range r.lastSampleBefore(r.endTime()).Servers {
		n += s.Misrouted
	}
	return Check{2, "no packet reached another service's server", n == 0, fmt.Sprint(n)}
}

// checkColdStart checks that no server in cold start got more requests than its
// cold-start capacity. A server that fell back into cold start without a restart
// may shed the excess requests that instances sent before they could detect
// this, but it must not fall over.
func (r *Run) checkColdStart() Check {
	unannounced := map[conf.ServerID]bool{}
	for _, e := range r.Events {
		if id, err := strconv.ParseUint(e.Name(), 10, 32); e.Kind == ServerCold && err == nil {
			unannounced[conf.ServerID(id)] = true
		}
	}
	var fellOver, excess, shed uint64
	for _, s := range r.lastSampleBefore(r.endTime()).Servers {
		fellOver += s.FellOver
		if unannounced[s.ID] {
			shed += s.ColdExcess
		} else {
			excess += s.ColdExcess
		}
	}
	return Check{
		3, "no server in cold start got more requests than its capacity", fellOver == 0 && excess == 0,
		fmt.Sprintf("%d fell over, %d excess requests, %d shed after an unannounced cold start", fellOver, excess, shed),
	}
}

// checkDomainsOut checks for every domain that was taken out how long its
// servers still got packets.
func (r *Run) checkDomainsOut() []Check {
	var out []Check
	for _, sp := range spans(r.Events, DomainOut, DomainBack, r.endTime()) {
		c := Check{Requirement: 4, What: "domain " + sp.name + " got no packet after " + trafficStopLimit.String(), Detail: "no sample in that time"}
		s := r.lastSampleBefore(sp.to)
		if s != nil && s.At.Sub(sp.from) > trafficStopLimit {
			d := max(r.lastPacketOfDomain(s, sp.name).Sub(sp.from), 0)
			c.OK, c.Detail = d <= trafficStopLimit, fmt.Sprintf("last after %.3f s", d.Seconds())
		}
		out = append(out, c)
	}
	return out
}

func (r *Run) lastPacketOfDomain(s *Sample, domain string) time.Time {
	var t time.Time
	for _, rec := range r.Settings.Servers {
		if v := s.server(rec.ID); v != nil && rec.Domain == domain {
			t = latest(t, v.LastPacket)
		}
	}
	return t
}

func (r *Run) checkRequests() []Check {
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
			Check{5, name + ": answers are complete, refusals are true", rep.Failed == 0, fmt.Sprintf("%d failures %v", rep.Failed, rep.Failures)},
			Check{7, name + ": no run-once request ran twice", twice == 0, fmt.Sprintf("by number of runs %v", rep.OnceRuns)},
		)
	}
	return out
}

// checkLeavingServers compares the work of a leaving server in two samples: the
// first one after trafficStopLimit and the last one before its return.
func (r *Run) checkLeavingServers() []Check {
	var out []Check
	for _, sp := range spans(r.Events, ServerLeave, ServerReturn, r.endTime()) {
		c := Check{Requirement: 8, What: "server " + sp.name + " got no new work after " + trafficStopLimit.String(), Detail: "no two samples in that time"}
		a, b := r.firstSampleFrom(sp.from.Add(trafficStopLimit)), r.lastSampleBefore(sp.to)
		rec, ok := r.Settings.Servers[sp.name]
		if ok && a != nil && b != nil && a.At.Before(b.At) {
			c.OK, c.Detail = checkNoNewWork(a.server(rec.ID), b.server(rec.ID))
		}
		out = append(out, c)
	}
	return out
}

func checkNoNewWork(a, b *Server) (bool, string) {
	if a == nil || b == nil {
		return false, "no report of the server"
	}
	return a.Runs == b.Runs && b.Flows <= a.Flows, fmt.Sprintf("%d new runs, flows %d to %d", b.Runs-a.Runs, a.Flows, b.Flows)
}

// checkGracefulStops checks that no request that was in progress during the
// graceful stop of an instance ended with an unknown outcome.
func (r *Run) checkGracefulStops() []Check {
	var out []Check
	for _, sp := range spans(r.Events, InstanceStop, InstanceStopped, r.endTime()) {
		interrupted := 0
		for _, rep := range r.Reports {
			for _, u := range rep.Unknown {
				if !u.Ended.Before(sp.from) && !u.Sent.After(sp.to) {
					interrupted++
				}
			}
		}
		out = append(out, Check{
			9, "the stop of " + sp.name + " interrupted no request", interrupted == 0,
			fmt.Sprintf("%d unknown outcomes in %.1f s", interrupted, sp.to.Sub(sp.from).Seconds()),
		})
	}
	return out
}

// checkRevisions checks that no process went back to older settings. A new
// process may start with an older revision than its predecessor had, so entry
// places whose process was killed or stopped are left out. At least one entry
// place must remain.
func (r *Run) checkRevisions() Check {
	replaced := map[string]bool{}
	for _, e := range r.Events {
		if e.Kind == InstanceKill || e.Kind == InstanceStop {
			replaced[e.Name()] = true
		}
	}
	highest := map[string]uint64{}
	var reverted []string
	for _, s := range r.Samples {
		for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
			rev, ok := s.Instances[name].Settings["rev"]
			if !ok || replaced[name] {
				continue
			}
			if rev < highest[name] {
				reverted = append(reverted, fmt.Sprintf("%s from %d to %d", name, highest[name], rev))
			}
			highest[name] = max(highest[name], rev)
		}
	}
	ok := len(highest) > 0 && len(reverted) == 0
	return Check{10, "no process went back to older settings", ok, fmt.Sprintf("%d instances checked, %v", len(highest), reverted)}
}

// checkSettingTimes checks how long each edit took to be in force on every
// instance.
func (r *Run) checkSettingTimes() []Check {
	var out []Check
	for _, e := range r.Events {
		if e.Kind != SettingForce {
			continue
		}
		c := Check{Requirement: 10, What: "edit " + e.Name() + " was in force everywhere", Detail: "event arguments are not NAME CODE SECONDS"}
		if len(e.Args) == 3 {
			sec, err := strconv.ParseFloat(e.Args[2], 64)
			c.OK = err == nil && e.Args[1] == "0" && sec <= settingLimit.Seconds()
			c.Detail = fmt.Sprintf("after %s s, exit code %s", e.Args[2], e.Args[1])
		}
		out = append(out, c)
	}
	return out
}

// serviceName returns the path of a service, or its number if no node has it.
func (r *Run) serviceName(id conf.ServiceID) string {
	for path, n := range r.Settings.Nodes {
		if n.Values.ServiceID != nil && *n.Values.ServiceID == id {
			return path
		}
	}
	return fmt.Sprint(id)
}
