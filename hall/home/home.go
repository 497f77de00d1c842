// Package home runs the programs that live at this hall: their calls in order
// and one at a time, their history, budget and copies.
//
// A program's home is the hall that rendezvous hashing of its identifier gives
// over the roster. Any hall can become the home: it collects the copies and
// checks them against the caller's ticket, so a stale copy is found out
// without a vote.
//
// # Usage
//
//	h := home.New(options, parts)
//	err := h.Run(ctx, turnRequest, send)
//	state, err := h.End(ctx, programRequest)
package home

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/dispatch"
	"limpethall.dev/hall/fleet"
	"limpethall.dev/hall/suspect"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/secret"
)

const (
	// maxWaiting is how many calls of one program may wait for each other.
	maxWaiting = 8
	// wantedCopies is on how many other halls a turn is kept.
	wantedCopies = 2
	// maxHomes is how many halls are tried as the home of a program.
	maxHomes = 3
	// maxExcluded bounds the servers that a ticket passes over.
	maxExcluded = 32
)

// Options are the settings of a home.
type Options struct {
	Identity fleet.Identity
	// MaxTurns is the most turns of a program.
	MaxTurns uint64
	// MaxHistoryBytes bounds the stored form of a program.
	MaxHistoryBytes int
	// Idle is how long a program may be without a call.
	Idle time.Duration
	// BytesPerToken estimates the tokens of a prompt.
	BytesPerToken int
	// MaxAnswerTokens is granted where a call names no maximum.
	MaxAnswerTokens int64
	// ServiceTimeout bounds a call to a plain service.
	ServiceTimeout time.Duration
}

// Parts are what a home works with.
type Parts struct {
	Book       *secret.Book
	Roster     *host.Watcher
	Registrar  *host.Registrar
	Follower   *configuration.Follower
	Fleet      *fleet.Fleet
	Dispatcher *dispatch.Dispatcher
	Prefixes   *dispatch.Prefixes
	Client     *peer.Client
	Vault      *Vault
	Suspects   *suspect.Book
	Archive    *program.Archive
	Logger     *zap.Logger
	Now        func() time.Time
}

// Home holds the programs of this hall. It is safe for concurrent use.
type Home struct {
	Parts
	options Options

	mutex    sync.Mutex
	programs map[string]*resident
}

// New returns a home without programs.
func New(options Options, parts Parts) *Home {
	return &Home{Parts: parts, options: options, programs: make(map[string]*resident)}
}

// resident is one program at its home. Turn is a lock that can be waited for
// with a context; the fields below it belong to whoever holds it.
type resident struct {
	turn    chan struct{}
	waiting int // Guarded by the home's mutex.
	used    time.Time

	record  *program.Record
	halls   uint64 // Digest of the halls when the copies were last collected.
	sent    string // Identifier of the newest non-idempotent call that may have left this hall.
	vaulted bool   // The store holds a record of the program.
	server  string
	held    int64
}

// Len returns how many programs are held.
func (h *Home) Len() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.programs)
}

// Candidates returns the halls that may be a program's home, its home first.
func Candidates(id string, roster *host.Roster) []host.Member {
	return host.Top(id, roster.Halls(), maxHomes)
}

// IsHome reports whether this hall is the program's home by its own roster.
func (h *Home) IsHome(id string) bool {
	first, found := host.First(id, h.Roster.Roster().Halls())
	return found && first.Name() == h.options.Identity.Name
}

// enter waits for the program's turn and returns it with the function that
// gives the turn back.
func (h *Home) enter(ctx context.Context, id string) (*resident, func(), error) {
	h.mutex.Lock()
	here, found := h.programs[id]
	if !found {
		here = &resident{turn: make(chan struct{}, 1)}
		h.programs[id] = here
	}
	if here.waiting >= maxWaiting {
		h.mutex.Unlock()
		return nil, nil, failure.New(failure.CodeProgramBusy, failure.NotRun, "%d calls of program %s wait already: send one at a time", maxWaiting, id).WithRetryAfter(time.Second)
	}
	here.waiting++
	h.mutex.Unlock()
	select {
	case here.turn <- struct{}{}:
		return here, func() { h.leave(id, here) }, nil
	case <-ctx.Done():
		h.mutex.Lock()
		here.waiting--
		h.mutex.Unlock()
		return nil, nil, failure.New(failure.CodeCanceled, failure.NotRun, "the caller has gone")
	}
}

// leave gives the turn back. A program without a record, as after a refused
// ticket, is forgotten.
func (h *Home) leave(id string, here *resident) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	here.used = h.Now()
	here.waiting--
	if here.record == nil && here.waiting == 0 {
		delete(h.programs, id)
	}
	<-here.turn
}

// Tidy ends programs without calls for too long and drops what is over. A
// program that has moved to another home is only dropped.
func (h *Home) Tidy(ctx context.Context) {
	for _, id := range h.idle() {
		here, leave, err := h.enter(ctx, id)
		if err != nil {
			return
		}
		if here.record != nil && !here.record.Ended() && h.IsHome(id) && !h.movedOn(ctx, here) {
			h.Logger.Info("program ended by idle time", zap.String("program", id))
			h.end(ctx, here)
		}
		leave()
		h.mutex.Lock()
		if here.waiting == 0 {
			delete(h.programs, id)
		}
		h.mutex.Unlock()
	}
	h.Archive.Expire(h.Now(), 2*h.options.Idle)
}

// movedOn reports whether another hall has run turns of the program that this
// one lacks.
func (h *Home) movedOn(ctx context.Context, here *resident) bool {
	for _, found := range h.fetchAll(ctx, here.record.ID()) {
		if found.Version() > here.record.Version() {
			return true
		}
	}
	return false
}

func (h *Home) idle() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var idle []string
	for id, here := range h.programs {
		if here.waiting == 0 && h.Now().Sub(here.used) >= h.options.Idle {
			idle = append(idle, id)
		}
	}
	return idle
}
