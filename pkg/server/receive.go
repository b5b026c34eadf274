package server

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	// answersPerStage is the number of successful answers needed to pass a
	// stage.
	answersPerStage = 8
	// maxConsecutiveTimeouts is the number of consecutive timeouts or
	// unanswered probes after which a server is suspect.
	maxConsecutiveTimeouts = 3
	// A warm server is considered to be in a new cold start when
	// latencyStepAnswers consecutive answers take more than latencyStepFactor
	// times the average latency. Answers within minLatencyStep do not count, so
	// that jitter of very short answers is not taken for a cold start.
	latencyStepFactor  = 4
	latencyStepAnswers = 3
	minLatencyStep     = 20 * time.Millisecond
	// probesPerConfirmation is the number of probe intervals within the
	// lifetime of a confirmation, so that one lost probe does not end it.
	probesPerConfirmation = 3
)

// Probe is a probe to be sent to a server.
type Probe struct {
	Server     conf.ServerID
	Service    conf.ServiceID
	Generation uint32
	Addr       netip.AddrPort
	// Epoch is sent as the attempt number of the probe frame.
	Epoch uint32
}

// Receive handles a frame from the address of a server. latency is the time
// since the request was sent, or zero if the frame does not answer a request.
// Receive returns false if the sender is not the server that the settings list
// at that address; such a frame must be discarded.
func (t *Table) Receive(now time.Time, from netip.AddrPort, f *wire.Frame, latency time.Duration) bool {
	e := t.byAddr[from]
	if e == nil {
		return false
	}
	if e.id != f.Server || e.generation != f.Generation || e.service != f.Service {
		t.Mismatches++
		e.confirmedAt = time.Time{}
		return false
	}
	if e.confirmedEpoch != t.pauseEpoch {
		if f.Kind != wire.KindProbed || f.Attempt != t.pauseEpoch {
			return true // The frame may have waited while this process was paused.
		}
		e.confirmedEpoch = t.pauseEpoch
	}
	e.confirmedAt, e.timeouts, e.unansweredProbes = now, 0, 0
	t.scheduleProbe(now, e)
	t.observe(now, e, f, latency)
	if e.state == StateSuspect && f.Kind == wire.KindProbed {
		t.recover(e)
	}
	switch {
	case f.Has(wire.FlagDraining):
		t.fire(e, eventLeave)
	case !e.markedLeaving && t.fire(e, eventReturn):
		t.resetStage(now, e)
	}
	return true
}

// observe detects a new cold start that the server did not announce, and counts
// successful answers.
func (t *Table) observe(now time.Time, e *entry, f *wire.Frame, latency time.Duration) {
	switch {
	case f.Boot != e.boot:
		known := e.boot != 0
		e.boot, e.falls = f.Boot, 0
		if known {
			t.recordFall(now, e)
			break
		}
		// The server may have just started, so its cold start begins now and
		// not when it was added to the settings.
		t.resetStage(now, e)
	case f.Has(wire.FlagCold):
		if e.stage > 0 || e.state == StateWarm {
			e.falls++
			t.recordFall(now, e)
		}
	case f.Kind != wire.KindAnswer && f.Kind != wire.KindOpened, f.Has(wire.FlagShed):
	case latency > 0 && t.latencyStepped(e, latency):
		e.falls++
		t.recordFall(now, e)
	default:
		t.recordSuccess(now, e)
	}
}

// latencyStepped adds a latency to the moving average and returns whether
// latencyStepAnswers consecutive answers were much slower than the average.
// Such slow answers are not added to the average.
func (t *Table) latencyStepped(e *entry, latency time.Duration) bool {
	if e.avgLatency > 0 && latency > latencyStepFactor*e.avgLatency && latency > minLatencyStep && e.state == StateWarm {
		e.slowAnswers++
		return e.slowAnswers >= latencyStepAnswers
	}
	e.slowAnswers = 0
	if e.avgLatency == 0 {
		e.avgLatency = latency
	}
	e.avgLatency += (latency - e.avgLatency) / 8
	return false
}

// recordFall returns a server to the first stage of a cold start and queues the
// change for peers.
func (t *Table) recordFall(now time.Time, e *entry) {
	t.Falls++
	t.fire(e, eventFall)
	t.resetStage(now, e)
	t.queueFall(e)
}

// recordSuccess counts a successful answer of a server below warm and moves the
// server to the next stage after enough answers and time.
func (t *Table) recordSuccess(now time.Time, e *entry) {
	if e.state != StateCold && e.state != StateWarming {
		return
	}
	e.answers++
	if e.answers < answersPerStage || now.Sub(e.stageStart) < e.limits.ColdTime {
		return
	}
	t.raiseStage(now, e, e.stage+1)
	t.queueRise(now, e)
}

// raiseStage moves a server below warm to a higher stage.
func (t *Table) raiseStage(now time.Time, e *entry, stage int) {
	e.stage, e.answers, e.stageStart = stage, 0, now
	if e.limits.requestsAtStage(stage) >= e.limits.requestsWhenWarm() {
		t.fire(e, eventReady)
		return
	}
	t.fire(e, eventRise)
}

// recover returns a suspect server that answered a probe to the state of its
// stage. If the answer showed a new cold start, observe has already reset the
// stage to the first.
func (t *Table) recover(e *entry) {
	switch {
	case e.stage == 0:
		t.fire(e, eventRecover)
	case e.limits.requestsAtStage(e.stage) >= e.limits.requestsWhenWarm():
		t.fire(e, eventRestore)
	default:
		t.fire(e, eventResume)
	}
}

// TimedOut records a request that timed out. After maxConsecutiveTimeouts the
// server is suspect and is probed at once.
func (t *Table) TimedOut(now time.Time, id conf.ServerID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	e.timeouts++
	if e.timeouts >= maxConsecutiveTimeouts {
		t.suspect(now, e)
	}
}

// suspect marks a server that stopped answering and schedules a probe at once.
func (t *Table) suspect(now time.Time, e *entry) {
	if t.fire(e, eventSuspect) {
		t.Suspected++
		e.nextProbe = now
	}
}

// scheduleProbe schedules the next probe at a random time between half an
// interval and a whole interval after now, which spreads the probes of many
// instances. While a probe is unanswered, the shorter interval of an instance
// that is not fresh applies, so that a dead server is detected within seconds.
func (t *Table) scheduleProbe(now time.Time, e *entry) {
	every := t.confirmationTTL(e) / probesPerConfirmation
	if e.unansweredProbes > 0 {
		every = e.limits.IdentityTTL / probesPerConfirmation
	}
	e.nextProbe = now.Add(every/2 + time.Duration(t.Rand.Float64()*float64(every/2)))
}

// Probes appends the probes that are due to dst. Leaving servers are probed
// too, because established flows on them need a confirmed identity. Servers in
// a failure domain that is marked out are not probed, because nothing is sent
// there.
func (t *Table) Probes(now time.Time, dst []Probe) []Probe {
	for _, e := range t.probeOrder {
		if e.domainOut || now.Before(e.nextProbe) {
			continue
		}
		if e.unansweredProbes >= maxConsecutiveTimeouts {
			t.suspect(now, e)
		}
		e.unansweredProbes++
		t.scheduleProbe(now, e)
		dst = append(dst, Probe{Server: e.id, Service: e.service, Generation: e.generation, Addr: e.addr, Epoch: t.pauseEpoch})
	}
	return dst
}
