package limit

import "time"

const (
	// deficitSlots is the number of equal parts into which a window is divided.
	// The minimum deficit is kept for each.
	deficitSlots = 8
	// maxRefillSteps bounds the steps, of one slot each, in which a refill after a
	// long pause is computed. The time before them is refilled at the plain rate, as
	// if there had been no deficit.
	maxRefillSteps = 4 * deficitSlots
)

// deficitTracker records the minimum deficit of a bucket over a sliding window.
// The deficit is the number of tokens by which the bucket is below its capacity.
//
// A limit that is counted over windows of a fixed length allows rate times length
// plus burst in each window. A plain token bucket that starts full provides that
// much in its first window, and only the rate under constant load afterwards: the
// burst of every later window goes unused. A bucket that lacked at least n tokens
// during a whole window may therefore refill faster by n tokens per window. The
// requests in a window are then bounded by the tokens at its start, the refill at
// the plain rate, and the deficit at its start, which sum to rate times length
// plus burst.
type deficitTracker struct {
	window time.Duration
	start  time.Time
	slots  [deficitSlots + 1]deficitSlot
}

// deficitSlot is the minimum deficit in one part of the window.
type deficitSlot struct {
	index   int64
	minimum float64
}

// slotLength returns the length of a slot.
func (d *deficitTracker) slotLength() time.Duration { return d.window / deficitSlots }

// slotIndex returns the index of the slot that contains a time. It begins at 1,
// so that the zero deficitSlot counts as unknown.
func (d *deficitTracker) slotIndex(now time.Time) int64 {
	return 1 + int64(max(0, now.Sub(d.start))/d.slotLength())
}

// record records the deficit at a time.
func (d *deficitTracker) record(now time.Time, deficit float64) {
	if d.window <= 0 {
		return
	}
	index := d.slotIndex(now)
	slot := &d.slots[index%int64(len(d.slots))]
	if slot.index != index {
		*slot = deficitSlot{index: index, minimum: deficit}
		return
	}
	slot.minimum = min(slot.minimum, deficit)
}

// extraRate returns by how many tokens per second the refill may exceed the plain
// rate during the time elapsed from now on. deficit is what the bucket would lack
// at the end of that time at the plain rate.
func (d *deficitTracker) extraRate(now time.Time, elapsed time.Duration, deficit float64) float64 {
	if d.window <= 0 {
		return 0
	}
	newest := d.slotIndex(now)
	minimum := deficit * d.window.Seconds() / (d.window + elapsed).Seconds()
	for _, slot := range d.slots {
		if slot.index < newest-deficitSlots || slot.index > newest {
			return 0 // The deficit in a part of the window is unknown.
		}
		minimum = min(minimum, slot.minimum)
	}
	return max(0, minimum) / d.window.Seconds()
}
