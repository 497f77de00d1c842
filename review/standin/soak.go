package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpethall.dev/kernel/platform/memory"
)

const (
	soakFor      = 70 * time.Second
	soakPrograms = 16
	soakBudget   = 4608
	eventTokens  = 18
)

// soak checks programs while single machines are disturbed at random times.
type soak struct {
	*world
	mutex    sync.Mutex
	faults   map[string]int
	answered map[string]string    // Body that the engine of the next turn is to get before its input.
	at       map[string]time.Time // When a turn was answered whole.
	bodies   map[string]string    // Body that the engine is to get, by request.
	once     map[string]bool
	promised map[string]string // Requests that were promised not to run, and the answer.
	lasts    map[string]string
	count    atomic.Int64
}

func (s *soak) fault(kind, format string, args ...any) {
	s.mutex.Lock()
	s.faults[kind]++
	s.mutex.Unlock()
	s.log("FAULT %s: %s", kind, fmt.Sprintf(format, args...))
}

// playSoak plays a seeded mix; it is no case of its own. SEED is the seed.
func playSoak(w *world) int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	s := &soak{world: w, faults: map[string]int{}, answered: map[string]string{}, at: map[string]time.Time{}, bodies: map[string]string{}, once: map[string]bool{}, promised: map[string]string{}, lasts: map[string]string{}}
	for _, engine := range w.engines {
		engine.SetEventPause(25 * time.Millisecond)
	}
	var stopping atomic.Bool
	var group sync.WaitGroup
	for index := range soakPrograms {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		group.Go(func() {
			for !stopping.Load() {
				s.program(random, &stopping)
			}
		})
	}
	if w.trouble {
		if os.Getenv("OVERLAP") == "1" {
			group.Go(func() { s.wipe(rand.New(rand.NewPCG(seed, 2000))) })
		}
		if os.Getenv("OVERLAP") == "2" {
			group.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 3000)), true) })
		}
		s.disturb(rand.New(rand.NewPCG(seed, 1000)), false)
	} else {
		time.Sleep(soakFor)
	}
	stopping.Store(true)
	group.Wait()
	time.Sleep(8 * time.Second)
	s.continueAll()
	s.checkEngines()
	s.log("programs %d, requests %d, faults: %v", s.count.Load(), s.ids.Load(), s.faults)
	if len(s.faults) > 0 {
		return broken
	}
	return held
}

func (s *soak) program(random *rand.Rand, stopping *atomic.Bool) {
	name := fmt.Sprintf("a%d", s.count.Add(1))
	previous, tokens := "", 0
	for number := range 2 + random.IntN(20) {
		if stopping.Load() {
			break
		}
		t := turn{program: name, previous: previous, input: fmt.Sprintf("%s input %d\n", name, number), budget: soakBudget}
		a, handed := s.send(random, t)
		tokens += handed
		if tokens > soakBudget+maxTokens {
			s.fault("BUDGET", "program %s got %d tokens", name, tokens)
		}
		if !a.served() {
			break
		}
		previous = a.id
		if random.IntN(3) == 0 {
			call := turn{program: name, input: name + " call\n", path: "/once/x"}
			c := s.sendTurn(s.halls[random.IntN(len(s.halls))], call)
			s.mutex.Lock()
			s.once[c.id] = true
			if c.status == 503 || c.status == 429 || c.status == 408 || c.status == 421 {
				s.promised[c.id] = strconv.Itoa(c.status)
			}
			s.mutex.Unlock()
		}
		time.Sleep(time.Duration(50+random.IntN(150)) * time.Millisecond)
	}
	if previous != "" {
		s.mutex.Lock()
		s.lasts[name] = previous
		s.mutex.Unlock()
	}
}

// send sends a turn as a client does, and returns the last answer and the tokens of all.
func (s *soak) send(random *rand.Rand, t turn) (answer, int) {
	answers := s.tryTurn(random.IntN(len(s.halls)), t)
	tokens := 0
	s.mutex.Lock()
	before := s.answered[t.previous]
	answeredAt := s.at[t.previous]
	for _, a := range answers {
		tokens += len(a.events) * eventTokens
		s.bodies[a.id] = before + t.input
		s.once[a.id] = true
		if a.status == 503 || a.status == 429 || a.status == 402 || a.status == 408 {
			s.promised[a.id] = strconv.Itoa(a.status)
		}
		if a.served() {
			s.answered[a.id] = before + t.input + strings.Join(a.events, "\n") + "\n"
			s.at[a.id] = time.Now()
		}
	}
	s.mutex.Unlock()
	a := last(answers)
	for _, a := range answers {
		if a.status == 404 || a.status == 410 {
			if t.previous != "" && time.Since(answeredAt) < retentionS*time.Second {
				s.fault("LOST404", "request %s: %d, previous turn %s was answered whole %v ago", a.id, a.status, t.previous, time.Since(answeredAt))
			}
		}
		if a.status == 200 && a.whole && len(a.events) != eventsEach {
			s.fault("ORDER", "request %s: whole with %d events", a.id, len(a.events))
		}
		for index, event := range a.events {
			if a.whole && event != fmt.Sprintf("word%d", index+1) {
				s.fault("ORDER", "request %s: event %d is %q", a.id, index, event)
			}
		}
	}
	return a, tokens
}

