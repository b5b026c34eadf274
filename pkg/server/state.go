package server

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// Lifecycle states of a server as one instance sees it.
const (
	StateCold    = "cold"
	StateWarming = "warming"
	StateWarm    = "warm"
	// StateSuspect gets no new work until a probe is answered.
	StateSuspect = "suspect"
	// StateLeaving gets no new work because operators or the server say so.
	StateLeaving = "leaving"
	// StateGone is a server that the settings no longer list.
	StateGone = "gone"
)

const (
	eventRise    = "rise"    // a stage below warm passed
	eventReady   = "ready"   // the last stage passed
	eventFall    = "fall"    // cold start detected
	eventDoubt   = "doubt"   // too many timeouts in a row
	eventLeave   = "leave"   // marked leaving
	eventReturn  = "return"  // no longer leaving; starts cold
	eventRemove  = "remove"  // no longer in the settings
	eventRecover = "recover" // a suspect server answered a probe while cold
	eventResume  = "resume"  // as recover, in a warming stage
	eventRestore = "restore" // as recover, while warm
)

// machine is one state machine that the rows of a table share, since a
// machine per server would take several kilobytes each.
type machine struct{ fsm *fsm.FSM }

func newMachine() machine {
	live := []string{StateCold, StateWarming, StateWarm}
	present := append([]string{StateSuspect}, live...)
	return machine{fsm.NewFSM(StateCold, fsm.Events{
		{Name: eventRise, Src: []string{StateCold, StateWarming}, Dst: StateWarming},
		{Name: eventReady, Src: []string{StateCold, StateWarming}, Dst: StateWarm},
		{Name: eventFall, Src: live, Dst: StateCold},
		{Name: eventDoubt, Src: live, Dst: StateSuspect},
		{Name: eventLeave, Src: present, Dst: StateLeaving},
		{Name: eventReturn, Src: []string{StateLeaving}, Dst: StateCold},
		{Name: eventRemove, Src: append([]string{StateLeaving}, present...), Dst: StateGone},
		{Name: eventRecover, Src: []string{StateSuspect}, Dst: StateCold},
		{Name: eventResume, Src: []string{StateSuspect}, Dst: StateWarming},
		{Name: eventRestore, Src: []string{StateSuspect}, Dst: StateWarm},
	}, nil)}
}

// fire applies an event to a row's state. It reports false when the event
// does not apply in that state.
func (m machine) fire(r *row, event string) bool {
	m.fsm.SetState(r.state)
	err := m.fsm.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return false
	}
	r.state = m.fsm.Current()
	return true
}

// fire applies an event to a row and logs a change of its state.
func (t *Table) fire(r *row, event string) bool {
	from := r.state
	if !t.machine.fire(r, event) {
		return false
	}
	if r.state != from {
		t.Log.Info("server state changed", "server", r.id, "addr", r.addr, "from", from, "to", r.state, "event", event,
			"stage", r.stage, "timeouts", r.timeouts, "unheard", r.unheard, "confirmedAt", r.confirmed)
	}
	return true
}
