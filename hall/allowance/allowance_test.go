package allowance_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"limpethall.dev/hall/allowance"
	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/table"
)

const (
	workspace = "workshop"
	// messageDelay is the way of a message from one hall to another.
	messageDelay = 2 * time.Millisecond
)

// lenders is a hall's way to the other halls, without a network.
type lenders struct {
	own   int
	halls []*allowance.Allowance
}

// Borrow implements allowance.Lenders: each hall is asked for an equal part,
// and those that gave it all are asked for the rest.
func (l *lenders) Borrow(ctx context.Context, name string, wanted float64, bucket *limit.Bucket) float64 {
	got := 0.0
	asked := make([]bool, len(l.halls))
	asked[l.own] = true
	for range 2 {
		rest := wanted - got
		others := 0
		for index := range l.halls {
			if !asked[index] {
				others++
			}
		}
		if others == 0 || rest <= 0 {
			break
		}
		sent := time.Now()
		duty.Pause(ctx, messageDelay)
		var loans []limit.Loan
		for index, hall := range l.halls {
			if asked[index] {
				continue
			}
			loan := hall.Lend(name, rest/float64(others), bucket.Settled(string(rune('a'+index))))
			asked[index] = loan.Amount() < rest/float64(others)
			loans = append(loans, loan)
			got += loan.Amount()
		}
		duty.Pause(ctx, messageDelay)
		for index, loan := range loans {
			bucket.Accept(sent, time.Now(), string(rune('a'+index)), loan)
		}
	}
	return got
}

// newHalls returns halls with equal shares of one row, their buckets full.
func newHalls(count int, rate float64, burst int64) []*allowance.Allowance {
	halls := make([]*allowance.Allowance, count)
	for index := range halls {
		halls[index] = allowance.New(&lenders{own: index, halls: halls}, func(time.Time) bool { return true }, 0, time.Now)
	}
	for _, hall := range halls {
		hall.ConfigureRows([]table.Row{table.NewRow(workspace, 1, rate, burst, 0, nil)})
		hall.SetShare(limit.WholeParts/int64(count), true)
	}
	return halls
}

// TestUnevenLoadUsesTheRate puts a workspace 20% over its rate, its requests
// spread unevenly over five halls as a balancer by connections does, and wants
// nearly all of the rate used: what is refused below it is refused wrongly.
func TestUnevenLoadUsesTheRate(t *testing.T) {
	const (
		rate     = 50.0
		burst    = 50
		length   = 20 * time.Second
		overload = 1.2
		wanted   = 0.95
	)
	synctest.Test(t, func(t *testing.T) {
		halls := newHalls(5, rate, burst)
		weights := []float64{0.45, 0.25, 0.15, 0.1, 0.05}
		random := rand.New(rand.NewPCG(1, 2))
		var admitted atomic.Int64
		end := time.Now().Add(length)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / (rate * overload) * float64(time.Second)))
			hall := pick(random, weights)
			go func() {
				if halls[hall].Admit(t.Context(), workspace, allowance.Continuing) == nil {
					admitted.Add(1)
				}
			}()
		}
		time.Sleep(2 * time.Second)
		whole := rate*length.Seconds() + burst
		if got := float64(admitted.Load()) / whole; got < wanted {
			t.Errorf("admitted part of rate and burst: got %.3f, want at least %.2f", got, wanted)
		}
	})
}

// TestBegunProgramsFinishUnderOverload starts programs of ten calls at 1.4
// times what the rate holds. A program loses everything with one call that is
// refused, so those that began are to finish and the others are to be refused
// with their first turn.
func TestBegunProgramsFinishUnderOverload(t *testing.T) {
	const (
		rate     = 50.0
		calls    = 10
		overload = 1.4
		pause    = 120 * time.Millisecond
		length   = 30 * time.Second
		most     = 0.03
	)
	synctest.Test(t, func(t *testing.T) {
		halls := newHalls(5, rate, 50)
		random := rand.New(rand.NewPCG(3, 4))
		var begun, failed atomic.Int64
		end := time.Now().Add(length)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() / (rate * overload / calls) * float64(time.Second)))
			hall := halls[pick(random, []float64{0.35, 0.25, 0.2, 0.1, 0.1})]
			go func() {
				if hall.Admit(t.Context(), workspace, allowance.First) != nil {
					return
				}
				begun.Add(1)
				for range calls - 1 {
					time.Sleep(pause)
					if hall.Admit(t.Context(), workspace, allowance.Continuing) != nil {
						failed.Add(1)
						return
					}
				}
			}()
		}
		time.Sleep(5 * time.Second)
		if got := float64(failed.Load()) / float64(begun.Load()); got > most {
			t.Errorf("failed part of the programs that began: got %.3f of %d, want at most %.2f", got, begun.Load(), most)
		}
	})
}

func pick(random *rand.Rand, weights []float64) int {
	place := random.Float64()
	for index, weight := range weights {
		if place -= weight; place < 0 {
			return index
		}
	}
	return len(weights) - 1
}
