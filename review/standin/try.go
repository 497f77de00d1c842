package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpethall.dev/kernel/platform/memory"
)

// playRetire retires a keeper under load, removes its machine as soon as it says that it is
// done, and lets another keeper lose its disk right after. MODE adds a disruption.
func playRetire(w *world) int {
	const programs = 40
	for _, engine := range w.engines {
		engine.SetEventPause(12 * time.Millisecond)
	}
	previous := make([]string, programs)
	var stopping atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		forAll(programs, func(index int) {
			for number := 1; !stopping.Load(); number++ {
				if number%20 == 0 {
					previous[index] = ""
				}
				a := last(w.tryTurn(index, turn{program: fmt.Sprintf("p%02d.%d", index, number/20), previous: previous[index], input: fmt.Sprintf("input %d\n", number)}))
				if a.status == http.StatusNotFound {
					w.log("FAULT 404 for a turn that was answered whole")
				}
				if !a.served() {
					return
				}
				previous[index] = a.id
				time.Sleep(60 * time.Millisecond)
			}
		})
	})
	time.Sleep(2 * time.Second)
	retiring, wiped := w.keepers[0], w.keepers[1]
	mode := os.Getenv("MODE")
	switch mode {
	case "slow":
		w.memory.SetFaults(memory.Faults{DelayMilliseconds: 240})
	case "hall":
		w.halls[0].refuse(true)
	case "silent":
		w.memory.SetFaults(memory.Faults{SilentWatches: true})
		time.AfterFunc(time.Second, func() { w.memory.SetFaults(memory.Faults{}) })
	}
	check(w.store.Put(context.Background(), "op/retire/"+retiring.name, map[string]any{"DurationS": 8.6}))
	w.log("%s is to be retired, mode %q", retiring.name, mode)
	if mode == "kill" {
		time.Sleep(350 * time.Millisecond)
		retiring.kill()
		time.Sleep(500 * time.Millisecond)
		retiring.start(false)
	}
	w.waitUntil("the keeper is retired", 20*time.Second, func() bool {
		return w.store.ValueContains(context.Background(), "status/retire/"+retiring.name, "done")
	})
	w.log("%s says that it is done", retiring.name)
	retiring.kill()
	check(os.RemoveAll(retiring.dataDir))
	if w.trouble {
		wiped.kill()
		check(os.RemoveAll(wiped.dataDir))
		check(os.MkdirAll(wiped.dataDir, 0o755))
		w.log("%s lost its disk", wiped.name)
		time.Sleep(time.Second)
		wiped.start(false)
	}
	w.memory.SetFaults(memory.Faults{})
	time.Sleep(3 * time.Second)
	if mode == "hall" {
		w.halls[0].refuse(false)
	}
	stopping.Store(true)
	group.Wait()
	time.Sleep(8 * time.Second)
	return w.judgeContinuations(previous)
}

// playQuota presses a tenant far beyond its limit while halls are disturbed, and counts the
// requests that engines run in each window of five seconds.
func playQuota(w *world) int {
	const rate, burst = 40, 40
	document := configuration().(map[string]any)
	document["Version"] = 2
	document["Tenants"] = []any{map[string]any{"Name": tenant, "ApiKeys": []string{clientKey}, "RatePerS": rate, "Burst": burst}}
	check(w.store.Put(context.Background(), "op/config", document))
	for _, engine := range w.engines {
		engine.SetEventPause(time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	var stopping atomic.Bool
	var group sync.WaitGroup
	for index := range 16 {
		hall := w.halls[index%2]
		group.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			for !stopping.Load() {
				request, err := http.NewRequest(http.MethodPost, "http://"+hall.front+"/once/x", strings.NewReader("x"))
				check(err)
				request.Host = routeHost
				request.Header.Set("Authorization", "Token "+clientKey)
				request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", w.ids.Add(1)))
				request.Header.Set("X-Deadline-Ms", "2000")
				if response, err := client.Do(request); err == nil {
					_ = response.Body.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	hall := w.halls[0]
	switch mode := os.Getenv("MODE"); mode {
	case "term":
		hall.signal(syscall.SIGTERM)
		<-hall.exited
		hall.refuse(true)
		time.Sleep(300 * time.Millisecond)
		hall.start(false)
		time.Sleep(8500 * time.Millisecond)
		hall.refuse(false)
	case "kill":
		hall.kill()
		hall.refuse(true)
		time.Sleep(300 * time.Millisecond)
		hall.start(false)
		time.Sleep(8500 * time.Millisecond)
		hall.refuse(false)
	case "kills":
		for range 5 {
			hall.kill()
			time.Sleep(300 * time.Millisecond)
			hall.start(false)
			time.Sleep(2500 * time.Millisecond)
		}
	case "stop":
		hall.signal(syscall.SIGSTOP)
		time.Sleep(3200 * time.Millisecond)
		hall.signal(syscall.SIGCONT)
	case "down":
		w.memory.SetFaults(memory.Faults{Down: true})
		time.Sleep(4500 * time.Millisecond)
		hall.kill()
		time.Sleep(300 * time.Millisecond)
		hall.start(false)
		time.Sleep(time.Second)
		w.memory.SetFaults(memory.Faults{})
	}
	time.Sleep(6 * time.Second)
	stopping.Store(true)
	group.Wait()
	var at []time.Time
	for _, engine := range w.engines {
		for _, request := range engine.Requests() {
			at = append(at, request.At)
		}
	}
	slices.SortFunc(at, func(a, b time.Time) int { return a.Compare(b) })
	most, first := 0, 0
	for index := range at {
		for at[index].Sub(at[first]) > 5*time.Second {
			first++
		}
		most = max(most, index-first+1)
	}
	limit := int((rate*5+burst)*1.1 + 20)
	w.log("requests that ran: %d, at most %d in five seconds, limit %d", len(at), most, limit)
	if most > limit {
		return broken
	}
	return held
}

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
