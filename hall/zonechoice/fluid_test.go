package zonechoice_test

import (
	"math"
	"testing"
	"time"

	"limpethall.dev/hall/zonechoice"
)

const (
	halls       = 8   // In each zone.
	zoneServers = 16  // In each zone.
	zoneSlots   = 128 // In each zone.
	serviceTime = 0.25
	reportAge   = 4 // Steps of 50 ms after which halls see a load.
)

// fluid is a queue per zone, filled by the portions that the halls of all zones decide.
type fluid struct {
	names    []string
	choosers [][]*zonechoice.Chooser // By zone.
	requests []float64
	history  [][]float64
	now      time.Time
	left     []float64 // Portion that left each zone in the last step.
}

func newFluid(names ...string) *fluid {
	f := &fluid{names: names, requests: make([]float64, len(names)), left: make([]float64, len(names)), now: start}
	for zone, name := range names {
		var choosers []*zonechoice.Chooser
		for hall := range halls {
			choosers = append(choosers, newChooser(name, uint64(1+zone*halls+hall)))
		}
		f.choosers = append(f.choosers, choosers)
	}
	return f
}

// advance lets requests arrive for one step, at the rates given as multiples of what the
// servers of a zone can do.
func (f *fluid) advance(rates []float64) {
	f.history = append(f.history, append([]float64(nil), f.requests...))
	seen := f.history[max(0, len(f.history)-1-reportAge)]
	var list []zonechoice.Server
	for zone, name := range f.names {
		list = append(list, servers(name, zoneServers, seen[zone]/zoneServers)...)
	}
	arrived, room := make([]float64, len(f.names)), make([]float64, len(f.names))
	for zone := range f.names {
		room[zone] = max(1, zoneSlots-seen[zone])
	}
	for zone, rate := range rates {
		requests, left := rate*zoneSlots/serviceTime*step.Seconds(), 0.0
		for _, chooser := range f.choosers[zone] {
			chooser.Update(f.now, service, list)
			left += chooser.Portions()[service] / halls
		}
		f.left[zone] = left
		arrived[zone] += requests * (1 - left)
		others := 0.0
		for other := range f.names {
			if other != zone {
				others += room[other]
			}
		}
		for other := range f.names {
			if other != zone {
				arrived[other] += requests * left * room[other] / others
			}
		}
	}
	for zone := range f.names {
		served := min(f.requests[zone], zoneSlots) / serviceTime * step.Seconds()
		f.requests[zone] = max(0, f.requests[zone]+arrived[zone]-served)
	}
	f.now = f.now.Add(step)
}

// TestOverloadLeavesSteadily brings twice the load that the zone can serve for 10 s, with two
// zones that can take the rest. The portion must rise to about half, and stay there: a
// portion that swings has servers idle in one zone while requests queue in the other.
func TestOverloadLeavesSteadily(t *testing.T) {
	f := newFluid("a", "b", "c")
	low, high, sum, count, last := 1.0, 0.0, 0.0, 0.0, 0.0
	for index := range 200 {
		f.advance([]float64{2, 0.3, 0.3})
		if slope := math.Abs(f.left[0] - last); slope > step.Seconds()+1e-9 {
			t.Fatalf("change of the portion in 50 ms: got %.3f, want at most %.3f", slope, step.Seconds())
		}
		last = f.left[0]
		if index >= 100 {
			low, high, sum, count = min(low, last), max(high, last), sum+last, count+1
		}
	}
	t.Logf("portion %.2f to %.2f, mean %.2f", low, high, sum/count)
	if mean := sum / count; mean < 0.45 || mean > 0.65 || high-low > 0.1 {
		t.Errorf("portion in the last 5 s: got %.2f to %.2f with the mean %.2f, want about 0.5 with a swing below 0.1", low, high, sum/count)
	}
	if wait := (f.requests[0]/zoneServers - 8) * 15; wait > 60 {
		t.Errorf("wait in the overloaded zone: got %.0f ms, want at most 60 ms more than elsewhere", wait)
	}
	for range 60 {
		f.advance([]float64{0.4, 0.3, 0.3})
	}
	if got := f.left[0]; got != 0 {
		t.Errorf("portion 3 s after the overload: got %.2f, want 0", got)
	}
}

// TestWavesOfOppositePhase has the load of three zones rise above what they can serve and
// fall again, one after the other, in waves as long as the portion needs for two swings. Less
// must wait than if every zone kept its requests, and zones must not exchange theirs.
func TestWavesOfOppositePhase(t *testing.T) {
	f, alone := newFluid("a", "b", "c"), []float64{0, 0, 0}
	waiting, waitingAlone, leaving, crossing, turns := 0.0, 0.0, 0.0, 0.0, 0
	rising, previous := true, 0.0
	const period, waves = 80, 10
	for index := range period * waves {
		rates := make([]float64, 3)
		for zone := range rates {
			rates[zone] = 0.8 + 0.55*math.Sin(2*math.Pi*(float64(index)/period+float64(zone)/3))
			served := min(alone[zone], zoneSlots) / serviceTime * step.Seconds()
			alone[zone] += rates[zone]*zoneSlots/serviceTime*step.Seconds() - served
			waitingAlone += max(0, alone[zone]-zoneSlots)
		}
		f.advance(rates)
		for zone := range rates {
			waiting += max(0, f.requests[zone]-zoneSlots)
			leaving += f.left[zone]
		}
		crossing += f.left[0] + f.left[1] + f.left[2] - max(f.left[0], f.left[1], f.left[2])
		if change := f.left[0] - previous; math.Abs(change) > 1e-3 {
			if (change > 0) != rising {
				rising = change > 0
				turns++
			}
			previous = f.left[0]
		}
	}
	t.Logf("waiting %.0f, without leaving %.0f; leaving %.1f, crossing %.1f, turns %d", waiting, waitingAlone, leaving, crossing, turns)
	if waiting > 0.5*waitingAlone {
		t.Errorf("waiting requests: got %.0f, want at most half of the %.0f if none left", waiting, waitingAlone)
	}
	if crossing > 0.25*leaving {
		t.Errorf("portions of zones that exchange requests: got %.1f, want at most a quarter of %.1f", crossing, leaving)
	}
	if turns > 3*waves {
		t.Errorf("turns of the portion of one zone: got %d in %d waves, want at most %d", turns, waves, 3*waves)
	}
}
