package server

import (
	"net/netip"
	"time"

	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

const (
	// stageAnswers is the number of successful answers that end a stage.
	stageAnswers = 8
	// maxTimeouts in a row make a server suspect.
	maxTimeouts = 3
	// stepFactor and stepAnswers define the latency step that reveals a
	// fall into cold start. stepFloor keeps jitter of very short answers from
	// looking like one.
	stepFactor  = 4
	stepAnswers = 3
	stepFloor   = 20 * time.Millisecond
	// probeShare divides the identity TTL into the interval of probes, so
	// that one lost probe does not end the confirmation.
	probeShare = 3
)

// Probe is one probe that is due.
type Probe struct {
	Server     conf.ServerID
	Service    conf.ServiceID
	Generation uint32
	Addr       netip.AddrPort
	// Epoch is to be sent as the attempt of the probe.
	Epoch uint32
}

// Receive takes a frame that came from a server's address. latency is the time
// since the request was sent, or zero when the frame answers no request. It
// reports false when the sender is not the server that the settings name at
// that address; such a frame must not be used.
func (t *Table) Receive(now time.Time, from netip.AddrPort, f *wire.Frame, latency time.Duration) bool {
	r := t.addrs[from]
	if r == nil {
		return false
	}
	if r.id != f.Server || r.generation != f.Generation || r.service != f.Service {
		t.Mismatches++
		r.confirmed = time.Time{}
		return false
	}
	if r.era != t.era {
		if f.Kind != wire.KindProbed || f.Attempt != t.era {
			return true // It may have waited while this process was paused.
		}
		r.era = t.era
	}
	r.confirmed, r.timeouts, r.unheard = now, 0, 0
	t.schedule(now, r)
	t.observe(now, r, f, latency)
	if r.state == StateSuspect && f.Kind == wire.KindProbed {
		t.recover(r)
	}
	switch {
	case f.Has(wire.FlagDraining):
		t.fire(r, eventLeave)
	case !r.marked && t.fire(r, eventReturn):
		t.reset(now, r)
	}
	return true
}

// observe looks for a silent fall into cold start and counts successes.
func (t *Table) observe(now time.Time, r *row, f *wire.Frame, latency time.Duration) {
	switch {
	case f.Boot != r.boot:
		known := r.boot != 0
		r.boot, r.falls = f.Boot, 0
		if known {
			t.fall(now, r)
			break
		}
		// The server may have started just now, so its cold time counts from
		// here and not from the time at which the settings named it.
		t.reset(now, r)
	case f.Has(wire.FlagCold):
		if r.stage > 0 || r.state == StateWarm {
			r.falls++
			t.fall(now, r)
		}
	case f.Kind != wire.KindAnswer && f.Kind != wire.KindOpened, f.Has(wire.FlagShed):
	case latency > 0 && t.stepped(r, latency):
		r.falls++
		t.fall(now, r)
	default:
		t.succeeded(now, r)
	}
}

// stepped averages the latency and reports a step after stepAnswers in a row.
// Answers that are part of a step do not enter the average.
func (t *Table) stepped(r *row, latency time.Duration) bool {
	if r.latency > 0 && latency > stepFactor*r.latency && latency > stepFloor && r.state == StateWarm {
		r.steps++
		return r.steps >= stepAnswers
	}
	r.steps = 0
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency += (latency - r.latency) / 8
	return false
}

func (t *Table) fall(now time.Time, r *row) {
	t.Falls++
	t.fire(r, eventFall)
	t.reset(now, r)
	t.reportFall(r)
}

func (t *Table) succeeded(now time.Time, r *row) {
	if r.state != StateCold && r.state != StateWarming {
		return
	}
	r.answers++
	if r.answers < stageAnswers || now.Sub(r.since) < r.limits.ColdTime {
		return
	}
	t.rise(now, r, r.stage+1)
	t.reportRise(now, r)
}

// rise moves a server below warm to a higher stage.
func (t *Table) rise(now time.Time, r *row, stage int) {
	r.stage, r.answers, r.since = stage, 0, now
	if r.limits.total(stage) >= r.limits.warmLimit() {
		t.fire(r, eventReady)
		return
	}
	t.fire(r, eventRise)
}

// recover returns a suspect server to the stage it had, since its boot
// identifier shows that it did not restart.
func (t *Table) recover(r *row) {
	switch {
	case r.stage == 0:
		t.fire(r, eventRecover)
	case r.limits.total(r.stage) >= r.limits.warmLimit():
		t.fire(r, eventRestore)
	default:
		t.fire(r, eventResume)
	}
}

// TimedOut records a request without an answer. Three in a row make the
// server suspect, and a probe is due at once.
func (t *Table) TimedOut(now time.Time, id conf.ServerID) {
	r := t.rows[id]
	if r == nil {
		return
	}
	r.timeouts++
	if r.timeouts >= maxTimeouts {
		t.doubt(now, r)
	}
}

func (t *Table) doubt(now time.Time, r *row) {
	if t.fire(r, eventDoubt) {
		t.Suspected++
		r.probeAt = now
	}
}

// schedule sets the next probe between half of the interval and the interval
// from now, which spreads the probes of many instances. While a probe is
// unanswered the interval is that of an instance that is not fresh, so that a
// dead server is found within seconds.
func (t *Table) schedule(now time.Time, r *row) {
	every := t.confirmation(r) / probeShare
	if r.unheard > 0 {
		every = r.limits.IdentityTTL / probeShare
	}
	r.probeAt = now.Add(every/2 + time.Duration(t.Rand.Float64()*float64(every/2)))
}

// Probes appends the probes that are due to dst. Leaving servers are probed
// too, because established flows on them need confirmed identities. A failure
// domain that is out receives nothing, so its servers are not probed.
func (t *Table) Probes(now time.Time, dst []Probe) []Probe {
	for _, r := range t.order {
		if r.out || now.Before(r.probeAt) {
			continue
		}
		if r.unheard >= maxTimeouts {
			t.doubt(now, r)
		}
		r.unheard++
		t.schedule(now, r)
		dst = append(dst, Probe{Server: r.id, Service: r.service, Generation: r.generation, Addr: r.addr, Epoch: t.era})
	}
	return dst
}
