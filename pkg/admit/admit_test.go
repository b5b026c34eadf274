package admit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ebonypaddle/pkg/load"
)

const (
	target       = 600 * time.Millisecond
	slots        = 80.0
	workMean     = 0.05 // seconds
	capacityPerS = slots / workMean
)

var now = time.UnixMilli(1_700_000_000_000)

// domain returns a failure domain in which each slot has inProgress requests, and
// callers ask for the given rates of class 1 and 2.
func domain(name string, inProgress, class1, class2 float64) Domain {
	d := Domain{Total: load.Total{Domain: name, Service: "s", Slots: slots, Busy: slots * min(inProgress, 1), InProgress: slots * inProgress}}
	d.Demand.Offered[1], d.Demand.Offered[2] = class1, class2
	d.Demand.Done = d.Busy / workMean
	return d
}

// bearableNow is the number of requests in progress per slot at which callers wait as
// long as they may.
var bearableNow = bearablePerSlot(target, workMean)

func update(t *testing.T, own Domain, others ...Domain) Plan {
	t.Helper()
	var s Service
	p, pressed := s.Update(now, target, own, others)
	assert.Assert(t, pressed)
	return p
}

func equal(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.01, "%.3f, want %.3f", got, want)
}

// Guards against refusals while there is room.
func TestNothingRefusedWithRoom(t *testing.T) {
	var s Service
	for _, inProgress := range []float64{0, 0.5, 1, bearableNow * 0.99} {
		_, pressed := s.Update(now, target, domain("a", inProgress, 300, 900), nil)
		assert.Assert(t, !pressed)
	}
}

// Guards against refusals of urgent requests that fit into the servers, and against
// more of the others than fit.
func TestLowerClassesGetWhatIsLeft(t *testing.T) {
	for _, x := range []float64{1, 2, 4} {
		p := update(t, domain("a", bearableNow, 0.2*capacityPerS*x, 0.8*capacityPerS*x))
		equal(t, p.Admit[1], 1)
		equal(t, p.Admit[2], (1-0.2*x)/(0.8*x))
	}
}

// Guards against lower classes without any answer while urgent requests alone exceed
// the servers.
func TestLowerClassesDoNotStarve(t *testing.T) {
	p := update(t, domain("a", bearableNow, 2*capacityPerS, capacityPerS))
	equal(t, p.Admit[1], 0.5)
	equal(t, p.Admit[2], leastShare)
}

// Guards against refusals of urgent requests because open flows of a lower class
// fill the servers.
func TestOpenFlowsTakeNoRoomFromHigherClasses(t *testing.T) {
	d := domain("a", bearableNow, 0.2*capacityPerS, 0.5*capacityPerS)
	d.Demand.Begun[2] = capacityPerS
	p := update(t, d)
	equal(t, p.Admit[1], 1)
	equal(t, p.Admit[2], leastShare/0.5)
}

// Guards against refusals in a crowded failure domain while others have room, and
// against more flows to each than it has room for.
func TestExcessGoesToDomainsWithRoom(t *testing.T) {
	crowded := domain("a", bearableNow, 0.4*capacityPerS, 1.2*capacityPerS)
	b, c := domain("b", 0.4, 0.1*capacityPerS, 0.3*capacityPerS), domain("c", 0.8, 0.2*capacityPerS, 0.6*capacityPerS)
	p := update(t, crowded, b, c)
	for class := 1; class <= 2; class++ {
		sum := p.Admit[class]
		for _, a := range p.Away {
			sum += a.Share[class]
		}
		equal(t, sum, 1)
	}
	assert.Equal(t, len(p.Away), 2)
	assert.Assert(t, p.Away[0].Share[2] > p.Away[1].Share[2])
}

// Guards against two crowded failure domains that both fill the room of a third.
func TestCrowdedDomainsShareTheRoom(t *testing.T) {
	a, b := domain("a", bearableNow, 0.4*capacityPerS, 1.1*capacityPerS), domain("b", bearableNow, 0.4*capacityPerS, 1.1*capacityPerS)
	c := domain("c", 0.4, 0.1*capacityPerS, 0.3*capacityPerS)
	var planner Service
	room := planner.state(&c, workMean, bearableNow*slots, false).capacity - 0.4*capacityPerS
	sent := 0.0
	for _, pair := range [][2]Domain{{a, b}, {b, a}} {
		p := update(t, pair[0], pair[1], c)
		assert.Equal(t, len(p.Away), 1)
		sent += p.Away[0].Share[1]*0.4*capacityPerS + p.Away[0].Share[2]*1.1*capacityPerS
	}
	assert.Assert(t, sent <= room*1.001, "%.0f flows a second into room for %.0f", sent, room)
}

