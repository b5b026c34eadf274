package caller

import (
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// CauseStalled is the cause of flows that got no echo for the stall time.
const CauseStalled = "stalled"

// Flow is one flow of a caller. It is not safe for concurrent use.
type Flow struct {
	ID    uint64
	Token []byte
	// Open is set when the flow was opened, Broken when it is over, with the
	// name of the reason or CauseStalled.
	Open   bool
	Broken string
	// Sent counts keepalives, Echoed the different ones that came back, and
	// Gaps the numbers that the push feed skipped.
	Sent, Echoed, Gaps uint64

	server     conf.ServerID // that opened the flow
	generation uint32
	missing    map[uint64]bool // keepalives without an echo
	lastPush   uint64
	latePush   map[uint64]bool // skipped numbers that may still come
	lastHeard  time.Time
	brokenAt   time.Time
	closing    bool // the caller closed it
}

// live tells whether the flow is open at both ends.
func (fl *Flow) live() bool { return fl.Open && fl.Broken == "" && !fl.closing }

// frame returns the open frame, or the next keepalive of an open flow.
func (fl *Flow) frame(timeout time.Duration) wire.Frame {
	if !fl.Open {
		return wire.Frame{Kind: wire.KindOpen, Flow: fl.ID, Timeout: uint32(timeout.Milliseconds())}
	}
	fl.Sent++
	if fl.missing == nil {
		fl.missing = map[uint64]bool{}
	}
	fl.missing[fl.Sent] = true
	return wire.Frame{Kind: wire.KindData, Flow: fl.ID, Token: fl.Token, Body: body.Data(body.Keepalive, fl.Sent)}
}

// receive processes a frame of the flow.
func (fl *Flow) receive(now time.Time, f *wire.Frame) {
	if fl.Broken != "" {
		return
	}
	if f.Kind == wire.KindOpened && !fl.Open {
		fl.Open, fl.lastHeard = true, now
		fl.server, fl.generation = f.Server, f.Generation
	}
	if f.Server != 0 && (f.Server != fl.server || f.Generation != fl.generation) {
		return // a repeated open frame reached another server
	}
	if len(f.Token) > 0 {
		fl.Token = f.Token
	}
	switch f.Kind {
	case wire.KindClosed:
		if fl.closing {
			return // The close frame overtook a keepalive on another path.
		}
		fl.Broken, fl.brokenAt = f.Reason.String(), now
	case wire.KindRefusal:
		if !fl.Open {
			fl.Broken = f.Reason.String()
		}
	case wire.KindData:
		fl.lastHeard = now
		fl.data(f.Body)
	}
}

// data checks an echo or a push. Frames may come late or twice.
func (fl *Flow) data(b []byte) {
	kind, seq, ok := body.ParseData(b)
	switch {
	case !ok:
	case kind == body.Keepalive && fl.missing[seq]:
		delete(fl.missing, seq)
		fl.Echoed++
	case kind == body.Push && fl.latePush[seq]:
		delete(fl.latePush, seq)
		fl.Gaps--
	case kind == body.Push && seq > fl.lastPush:
		for s := fl.lastPush + 1; s < seq; s++ {
			if fl.latePush == nil {
				fl.latePush = map[uint64]bool{}
			}
			fl.latePush[s] = true
			fl.Gaps++
		}
		fl.lastPush = seq
	}
}

// check marks the flow as stalled when nothing was heard for the stall time.
func (fl *Flow) check(now time.Time, stall time.Duration) {
	if fl.live() && now.Sub(fl.lastHeard) > stall {
		fl.Broken, fl.brokenAt = CauseStalled, now
	}
}
