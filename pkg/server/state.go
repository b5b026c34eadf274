package server

import (
	"context"
	"errors"

	"github.com/looplab/fsm"
)

// Lifecycle states of a backend server, as this instance sees it.
const (
	StateCold    = "cold"
	StateWarming = "warming"
	StateWarm    = "warm"
	// StateSuspect is a server that stopped answering. It gets no new work
	// until it answers a probe.
	StateSuspect = "suspect"
	// StateLeaving is a server that gets no new work, because operators marked
	// it or its failure domain or because it reports that it is draining.
	StateLeaving = "leaving"
	// StateGone is a server that the settings no longer list.
	StateGone = "gone"
)

// Events of the state machine. The strings appear in the log.
const (
	eventRise    = "rise"    // moved to a higher stage below warm
	eventReady   = "ready"   // reached the warm stage
	eventFall    = "fall"    // a new cold start was detected
	eventSuspect = "doubt"   // too many consecutive timeouts
	eventLeave   = "leave"   // marked leaving, or draining
	eventReturn  = "return"  // no longer leaving; starts cold
	eventRemove  = "remove"  // no longer in the settings
	eventRecover = "recover" // a suspect server in the first stage answered a probe
	eventResume  = "resume"  // a suspect server in a warming stage answered a probe
	eventRestore = "restore" // a suspect server that was warm answered a probe
)

// machine is a state machine that all entries of a table share. A machine for
// each server would take several kilobytes.
type machine struct{ fsm *fsm.FSM }

func newMachine() machine {
	live := []string{StateCold, StateWarming, StateWarm}
	present := append([]string{StateSuspect}, live...)
	return machine{fsm.NewFSM(StateCold, fsm.Events{
		{Name: eventRise, Src: []string{StateCold, StateWarming}, Dst: StateWarming},
		{Name: eventReady, Src: []string{StateCold, StateWarming}, Dst: StateWarm},
		{Name: eventFall, Src: live, Dst: StateCold},
		{Name: eventSuspect, Src: live, Dst: StateSuspect},
		{Name: eventLeave, Src: present, Dst: StateLeaving},
		{Name: eventReturn, Src: []string{StateLeaving}, Dst: StateCold},
		{Name: eventRemove, Src: append([]string{StateLeaving}, present...), Dst: StateGone},
		{Name: eventRecover, Src: []string{StateSuspect}, Dst: StateCold},
		{Name: eventResume, Src: []string{StateSuspect}, Dst: StateWarming},
		{Name: eventRestore, Src: []string{StateSuspect}, Dst: StateWarm},
	}, nil)}
}

// fire applies an event to the state of an entry. It returns false if the
// event is not valid in that state.
func (m machine) fire(e *entry, event string) bool {
	m.fsm.SetState(e.state)
	err := m.fsm.Event(context.Background(), event)
	var noTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &noTransition) {
		return false
	}
	e.state = m.fsm.Current()
	return true
}

// fire applies an event to an entry and logs the change of state, if any. It
// returns false if the event is not valid in the current state.
func (t *Table) fire(e *entry, event string) bool {
	from := e.state
	if !t.machine.fire(e, event) {
		return false
	}
	if e.state != from {
		t.Log.Info("server state changed", "server", e.id, "addr", e.addr, "from", from, "to", e.state, "event", event,
			"stage", e.stage, "timeouts", e.timeouts, "unheard", e.unansweredProbes, "confirmedAt", e.confirmedAt)
	}
	return true
}
