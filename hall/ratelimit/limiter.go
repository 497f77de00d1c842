// Package ratelimit is the distributed rate limiter of the halls. It admits
// requests while their workspace stays within its rate and burst, summed over
// all halls.
//
// The limits of a workspace lie with a few halls, which spend from token buckets.
// Any other hall borrows the tokens of its requests from one of these. Requests of
// running programs wait for a token if one becomes available soon. Package
// limit explains why the halls together cannot exceed the configured limit.
//
// # Usage
//
//	l := ratelimit.New(peers, manager.ShareValid, 0, time.Now)
//	admission, err := l.Admit(ctx, "kovacs-counter", ratelimit.RunningProgram)
//	if err != nil { refuse }
package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// maxWait is the time after which a request stops trying to get a token. Calls to
	// other halls that are in progress are not cut short.
	maxWait = 500 * time.Millisecond
	// maxRetryInterval is the longest pause between two attempts to take a token.
	maxRetryInterval = 50 * time.Millisecond
	// firstTurnReserve is the fraction of this hall's bucket capacity that first
	// turns leave to programs that are already running.
	firstTurnReserve = 0.3
	// maxReturnDelay is the longest time after which a refused first turn is asked to return,
	// since callers have only a few attempts and little time.
	maxReturnDelay = 600 * time.Millisecond
	// minRetryInterval prevents a busy loop when the computed wait rounds to zero.
	minRetryInterval = time.Millisecond
	// minRetryAfter is the shortest retry hint in a rejection.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest retry hint in a rejection.
	maxRetryAfter = 10 * time.Second
)

// Priority ranks requests by the work that is lost if they are rejected.
type Priority int

const (
	// RunningProgram marks requests of a running program, whose work so far is lost
	// if one of them is rejected. They wait for a token if one is due soon.
	RunningProgram Priority = iota
	// NewProgram marks requests that start a program, and those of programs that can't make
	// their time any more. They leave a reserve of tokens to running programs, and borrow
	// once instead of waiting for a token.
	NewProgram
)

// Borrower borrows tokens from other halls.
type Borrower interface {
	// Borrow requests up to wanted tokens from the halls that hold the workspace's
	// limits and adds what they grant to the bucket. It stops as soon as the bucket
	// has a whole token.
	Borrow(ctx context.Context, workspace string, priority Priority, wanted float64, bucket *limit.Bucket) Borrowing
}

// Borrowing is the result of an attempt to borrow tokens.
type Borrowing struct {
	calls      int
	retryAfter time.Duration
	noAnswer   bool
}

// NewBorrowing returns the result of an attempt that took a number of calls to other
// halls. retryAfter is when to try again, zero if the attempt succeeded. noAnswer tells
// that no hall that holds the workspace's limits is known to answer.
func NewBorrowing(calls int, retryAfter time.Duration, noAnswer bool) Borrowing {
	return Borrowing{calls: calls, retryAfter: retryAfter, noAnswer: noAnswer}
}

// Admission tells how long the decision about a request took and what it cost.
type Admission struct {
	took  time.Duration
	calls int
}

// Took returns the time from the request for a token to the decision.
func (a Admission) Took() time.Duration { return a.took }

// Calls returns how many calls to other halls the request made for its token.
func (a Admission) Calls() int { return a.calls }

// Limiter holds the token buckets of all workspaces at one hall.
type Limiter struct {
	borrower   Borrower
	now        func() time.Time
	shareValid func(now time.Time) bool
	window     time.Duration

	mutex      sync.RWMutex
	slices     limit.SliceSet // The slices that this hall holds.
	workspaces map[string]*workspaceState
}

type workspaceState struct {
	bucket    *limit.Bucket
	waiting   atomic.Int64  // Number of requests that wait for a token.
	lacking   atomic.Int64  // Number of those that tried to borrow one and got none.
	borrowing chan struct{} // Semaphore: holds one element while a request borrows.
	refusals  refusalQueue  // Of requests of running programs.
	returns   refusalQueue  // Of first turns.
}

// New returns a Limiter without workspaces and without a share. shareValid
// reports whether this hall may still spend its share. window is the length of
// the time windows over which limits are counted, or zero if they are not
// counted over windows.
func New(borrower Borrower, shareValid func(now time.Time) bool, window time.Duration, now func() time.Time) *Limiter {
	return &Limiter{borrower: borrower, shareValid: shareValid, window: window, now: now, workspaces: make(map[string]*workspaceState)}
}

// Configure applies the rows of a configuration table.
func (l *Limiter) Configure(accepted *table.Table) { l.ConfigureRows(accepted.Rows()) }

