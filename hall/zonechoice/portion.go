package zonechoice

import "time"

const (
	// fullSwing is the least time in which the portion changes from none to all requests.
	// It is longer than load reports are old, so that halls see the effect of a change
	// before they make the next one.
	fullSwing = time.Second
	// maxElapsed bounds the step after a time without requests.
	maxElapsed = 250 * time.Millisecond
	// startGap is the difference of the waits from which requests begin to leave. The
	// portion is held while the difference is below holdGap.
	startGap = 5 * time.Millisecond
	holdGap  = 2 * time.Millisecond
	// maxGap bounds the effect of a long queue.
	maxGap = 200 * time.Millisecond
	// gain and integralGain lead from the difference of the waits in seconds to the portion,
	// and to its change per second. With reports that are 200 ms old, the portion settles within
	// about 3 s of a steady overload. Higher gains make it swing.
	gain         = 2.5
	integralGain = 1.5
	// freeLoad is the load of the own zone below which no request leaves. It is well below
	// nearFull, so that the portion does not return and leave in turn.
	freeLoad = 0.7
	// fullRequests is the number of requests for each slot of the least loaded server from
	// which all requests may leave at once. Reports are old, so just full servers may have
	// free slots by now.
	fullRequests = 1.5
	// minRoom is the portion of the slots of other zones that must be free for this. The rest
	// is left to their own requests.
	minRoom = 0.15
)

// Reason is why a request stays in the zone of its hall or leaves it.
type Reason string

// The reasons.
const (
	// ReasonFree: the own zone has free capacity.
	ReasonFree Reason = "free"
	// ReasonPortion: a portion of the requests leaves, to which the request belongs or not.
	ReasonPortion Reason = "portion"
	// ReasonDelay: the request may leave, but is expected to be served sooner in its zone.
	ReasonDelay Reason = "delay"
	// ReasonFull: long queues in the own zone, and free servers elsewhere.
	ReasonFull Reason = "full"
	// ReasonUnusable: the own zone has no server that may be used.
	ReasonUnusable Reason = "unusable"
	// ReasonHistory: a server elsewhere has what the request continues.
	ReasonHistory Reason = "history"
	// ReasonAlone: no other zone has a server that may be used.
	ReasonAlone Reason = "alone"
)

// inputs are what a decision about the portion is made from.
type inputs struct {
	own, other zoneLoad      // other sums up all other zones.
	otherWait  time.Duration // Expected wait in other zones.
	cost       time.Duration // Of sending a usual request to them.
}

// gap returns by how much sooner a request would be served in another zone. It is also
// negative if nothing waits and the own zone can take more, so that the portion falls as
// quickly as it rises.
func (i inputs) gap() time.Duration { return i.own.pressure() - i.otherWait - i.cost }

// portion is the portion of requests that may leave the zone.
type portion struct {
	value    float64
	integral float64
	reason   Reason
}

// update moves the portion towards what the inputs call for.
func (p *portion) update(elapsed time.Duration, in inputs) {
	elapsed = min(max(0, elapsed), maxElapsed)
	switch {
	case in.other.servers == 0:
		p.reason = ReasonAlone
		p.move(elapsed, 0)
	case in.own.servers == 0:
		// Not limited in its slope: no request can be served in the zone. When its servers
		// return, so do the requests, within fullSwing.
		p.reason, p.value, p.integral = ReasonUnusable, 1, 1
	case in.own.load() < freeLoad || (p.value == 0 && in.gap() < startGap):
		p.reason = ReasonFree
		p.move(elapsed, 0)
	default:
		p.reason = ReasonPortion
		gap := min(maxGap, max(-maxGap, in.gap())).Seconds()
		if gap > holdGap.Seconds() || gap < -holdGap.Seconds() {
			p.integral = min(1, max(0, p.integral+integralGain*gap*elapsed.Seconds()))
		}
		p.move(elapsed, min(1, max(0, p.integral+gain*gap)))
		if in.own.minLoad >= fullRequests && in.other.room >= minRoom*in.other.slots {
			p.reason = ReasonFull
		}
	}
}

// move moves the value towards the target, no faster than fullSwing allows.
func (p *portion) move(elapsed time.Duration, target float64) {
	step := float64(elapsed) / float64(fullSwing)
	p.value += min(step, max(-step, target-p.value))
	if p.reason == ReasonFree {
		p.integral = min(p.integral, p.value)
	}
}
