package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/wire"
)

const (
	millitokensPerToken = 1000
	borrowTimeout       = 150 * time.Millisecond
	// holderRetryDelay is how long a hall does not ask another one again that did
	// not answer.
	holderRetryDelay = time.Second
	// knownHallsSize bounds the LRU cache of halls and their addresses.
	knownHallsSize = 4096
	// exhaustedSize bounds the LRU cache of halls without tokens for a workspace.
	exhaustedSize = 8192
)

// Holders tells which halls hold the limits of a workspace.
type Holders interface {
	// HoldersOf returns the names of the halls, each once.
	HoldersOf(workspace string) []string
}

// Lender is the RPC interface of a hall that grants loans.
type Lender interface {
	Lend(ctx context.Context, request *wire.LendRequest) (*wire.LendReply, error)
}

// Peers borrows tokens from the halls that hold the limits of a workspace. It asks
// one after the other until a request can be served, and remembers which of them
// have no tokens, or do not answer, so that in steady state a request costs at most
// one call.
type Peers struct {
	ownName string
	roster  *host.Watcher
	holders Holders
	client  func(hall host.Member) Lender
	now     func() time.Time
	logger  *zap.Logger

	granted atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64

	// known has each hall as it last was on the roster. A holder that the store has not
	// heard of for a while still lends.
	known *lru.Cache[string, host.Member]

	mutex       sync.Mutex
	unreachable map[string]time.Time           // By hall, until when it is not asked.
	exhausted   *lru.Cache[loanKey, time.Time] // Until when a hall is not asked for a workspace.
}

// loanKey identifies the tokens of one workspace at one hall that requests of a
// priority may get.
type loanKey struct {
	hall, workspace string
	priority        Priority
}

// NewPeers returns the Peers of the hall ownName. client returns an RPC client
// for another hall.
func NewPeers(ownName string, roster *host.Watcher, holders Holders, client func(hall host.Member) Lender, now func() time.Time, logger *zap.Logger) *Peers {
	exhausted, err := lru.New[loanKey, time.Time](exhaustedSize)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	known, err := lru.New[string, host.Member](knownHallsSize)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	roster.Subscribe(func(current *host.Roster) {
		for _, hall := range current.Halls() {
			known.Add(hall.Name(), hall)
		}
	})
	return &Peers{
		ownName: ownName, roster: roster, holders: holders, client: client, now: now, logger: logger,
		known: known, unreachable: make(map[string]time.Time), exhausted: exhausted,
	}
}

// Calls returns the number of calls for loans by outcome: granted in full or in
// part, refused, or failed.
func (p *Peers) Calls() map[string]int64 {
	return map[string]int64{"granted": p.granted.Load(), "refused": p.refused.Load(), "failed": p.failed.Load()}
}

// Borrow implements Borrower.
func (p *Peers) Borrow(ctx context.Context, workspace string, priority Priority, wanted float64, bucket *limit.Bucket) Borrowing {
	lenders, retryAfter, answering := p.lenders(workspace, priority)
	calls := 0
	for _, lender := range lenders {
		calls++
		granted, delay, err := p.requestLoan(ctx, lender, workspace, priority, wanted, bucket)
		wanted -= granted
		if wanted <= 0 || bucket.Tokens(p.now()) >= 1 {
			return NewBorrowing(calls, 0, false)
		}
		answering = answering || err == nil
		retryAfter = min(retryAfter, delay)
		if ctx.Err() != nil {
			break
		}
	}
	return NewBorrowing(calls, retryAfter, !answering)
}

// absence returns 1 for a hall that is not on the roster, and 0 otherwise.
func absence(roster *host.Roster, hall host.Member) int {
	if _, found := roster.Hall(hall.Name()); found {
		return 0
	}
	return 1
}

