// Package allowance admits requests within their workspace's rate and burst
// over all halls together.
//
// Each hall spends its own share; one that runs short borrows from the others.
// A request whose token falls due soon waits for it. See package limit for
// why the sum can't exceed the row.
//
// # Usage
//
//	a := allowance.New(lenders, keeper.Valid, 0, time.Now)
//	if err := a.Admit(ctx, "kovacs-counter", allowance.Continuing); err != nil { refuse }
package allowance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/table"
)

const (
	// maxWait is how long a request waits for its token.
	maxWait = 500 * time.Millisecond
	// retryWait is the pause between two looks for a token.
	retryWait = 50 * time.Millisecond
	// dryPause is how long lenders that had nothing are not asked again.
	dryPause = 100 * time.Millisecond
	// firstReserve is the part of the own burst that first turns leave for
	// programs that have begun.
	firstReserve = 0.3
	// minPause keeps rounding from making the pause nothing.
	minPause = time.Millisecond
	// minHint is the least retry hint of a refusal.
	minHint = 100 * time.Millisecond
	// maxHint is the greatest retry hint of a refusal.
	maxHint = 10 * time.Second
)

// Urgency says what is lost with a refusal.
type Urgency int

const (
	// Continuing requests belong to a program that has begun, whose work so far
	// is lost with them. They wait for a token that falls due soon.
	Continuing Urgency = iota
	// First requests begin a program. They leave tokens for the others and are
	// refused at once.
	First
)

// Lenders asks other halls for tokens.
type Lenders interface {
	// Borrow asks the lenders for up to wanted tokens in total, which go into
	// the bucket, and returns how many it got.
	Borrow(ctx context.Context, workspace string, wanted float64, bucket *limit.Bucket) float64
}

// Allowance holds the buckets of all workspaces at one hall.
type Allowance struct {
	lenders Lenders
	now     func() time.Time
	valid   func(now time.Time) bool
	window  time.Duration

	share atomic.Uint64 // Parts of limit.WholeParts.

	mutex   sync.RWMutex
	entries map[string]*entry
}

type entry struct {
	bucket  *limit.Bucket
	waiting atomic.Int64
	asking  chan struct{} // Holds one element while a request asks the lenders.
	dry     atomic.Int64  // Unix nanoseconds until which the lenders are taken to have nothing.
}

// New returns an allowance without workspaces and without a share. valid
// reports whether this hall may still spend its share. If rows are counted over
// windows, window is their length, else zero.
func New(lenders Lenders, valid func(now time.Time) bool, window time.Duration, now func() time.Time) *Allowance {
	return &Allowance{lenders: lenders, valid: valid, window: window, now: now, entries: make(map[string]*entry)}
}

// Configure takes in the rows of a table.
func (a *Allowance) Configure(accepted *table.Table) { a.ConfigureRows(accepted.Rows()) }

// ConfigureRows takes in rows that come from elsewhere than a table.
func (a *Allowance) ConfigureRows(rows []table.Row) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	next := make(map[string]*entry, len(a.entries))
	for _, row := range rows {
		known, found := a.entries[row.Workspace()]
		if !found {
			known = &entry{bucket: limit.NewBucket(now, a.window), asking: make(chan struct{}, 1)}
			known.bucket.SetShare(now, a.fraction())
		}
		known.bucket.Configure(now, row.Rate(), float64(row.Burst()))
		next[row.Workspace()] = known
	}
	a.entries = next
}

// SetShare sets this hall's parts of limit.WholeParts for every row. fill says
// that the shares were just created, so no token can have been spent.
func (a *Allowance) SetShare(parts int64, fill bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.share.Store(uint64(parts))
	now := a.now()
	for _, known := range a.entries {
		known.bucket.SetShare(now, a.fraction())
		if fill {
			known.bucket.Fill(now)
		}
	}
}

// Parts returns this hall's parts of limit.WholeParts.
func (a *Allowance) Parts() int64 { return int64(a.share.Load()) }

