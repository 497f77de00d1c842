// Package home manages the programs whose home is this hall. It runs the calls
// of a program one at a time and in order, and keeps the program's history,
// budget and replicas.
//
// The home of a program is the hall selected by rendezvous hashing of the
// program's identifier over the halls on the roster. Any hall can take over as
// home: it fetches the replicas and checks them against the caller's ticket, so
// it detects a stale replica without a quorum.
//
// # Usage
//
//	h := home.New(options, dependencies)
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
	// maxPendingCalls limits the running and waiting calls of one program.
	maxPendingCalls = 8
	// replicaTarget is the number of other halls that store each turn.
	replicaTarget = 2
	// maxHomeCandidates limits the halls that are tried as a program's home.
	maxHomeCandidates = 3
	// maxExcludedServers limits the servers that a ticket excludes.
	maxExcludedServers = 32
)

// Options configures a Home.
type Options struct {
	Identity fleet.Identity
	// MaxTurns is the maximum number of turns of a program.
	MaxTurns uint64
	// MaxHistoryBytes limits the encoded size of a program's record. A program
	// over the limit gets no further turn.
	MaxHistoryBytes int
	// IdleTimeout is the time without calls after which a program is ended.
	IdleTimeout time.Duration
	// BytesPerToken is used to estimate the number of tokens in a prompt.
	BytesPerToken int
	// DefaultMaxAnswerTokens is the default token limit of an answer, for calls
	// that set none.
	DefaultMaxAnswerTokens int64
	// ServiceTimeout is the timeout of a call to a plain service.
	ServiceTimeout time.Duration
}

// Dependencies holds the dependencies of a Home.
type Dependencies struct {
	Keyring     *secret.Keyring
	Roster      *host.Watcher
	Registrar   *host.Registrar
	Follower    *configuration.Follower
	Fleet       *fleet.Fleet
	Dispatcher  *dispatch.Dispatcher
	PrefixCache *dispatch.PrefixCache
	Client      *peer.Client
	Records     *RecordStore
	Suspects    *suspect.Tracker
	Replicas    *program.ReplicaStore
	Logger      *zap.Logger
	Now         func() time.Time
}

// Home manages the programs whose home is this hall. It is safe for concurrent
// use.
type Home struct {
	Dependencies
	options Options

	mutex    sync.Mutex
	programs map[string]*hostedProgram
}

// New returns a Home without programs.
func New(options Options, dependencies Dependencies) *Home {
	return &Home{Dependencies: dependencies, options: options, programs: make(map[string]*hostedProgram)}
}

// hostedProgram is the state of a program at its home hall.
type hostedProgram struct {
	// lock is a mutex that can be waited for with a context. It guards the
	// fields below, except pendingCalls and lastUsed.
	lock         chan struct{}
	pendingCalls int       // Running and waiting calls. Guarded by Home.mutex.
	lastUsed     time.Time // Guarded by Home.mutex.

	record         *program.Record
	hallsDigest    uint64 // Digest of the halls at the time of the last recoverRecord.
	lastSentCallID string // Last non-idempotent call of which this hall may have sent a byte.
	inStore        bool   // The key-value store holds a record of the program.
	cacheServer    string
	cachedTokens   int64
}

// Len returns the number of programs in memory.
func (h *Home) Len() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.programs)
}

// Candidates returns the halls to try as a program's home, starting with its
// home.
func Candidates(id string, roster *host.Roster) []host.Member {
	return host.Top(id, roster.Halls(), maxHomeCandidates)
}

// IsHome reports whether this hall is the program's home according to the local
// roster.
func (h *Home) IsHome(id string) bool {
	first, found := host.TopMember(id, h.Roster.Roster().Halls())
	return found && first.Name() == h.options.Identity.Name
}

// acquire locks a program and returns it with the function that unlocks it. A
// program that is not in memory is added without a record.
func (h *Home) acquire(ctx context.Context, id string) (*hostedProgram, func(), error) {
	h.mutex.Lock()
	hosted, found := h.programs[id]
	if !found {
		hosted = &hostedProgram{lock: make(chan struct{}, 1)}
		h.programs[id] = hosted
	}
	if hosted.pendingCalls >= maxPendingCalls {
		h.mutex.Unlock()
		return nil, nil, failure.New(failure.CodeProgramBusy, failure.NotRun, "%d calls of program %s are already pending; send one at a time", maxPendingCalls, id).WithRetryAfter(time.Second)
	}
	hosted.pendingCalls++
	h.mutex.Unlock()
	select {
	case hosted.lock <- struct{}{}:
		return hosted, func() { h.release(id, hosted) }, nil
	case <-ctx.Done():
		h.mutex.Lock()
		hosted.pendingCalls--
		h.mutex.Unlock()
		return nil, nil, failure.New(failure.CodeCanceled, failure.NotRun, "the caller disconnected")
	}
}

// release unlocks a program. It removes a program that has neither a record, as
// after a refused ticket, nor pending calls.
func (h *Home) release(id string, hosted *hostedProgram) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	hosted.lastUsed = h.Now()
	hosted.pendingCalls--
	if hosted.record == nil && hosted.pendingCalls == 0 {
		delete(h.programs, id)
	}
	<-hosted.lock
}

// EndIdle ends the programs that have been idle for too long and removes them
// from memory. A program that has moved to another home is only removed. It also
// removes expired replicas of the programs of other halls.
func (h *Home) EndIdle(ctx context.Context) {
	for _, id := range h.idlePrograms() {
		hosted, release, err := h.acquire(ctx, id)
		if err != nil {
			return
		}
		if hosted.record != nil && !hosted.record.Ended() && h.IsHome(id) && !h.newerElsewhere(ctx, hosted) {
			h.Logger.Info("ending idle program", zap.String("program", id))
			h.endProgram(ctx, hosted)
		}
		release()
		h.mutex.Lock()
		if hosted.pendingCalls == 0 {
			delete(h.programs, id)
		}
		h.mutex.Unlock()
	}
	h.Replicas.Expire(h.Now(), 2*h.options.IdleTimeout)
}

// newerElsewhere reports whether another hall holds a newer version of the
// program's record.
func (h *Home) newerElsewhere(ctx context.Context, hosted *hostedProgram) bool {
	for _, replica := range h.fetchReplicas(ctx, hosted.record.ID()) {
		if replica.Version() > hosted.record.Version() {
			return true
		}
	}
	return false
}

func (h *Home) idlePrograms() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var ids []string
	for id, hosted := range h.programs {
		if hosted.pendingCalls == 0 && h.Now().Sub(hosted.lastUsed) >= h.options.IdleTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}