// ConfigureRows applies rows that do not come from a configuration table.
// Workspaces without a row are removed; the others keep their buckets.
func (l *Limiter) ConfigureRows(rows []table.Row) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.now()
	next := make(map[string]*workspaceState, len(l.workspaces))
	for _, row := range rows {
		state, found := l.workspaces[row.Workspace()]
		if !found {
			state = &workspaceState{bucket: limit.NewBucket(now, l.window), borrowing: make(chan struct{}, 1)}
			state.bucket.SetShare(now, l.slices.Fraction(row.Workspace()))
		}
		state.bucket.Configure(now, row.Rate(), float64(row.Burst()))
		next[row.Workspace()] = state
	}
	l.workspaces = next
}

// SetSlices sets the slices of the limits that this hall holds. If fill is set, the
// buckets start full. That is only safe when the share table was just created,
// because then no hall can have spent any tokens.
func (l *Limiter) SetSlices(held limit.SliceSet, fill bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.slices = held
	now := l.now()
	for workspace, state := range l.workspaces {
		state.bucket.SetShare(now, held.Fraction(workspace))
		if fill {
			state.bucket.Fill(now)
		}
	}
}

// Slices returns the slices that this hall holds.
func (l *Limiter) Slices() limit.SliceSet {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return l.slices
}

// ShareParts returns the size of this hall's share in parts of limit.TotalParts.
func (l *Limiter) ShareParts() int64 { return l.Slices().Parts() }

// Admit takes one token of the workspace. Requests of running programs wait up to
// maxWait for one. A workspace over its limit gets a rateLimited failure with a
// retry hint.
func (l *Limiter) Admit(ctx context.Context, workspace string, priority Priority) (Admission, error) {
	start := l.now()
	admission := Admission{}
	err := l.admit(ctx, workspace, priority, start, &admission)
	admission.took = l.now().Sub(start)
	return admission, err
}

func (l *Limiter) admit(ctx context.Context, workspace string, priority Priority, now time.Time, admission *Admission) error {
	state, found := l.lookup(workspace)
	if !found {
		return failure.New(failure.CodeForbidden, failure.NotRun, "workspace %q has no row in the table", workspace)
	}
	if !l.shareValid(now) {
		return failure.New(failure.CodeConfigurationUnknown, failure.NotRun, "this hall cannot confirm its share of the rate limit; retry at another hall").WithRetryAfter(time.Second)
	}
	reserve := 0.0
	if priority == NewProgram {
		reserve = firstTurnReserve * state.bucket.Capacity(now)
	}
	if state.bucket.TakeWithReserve(now, reserve) {
		return nil
	}
	if priority == NewProgram {
		return l.admitFirstTurn(ctx, workspace, state, reserve, admission)
	}
	return l.waitForToken(ctx, workspace, state, now.Add(maxWait), admission)
}

// admitFirstTurn borrows once and rejects the request if that yields no token beyond those of
// the requests of running programs that wait here. It does not compete with them once the
// workspace lacks tokens for them; before, they only wait for the reply to a loan.
func (l *Limiter) admitFirstTurn(ctx context.Context, workspace string, state *workspaceState, reserve float64, admission *Admission) error {
	borrowing := Borrowing{}
	if state.lacking.Load() == 0 {
		// Requests that begin to wait from now on borrow their own tokens.
		waiting := state.waiting.Load()
		borrowing = l.borrow(ctx, workspace, NewProgram, state, waiting+1, admission)
		kept := float64(waiting)
		if waiting > 0 {
			kept += reserve
		}
		if now := l.now(); l.shareValid(now) && state.lacking.Load() == 0 && state.bucket.RetryTake(now, kept) {
			return nil
		}
	}
	return rejection(workspace, state, l.now(), borrowing)
}

// Refund puts back the token of a request that reached no backend server.
func (l *Limiter) Refund(workspace string) {
	if state, found := l.lookup(workspace); found {
		state.bucket.Return(l.now())
	}
}

// Lend grants tokens of a workspace to another hall and closes the loans listed
// in the request, which that hall has spent. A hall that gets none is told when to
// ask again, each at a time of its own.
func (l *Limiter) Lend(request *wire.LendRequest) *wire.LendReply {
	state, found := l.lookup(request.GetWorkspace())
	now := l.now()
	if !found || !l.shareValid(now) {
		return &wire.LendReply{RetryAfterMilliseconds: minRetryAfter.Milliseconds()}
	}
	claim := limit.Claim{
		Wanted:  float64(request.GetMillitokens()) / millitokensPerToken,
		Minimum: float64(request.GetMinMillitokens()) / millitokensPerToken,
	}
	if request.GetNewProgram() {
		claim.Reserve = firstTurnReserve * state.bucket.Capacity(now)
	}
	loan := state.bucket.LendFor(now, claim, request.GetSettledLoans())
	reply := &wire.LendReply{
		LoanId: loan.ID(), Millitokens: int64(loan.Amount() * millitokensPerToken), ValidMilliseconds: loan.Lifetime().Milliseconds(),
	}
	switch {
	case loan.Amount() > 0:
	case request.GetNewProgram():
		// Callers that came back before the reserve is filled would be refused again.
		delay := state.returns.next(now, state.bucket, 1+claim.Reserve, maxReturnDelay)
		reply.RetryAfterMilliseconds = durationToMilliseconds(max(minRetryAfter, min(delay, maxReturnDelay)))
	default:
		reply.RetryAfterMilliseconds = durationToMilliseconds(state.refusals.next(now, state.bucket, 1, maxWait))
	}
	return reply
}

