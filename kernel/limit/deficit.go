package limit

import "time"

const (
	// deficitSlots is the number of parts of the window for each of which the
	// least deficit is kept.
	deficitSlots = 8
	// deficitSteps bounds the steps in which a long pause is accounted for, in
	// slots. What passed before is taken to have had no deficit.
	deficitSteps = 4 * deficitSlots
)

// deficit remembers by how many tokens a bucket has been below its capacity at
// all times during the last window.
//
// A row is often counted over windows of a stated length, each of which may
// hold rate times length plus burst. A bucket that was full reaches that much in
// its first window and then stays at the rate alone: the burst of each later
// window goes unused. So a bucket that has been short of n tokens for a whole
// window may refill faster by n in a window. A window then holds at most the
// tokens at its start, the refill, and what these were short of the burst at
// that start, which is rate times length plus burst.
type deficit struct {
	window time.Duration
	start  time.Time
	slots  [deficitSlots + 1]slot
}

// slot is the least deficit of one part of the window.
type slot struct {
	number int64
	least  float64
}

// length returns the length of a slot.
func (d *deficit) length() time.Duration { return d.window / deficitSlots }

// number returns the number of the slot of a time; the first one is 1.
func (d *deficit) number(now time.Time) int64 { return 1 + int64(max(0, now.Sub(d.start))/d.length()) }

// note takes in that the bucket was short of so many tokens.
func (d *deficit) note(now time.Time, short float64) {
	if d.window <= 0 {
		return
	}
	number := d.number(now)
	at := &d.slots[number%int64(len(d.slots))]
	if at.number != number {
		*at = slot{number: number, least: short}
		return
	}
	at.least = min(at.least, short)
}

// rate returns by how many tokens a second the refill may be faster for a
// length of time from now on, after which the bucket would without that be short
// of so many tokens.
func (d *deficit) rate(now time.Time, length time.Duration, short float64) float64 {
	if d.window <= 0 {
		return 0
	}
	newest := d.number(now)
	least := short * d.window.Seconds() / (d.window + length).Seconds()
	for _, at := range d.slots {
		if at.number < newest-deficitSlots || at.number > newest {
			return 0 // Nothing is known of a part of the window.
		}
		least = min(least, at.least)
	}
	return max(0, least) / d.window.Seconds()
}