// lenders returns the halls to ask for tokens of a workspace, in random order but those
// that are not on the roster last, as they are more likely not to answer. It returns how
// long the first of those that are left out is not to be asked, and whether one of
// these is left out because it answered that it has no tokens.
func (p *Peers) lenders(workspace string, priority Priority) (lenders []host.Member, retryAfter time.Duration, answering bool) {
	now := p.now()
	retryAfter = holderRetryDelay
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, name := range p.holders.HoldersOf(workspace) {
		member, found := p.known.Get(name)
		if !found || name == p.ownName {
			continue
		}
		if until := p.notBefore(name, workspace, priority); until.After(now) {
			retryAfter = min(retryAfter, until.Sub(now))
			answering = answering || !p.unreachable[name].After(now)
			continue
		}
		lenders = append(lenders, member)
	}
	rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	roster := p.roster.Roster()
	slices.SortStableFunc(lenders, func(a, b host.Member) int { return absence(roster, a) - absence(roster, b) })
	return lenders, retryAfter, answering
}

// notBefore returns when a hall is to be asked again. A hall without a token for a
// running program has none for a new one either. The caller must hold the mutex.
func (p *Peers) notBefore(hall, workspace string, priority Priority) time.Time {
	until := p.unreachable[hall]
	for _, blocking := range []Priority{RunningProgram, priority} {
		if at, found := p.exhausted.Peek(loanKey{hall: hall, workspace: workspace, priority: blocking}); found && at.After(until) {
			until = at
		}
	}
	return until
}

// requestLoan asks one hall for a loan and adds it to the bucket. It returns the
// granted amount and, if that is zero, how long not to ask the hall again. The error
// tells that the hall did not answer.
func (p *Peers) requestLoan(ctx context.Context, lender host.Member, workspace string, priority Priority, wanted float64, bucket *limit.Bucket) (granted float64, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	sentAt := p.now()
	lacking := max(0, 1-bucket.Tokens(sentAt))
	reply, err := p.client(lender).Lend(ctx, &wire.LendRequest{
		Hall: p.ownName, Workspace: workspace, Millitokens: int64(wanted*millitokensPerToken) + 1,
		MinMillitokens: int64(lacking * millitokensPerToken),
		SettledLoans:   bucket.DrainSettled(lender.Name()), NewProgram: priority == NewProgram,
	})
	now := p.now()
	if failure.IsRefused(err) { // It holds the limit as before, and may have memory for the next call.
		p.refused.Add(1)
		p.exhausted.Add(loanKey{hall: lender.Name(), workspace: workspace, priority: priority}, now.Add(minRetryAfter))
		return 0, minRetryAfter, nil
	}
	if err != nil {
		p.failed.Add(1)
		if ctx.Err() != context.Canceled {
			p.markUnreachable(lender.Name(), now, err)
		}
		return 0, holderRetryDelay, err
	}
	loan := limit.NewLoan(reply.GetLoanId(), float64(reply.GetMillitokens())/millitokensPerToken, time.Duration(reply.GetValidMilliseconds())*time.Millisecond)
	if loan.Amount() > 0 {
		p.granted.Add(1)
		bucket.Accept(sentAt, now, lender.Name(), loan)
		return loan.Amount(), 0, nil
	}
	p.refused.Add(1)
	retryAfter = max(minRetryInterval, time.Duration(reply.GetRetryAfterMilliseconds())*time.Millisecond)
	p.exhausted.Add(loanKey{hall: lender.Name(), workspace: workspace, priority: priority}, now.Add(min(retryAfter, holderRetryDelay)))
	return 0, retryAfter, nil
}

func (p *Peers) markUnreachable(hall string, now time.Time, err error) {
	p.logger.Info("hall does not answer requests for loans, not asking it for a while",
		zap.String("hall", hall), zap.Duration("retryAfter", holderRetryDelay), zap.Error(err))
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unreachable[hall] = now.Add(holderRetryDelay)
}

// durationToMilliseconds rounds up, so that a hall does not come back too early. The
// longest delay that it returns is maxRetryAfter.
func durationToMilliseconds(delay time.Duration) int64 {
	return (min(delay, maxRetryAfter) + time.Millisecond - 1).Milliseconds()
}