// Tokens returns the tokens that this hall can spend now for a workspace, and
// its share of the workspace's rate in tokens per second.
func (l *Limiter) Tokens(workspace string) (tokens, rate float64) {
	state, found := l.lookup(workspace)
	if !found {
		return 0, 0
	}
	return state.bucket.Tokens(l.now()), state.bucket.Rate()
}

// waitForToken retries until a token is available or the deadline leaves no
// time for another attempt. It rejects the request at once if the requests ahead
// of it need longer than maxWait even at the workspace's full rate.
func (l *Limiter) waitForToken(ctx context.Context, workspace string, state *workspaceState, deadline time.Time, admission *Admission) error {
	position := state.waiting.Add(1)
	defer state.waiting.Add(-1)
	if state.bucket.MinQueueDelay(position) > maxWait {
		return rejection(workspace, state, l.now(), Borrowing{})
	}
	for attempt := 0; ; attempt++ {
		borrowing := l.borrow(ctx, workspace, RunningProgram, state, state.waiting.Load(), admission)
		now := l.now()
		if !l.shareValid(now) {
			return failure.New(failure.CodeConfigurationUnknown, failure.NotRun, "this hall cannot confirm its share of the rate limit; retry at another hall")
		}
		if state.bucket.RetryTake(now, 0) {
			return nil
		}
		if attempt == 0 {
			state.lacking.Add(1)
			defer state.lacking.Add(-1)
		}
		wait := max(minRetryInterval, min(state.bucket.TimeToToken(now), maxRetryInterval))
		if borrowing.retryAfter > 0 {
			wait = max(minRetryInterval, min(wait, borrowing.retryAfter))
		}
		if now.Add(wait).After(deadline) || now.Add(min(state.bucket.TimeToToken(now), borrowing.retryAfter)).After(deadline) {
			return rejection(workspace, state, now, borrowing)
		}
		task.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return failure.New(failure.CodeCanceled, failure.NotRun, "the caller disconnected")
		}
	}
}

// borrow requests tokens from other halls for the given number of requests. Only one
// request of a workspace borrows at a time, because the tokens that it brings also
// serve the other waiting requests.
func (l *Limiter) borrow(ctx context.Context, workspace string, priority Priority, state *workspaceState, requests int64, admission *Admission) Borrowing {
	select {
	case state.borrowing <- struct{}{}:
		defer func() { <-state.borrowing }()
	case <-ctx.Done():
		return Borrowing{}
	}
	wanted := state.bucket.BorrowAmount(l.now(), int(requests))
	if wanted <= 0 {
		return Borrowing{}
	}
	borrowing := l.borrower.Borrow(ctx, workspace, priority, wanted, state.bucket)
	admission.calls += borrowing.calls
	return borrowing
}

func (l *Limiter) lookup(workspace string) (*workspaceState, bool) {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	state, found := l.workspaces[workspace]
	return state, found
}

// rejection returns the failure of a request that got no token. A hall that holds none
// of the workspace's limits and hears no holder does not know whether the workspace is
// over its limit.
func rejection(workspace string, state *workspaceState, now time.Time, borrowing Borrowing) error {
	if borrowing.noAnswer && state.bucket.Rate() <= 0 {
		return failure.New(failure.CodeConfigurationUnknown, failure.NotRun, "no hall that holds the rate limit of workspace %q answers; retry at another hall", workspace).WithRetryAfter(minRetryAfter)
	}
	retryAfter := state.bucket.TimeToToken(now)
	if borrowing.retryAfter > 0 {
		retryAfter = min(retryAfter, borrowing.retryAfter)
	} else {
		// No other hall was asked, because of the requests that already wait here.
		retryAfter = min(retryAfter, state.bucket.MinQueueDelay(state.waiting.Load()+1))
	}
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return failure.New(failure.CodeRateLimited, failure.NotRun, "workspace %q exceeded its rate limit and burst", workspace).WithRetryAfter(retryAfter)
}