// Admit spends one token of the workspace. A request that may wait does so up
// to a bound. The error is a rateLimited failure with a hint when to come back.
func (a *Allowance) Admit(ctx context.Context, workspace string, urgency Urgency) error {
	known, found := a.find(workspace)
	if !found {
		return failure.New(failure.CodeForbidden, failure.NotRun, "workspace %q has no row in the table", workspace)
	}
	now := a.now()
	if !a.valid(now) {
		return failure.New(failure.CodeConfigurationOld, failure.NotRun, "this entry can't prove its share of the rate now: use another entry").WithRetryAfter(time.Second)
	}
	reserve := 0.0
	if urgency == First {
		reserve = firstReserve * known.bucket.Capacity(now)
	}
	if known.bucket.TakeAbove(now, reserve) {
		return nil
	}
	if urgency == First {
		return a.admitFirst(ctx, workspace, known)
	}
	return a.admitLater(ctx, workspace, known, now.Add(maxWait))
}

// admitFirst borrows once and refuses if that is not enough, or if begun
// programs wait.
func (a *Allowance) admitFirst(ctx context.Context, workspace string, known *entry) error {
	if known.waiting.Load() == 0 {
		a.borrow(ctx, workspace, known, 1)
		if now := a.now(); a.valid(now) && known.waiting.Load() == 0 && known.bucket.TakeAgain(now) {
			return nil
		}
	}
	return refusal(workspace, known, a.now())
}

// Return gives back the token of a request that reached no backend server.
func (a *Allowance) Return(workspace string) {
	if known, found := a.find(workspace); found {
		known.bucket.Return(a.now())
	}
}

// Lend gives tokens of a workspace to another hall, which names the loans that
// it has spent. A hall whose own requests wait keeps what it has.
func (a *Allowance) Lend(workspace string, wanted float64, settled []uint64) limit.Loan {
	known, found := a.find(workspace)
	now := a.now()
	if !found || !a.valid(now) {
		return limit.Loan{}
	}
	if known.waiting.Load() > 0 {
		wanted = 0
	}
	return known.bucket.Lend(now, wanted, settled)
}

// Tokens returns what this hall could admit now for a workspace, and its part
// of the rate.
func (a *Allowance) Tokens(workspace string) (tokens, rate float64) {
	known, found := a.find(workspace)
	if !found {
		return 0, 0
	}
	return known.bucket.Tokens(a.now()), known.bucket.Rate()
}

func (a *Allowance) admitLater(ctx context.Context, workspace string, known *entry, deadline time.Time) error {
	place := known.waiting.Add(1)
	defer known.waiting.Add(-1)
	if known.bucket.WholeWait(place) > maxWait {
		return refusal(workspace, known, a.now())
	}
	for {
		a.borrow(ctx, workspace, known, known.waiting.Load())
		now := a.now()
		if !a.valid(now) {
			return failure.New(failure.CodeConfigurationOld, failure.NotRun, "this entry can't prove its share of the rate now: use another entry")
		}
		if known.bucket.TakeAgain(now) {
			return nil
		}
		wait := max(minPause, min(known.bucket.Wait(now), retryWait))
		if now.Add(wait).After(deadline) {
			return refusal(workspace, known, now)
		}
		duty.Pause(ctx, wait)
		if ctx.Err() != nil {
			return failure.New(failure.CodeCanceled, failure.NotRun, "the caller has gone")
		}
	}
}

// borrow asks the lenders, one request of a workspace at a time: what it brings
// serves the others that wait.
func (a *Allowance) borrow(ctx context.Context, workspace string, known *entry, requests int64) {
	select {
	case known.asking <- struct{}{}:
		defer func() { <-known.asking }()
	case <-ctx.Done():
		return
	}
	now := a.now()
	wanted := known.bucket.Wanted(now, int(requests))
	if wanted <= 0 || now.UnixNano() < known.dry.Load() {
		return
	}
	if a.lenders.Borrow(ctx, workspace, wanted, known.bucket) < wanted/2 {
		known.dry.Store(a.now().Add(dryPause).UnixNano())
	}
}

func (a *Allowance) find(workspace string) (*entry, bool) {
	a.mutex.RLock()
	defer a.mutex.RUnlock()
	known, found := a.entries[workspace]
	return known, found
}

func (a *Allowance) fraction() float64 {
	return float64(a.share.Load()) / limit.WholeParts
}

func refusal(workspace string, known *entry, now time.Time) error {
	hint := min(max(known.bucket.Wait(now), minHint), maxHint)
	return failure.New(failure.CodeRateLimited, failure.NotRun, "workspace %q is over its rate and burst", workspace).WithRetryAfter(hint)
}