// continueAll continues from the last turn of each program.
func (s *soak) continueAll() {
	random := rand.New(rand.NewPCG(1, 1))
	var group sync.WaitGroup
	permits := make(chan struct{}, 12)
	recent := make(map[string]string)
	for name, previous := range s.lasts {
		if time.Since(s.at[previous]) < 40*time.Second {
			recent[name] = previous
		}
	}
	for name, previous := range recent {
		permits <- struct{}{}
		group.Go(func() {
			defer func() { <-permits }()
			a, _ := s.send(random, turn{program: name + "-again", previous: previous, input: "again\n"})
			if a.status != 200 && a.status != 404 {
				s.fault("STUCK", "program %s: %d for the continuation of %s", name, a.status, previous)
			}
		})
	}
	group.Wait()
}

func (s *soak) checkEngines() {
	runs := make(map[string]int)
	for _, engine := range s.engines {
		for _, request := range engine.Requests() {
			runs[request.ID]++
			s.mutex.Lock()
			want, known := s.bodies[request.ID]
			s.mutex.Unlock()
			if known && request.Body != want {
				s.fault("UNASKED", "request %s: the engine got a body of %d bytes, want %d", request.ID, len(request.Body), len(want))
			}
			if request.Tenant != tenant {
				s.fault("UNASKED", "request %s: tenant %q", request.ID, request.Tenant)
			}
		}
	}
	for id, count := range runs {
		if s.once[id] && count > 1 {
			s.fault("TWICE", "request %s ran %d times", id, count)
		}
		if status := s.promised[id]; status != "" {
			s.fault("REFUSED", "request %s was answered %s and ran", id, status)
		}
	}
}

// wipe wipes the disk of one keeper at a time, whatever else goes on.
func (s *soak) wipe(random *rand.Rand) {
	for until := time.Now().Add(soakFor - 10*time.Second); time.Now().Before(until); {
		time.Sleep(time.Duration(2000+random.IntN(4000)) * time.Millisecond)
		keeper := s.keepers[random.IntN(len(s.keepers))]
		if !keeper.busy.TryLock() {
			continue
		}
		keeper.kill()
		check(os.RemoveAll(keeper.dataDir))
		check(os.MkdirAll(keeper.dataDir, 0o755))
		s.log("%s lost its disk", keeper.name)
		time.Sleep(time.Duration(800+random.IntN(1200)) * time.Millisecond)
		keeper.start(false)
		keeper.busy.Unlock()
		time.Sleep(12 * time.Second)
	}
}

// disturb disturbs one machine, or the store, at a time. busy leaves the store alone.
func (s *soak) disturb(random *rand.Rand, busy bool) {
	between := func(low, high int) time.Duration {
		return time.Duration(low+random.IntN(high-low)) * time.Millisecond
	}
	for until := time.Now().Add(soakFor); time.Now().Before(until); {
		time.Sleep(between(300, 1500))
		keeper, hall := s.keepers[random.IntN(len(s.keepers))], s.halls[random.IntN(len(s.halls))]
		choice := random.IntN(13)
		if os.Getenv("OVERLAP") != "" && (choice == 3 || choice == 4) {
			choice = 6
		}
		if choice > 9 && busy { // One of the two plays disturbs the store.
			continue
		}
		target := keeper
		if choice >= 7 {
			target = hall
		}
		if !target.busy.TryLock() {
			continue
		}
		switch choice {
		case 0, 1:
			keeper.kill()
			time.Sleep(between(300, 3000))
			keeper.start(false)
			time.Sleep(catchUp)
		case 2:
			keeper.signal(syscall.SIGTERM)
			<-keeper.exited
			time.Sleep(between(300, 1000))
			keeper.start(false)
			time.Sleep(catchUp)
		case 3, 4:
			keeper.kill()
			check(os.RemoveAll(keeper.dataDir))
			check(os.MkdirAll(keeper.dataDir, 0o755))
			s.log("%s lost its disk", keeper.name)
			time.Sleep(between(800, 2000))
			keeper.start(false)
			time.Sleep(catchUp)
		case 5:
			keeper.signal(syscall.SIGSTOP)
			time.Sleep(between(500, 3200))
			keeper.signal(syscall.SIGCONT)
			time.Sleep(catchUp)
		case 6:
			keeper.refuse(true)
			time.Sleep(between(2000, 9000))
			keeper.refuse(false)
			time.Sleep(catchUp)
		case 7:
			hall.refuse(true)
			time.Sleep(between(2000, 9000))
			hall.refuse(false)
		case 8:
			hall.kill()
			time.Sleep(between(300, 2000))
			hall.start(false)
			time.Sleep(time.Second)
		case 9:
			hall.signal(syscall.SIGSTOP)
			time.Sleep(between(500, 3000))
			hall.signal(syscall.SIGCONT)
		case 10:
			s.setFaults(memory.Faults{Down: true}, between(1000, 4500))
		case 11:
			s.setFaults(memory.Faults{LoseAnswers: true}, between(1000, 4500))
		case 12:
			s.setFaults(memory.Faults{DelayMilliseconds: 240}, between(1000, 4500))
		}
		target.busy.Unlock()
	}
}

func (s *soak) setFaults(faults memory.Faults, duration time.Duration) {
	s.log("store: %+v for %v", faults, duration)
	s.memory.SetFaults(faults)
	time.Sleep(duration)
	s.memory.SetFaults(memory.Faults{})
	time.Sleep(time.Second)
}
