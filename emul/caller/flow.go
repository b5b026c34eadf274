package caller

import (
	"time"

	"ebonypaddle/emul/body"
	"ebonypaddle/pkg/conf"
	"ebonypaddle/pkg/wire"
)

// CauseStalled is the cause of a broken flow that received nothing for the stall
// time.
const CauseStalled = "stalled"

// Flow is one flow of a caller. It is not safe for concurrent use.
type Flow struct {
	ID    uint64
	Token []byte
	// Open is set when the flow was opened. Broken is set when the flow broke or
	// was refused, to the name of the reason or CauseStalled.
	Open   bool
	Broken string
	// Sent counts keepalives, Echoed those of them that the server echoed, each
	// once, and Gaps the sequence numbers of pushes that were not received.
	Sent, Echoed, Gaps uint64

	server         conf.ServerID // server that opened the flow
	generation     uint32
	unechoed       map[uint64]bool // keepalives without an echo
	lastPush       uint64
	skippedPushes  map[uint64]bool // sequence numbers not received yet
	lastReceived   time.Time
	brokenAt       time.Time
	closedByCaller bool // set when the caller sent a close frame
}

// active reports whether the flow was opened and neither broke nor was closed by the
// caller.
func (fl *Flow) active() bool { return fl.Open && fl.Broken == "" && !fl.closedByCaller }

// frame returns the open frame with timeout, or the next keepalive if the flow is
// open.
func (fl *Flow) frame(timeout time.Duration) wire.Frame {
	if !fl.Open {
		return wire.Frame{Kind: wire.KindOpen, Flow: fl.ID, Timeout: uint32(timeout.Milliseconds())}
	}
	fl.Sent++
	if fl.unechoed == nil {
		fl.unechoed = map[uint64]bool{}
	}
	fl.unechoed[fl.Sent] = true
	return wire.Frame{Kind: wire.KindData, Flow: fl.ID, Token: fl.Token, Body: body.Data(body.Keepalive, fl.Sent)}
}

// receive processes a frame of the flow.
func (fl *Flow) receive(now time.Time, f *wire.Frame) {
	if fl.Broken != "" {
		return
	}
	if f.Kind == wire.KindOpened && !fl.Open {
		fl.Open, fl.lastReceived = true, now
		fl.server, fl.generation = f.Server, f.Generation
	}
	if f.Server != 0 && (f.Server != fl.server || f.Generation != fl.generation) {
		return // A retransmitted open frame reached another server.
	}
	if len(f.Token) > 0 {
		fl.Token = f.Token
	}
	switch f.Kind {
	case wire.KindClosed:
		if fl.closedByCaller {
			return // The close frame overtook a keepalive on another path.
		}
		fl.Broken, fl.brokenAt = f.Reason.String(), now
	case wire.KindRefusal:
		if !fl.Open {
			fl.Broken = f.Reason.String()
		}
	case wire.KindData:
		fl.lastReceived = now
		fl.receiveData(f.Body)
	}
}

// receiveData counts an echo or a push. Frames may arrive late or twice.
func (fl *Flow) receiveData(b []byte) {
	kind, seq, ok := body.ParseData(b)
	switch {
	case !ok:
	case kind == body.Keepalive && fl.unechoed[seq]:
		delete(fl.unechoed, seq)
		fl.Echoed++
	case kind == body.Push && fl.skippedPushes[seq]:
		delete(fl.skippedPushes, seq)
		fl.Gaps--
	case kind == body.Push && seq > fl.lastPush:
		for s := fl.lastPush + 1; s < seq; s++ {
			if fl.skippedPushes == nil {
				fl.skippedPushes = map[uint64]bool{}
			}
			fl.skippedPushes[s] = true
			fl.Gaps++
		}
		fl.lastPush = seq
	}
}

// detectStall marks the flow as stalled if nothing was received for the stall time.
func (fl *Flow) detectStall(now time.Time, stall time.Duration) {
	if fl.active() && now.Sub(fl.lastReceived) > stall {
		fl.Broken, fl.brokenAt = CauseStalled, now
	}
}