// Guards against a plan that ends while it refuses flows, and against one that goes on
// after the load has gone.
func TestPlanEndsAfterTheLoad(t *testing.T) {
	var s Service
	_, pressed := s.Update(now, target, domain("a", bearableNow+1, 0.2*capacityPerS, capacityPerS), nil)
	assert.Assert(t, pressed)
	calm := domain("a", 0.3, 100, 100)
	calmFrom := now.Add(200 * time.Millisecond)
	p, pressed := s.Update(calmFrom, target, calm, nil)
	assert.Assert(t, pressed)
	equal(t, p.Admit[2], 1)
	_, pressed = s.Update(calmFrom.Add(calmTime), target, calm, nil)
	assert.Assert(t, !pressed)
}

// Guards against a plan that goes on refusing what servers have room for, or lets
// their queues grow: the requests in progress come to the bearable number.
func TestInProgressComesToTheBearableNumber(t *testing.T) {
	for _, x := range []float64{1.1, 2, 4, 8} {
		var s Service
		inProgress, at, admitted := slots*(bearableNow+4), now, 0.0
		const step = 200 * time.Millisecond
		for range 100 {
			at = at.Add(step)
			d := domain("a", inProgress/slots, 0.2*capacityPerS, (x-0.2)*capacityPerS)
			p, pressed := s.Update(at, target, d, nil)
			if !pressed {
				p.Admit = [load.Classes]float64{1, 1, 1, 1}
			}
			admitted = p.Admit[1]*d.Demand.Offered[1] + p.Admit[2]*d.Demand.Offered[2]
			inProgress = max(inProgress+(admitted-min(inProgress, slots)/workMean)*step.Seconds(), 0)
		}
		assert.Assert(t, math.Abs(inProgress/slots-bearableNow) < 0.2*bearableNow, "%.1f times: %.2f a slot, bearable %.2f", x, inProgress/slots, bearableNow)
		assert.Assert(t, admitted > 0.97*capacityPerS, "%.1f times: %.0f admitted", x, admitted)
	}
}

// Guards against queues that servers reject: they have less room than the latency
// target allows.
func TestRejectionsShortenTheQueue(t *testing.T) {
	var s Service
	d := domain("a", bearableNow, 0.2*capacityPerS, 1*capacityPerS)
	first, _ := s.Update(now, target, d, nil)
	d.Demand.Rejected = 0.3 * d.Demand.Done
	d.Demand.Done += d.Demand.Rejected
	var later Plan
	for range 40 {
		later, _ = s.Update(now, target, d, nil)
	}
	assert.Assert(t, later.Admit[2] < 0.8*first.Admit[2])
}

// Guards against a plan that refuses everybody for good, as there are no answers from
// which the capacity follows: at a cold start, and after servers were out.
func TestNoPlanWithoutAnswers(t *testing.T) {
	silent := domain("a", bearableNow+1, 100, 100)
	silent.Demand.Done = 0
	var s Service
	_, pressed := s.Update(now, target, silent, nil)
	assert.Assert(t, !pressed)
	_, pressed = s.Update(now, target, domain("a", bearableNow+1, capacityPerS, capacityPerS), nil)
	assert.Assert(t, pressed)
	out := silent
	out.Slots, out.Busy, out.InProgress = 0, 0, 0
	_, pressed = s.Update(now, target, out, nil)
	assert.Assert(t, !pressed)
}

// Guards against refusals while servers are idle, because most answers of the last
// second were rejections: all callers came back at once after an outage.
func TestIdleServersRefuseNothing(t *testing.T) {
	var s Service
	_, pressed := s.Update(now, target, domain("a", bearableNow+2, 0.2*capacityPerS, 2*capacityPerS), nil)
	assert.Assert(t, pressed)
	d := domain("a", 0.3, 0.1*capacityPerS, 0.3*capacityPerS)
	d.Demand.Done, d.Demand.Rejected = 100, 90
	p, pressed := s.Update(now.Add(200*time.Millisecond), target, d, nil)
	assert.Assert(t, pressed)
	equal(t, p.Admit[1], 1)
	equal(t, p.Admit[2], 1)
}
