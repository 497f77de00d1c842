package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// playBytes sends turns whose program ID is no UTF-8 beside those of other programs. The
// pages name no such client, so it is no case.
func playBytes(w *world) int {
	var stopping atomic.Bool
	var group sync.WaitGroup
	if w.trouble {
		group.Go(func() {
			for !stopping.Load() {
				for _, hall := range w.halls {
					w.sendTurn(hall, turn{program: "p\xff", input: "first\n"})
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	var served, refused atomic.Int64
	forAll(100, func(index int) {
		time.Sleep(time.Duration(index) * 30 * time.Millisecond)
		if a := w.sendTurn(w.halls[index%2], turn{program: programName("q", index), input: "first\n"}); a.served() {
			served.Add(1)
		} else {
			refused.Add(1)
		}
	})
	stopping.Store(true)
	group.Wait()
	w.log("turns of other programs: %d served, %d not", served.Load(), refused.Load())
	if refused.Load() > 0 {
		return broken
	}
	return held
}
