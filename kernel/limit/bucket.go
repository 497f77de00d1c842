// Package limit implements distributed token buckets. They keep each workspace
// within its rate and burst, summed over all halls, with at most a few remote calls
// for a request, however many halls there are.
//
// The limits of a workspace are divided into a few slices. Each slice is held by at
// most one hall (see Shares), so the limits of a workspace lie with a few halls. A
// Bucket refills at the rate of the slices that its hall holds, up to their burst. A
// hall that runs low, or holds no slice, borrows tokens from those that do. The
// lender subtracts the tokens before it replies, and reduces its own capacity by
// that amount until the loan has expired at the borrower. The tokens that all
// halls can spend at one instant therefore never exceed the burst: a lost message
// loses tokens but never creates any. With its next request the borrower reports
// the loans it has spent, which restores the lender's capacity before they
// expire.
//
// # Usage
//
//	bucket := limit.NewBucket(now, 0)
//	bucket.Configure(now, row.Rate(), float64(row.Burst()))
//	bucket.SetShare(now, 0.25)
//	if !bucket.Take(now) {
//		loan := lender.Lend(now, bucket.BorrowAmount(now, 1), bucket.DrainSettled("hall-2"))
//		bucket.Accept(sentAt, now, "hall-2", loan)
//	}
package limit

import (
	"math"
	"slices"
	"sync"
	"time"
)

// LoanLifetime is how long the tokens of a loan may be spent. The borrower counts
// it from sending the request, the lender from granting the loan, so a loan always
// expires at the borrower first.
const LoanLifetime = 250 * time.Millisecond

// demandTimeConstant is the time constant of the exponential moving average of
// this hall's demand.
const demandTimeConstant = time.Second

// maxLentFraction bounds the fraction of its share of the burst that a hall has
// lent at any time. A hall that restarts does not know its loans, so it may only
// use the remaining fraction until they have expired.
const maxLentFraction = 0.5

// maxLoans bounds the open loans of one lender, and the settled loans that a
// borrower remembers. A lender at the bound grants no further loans.
const maxLoans = 64

// Bucket holds the tokens of one workspace at one hall. It is safe for concurrent
// use. Times passed to it must come from a monotonic clock.
type Bucket struct {
	mutex              sync.Mutex
	rate               float64
	burst              float64
	share              float64
	tokens             float64
	refilledAt         time.Time
	lent               []loanRecord
	borrowed           []loanRecord
	settled            []loanRecord // Loans of other halls that are spent but not yet reported to them.
	spent              []loanRecord // Parts of loans of other halls that requests took, until the loans expire.
	lastLoanID         uint64
	demand             float64 // Moving average of the tokens requested at this hall per second.
	demandUpdatedAt    time.Time
	deficit            deficitTracker
	priorLoansExpireAt time.Time // When all loans of an earlier incarnation of this hall have expired.
}

// NewBucket returns an empty bucket without a share. It withholds the fraction of
// its capacity that an earlier incarnation of this hall may have lent until such
// loans have expired. If limits are counted over time windows, window is their
// length and the bucket makes the burst available again in each of them. If window
// is zero, the bucket never refills faster than the rate.
func NewBucket(now time.Time, window time.Duration) *Bucket {
	return &Bucket{refilledAt: now, priorLoansExpireAt: now.Add(LoanLifetime), lastLoanID: uint64(now.UnixNano()), deficit: deficitTracker{window: window, start: now}}
}

// Configure sets the workspace's rate in tokens per second and its burst.
func (b *Bucket) Configure(now time.Time, rate, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.capTokens()
}

// SetShare sets this hall's share of the rate and burst, from zero to one.
func (b *Bucket) SetShare(now time.Time, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.share = share
	b.capTokens()
}

// Fill sets the tokens to the capacity. It may only be called when no hall can
// have spent any tokens, that is, when the share table was just created.
func (b *Bucket) Fill(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refilledAt = now
	b.priorLoansExpireAt = now
	b.tokens = b.capacity()
}

// Take spends one token for a new request and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool { return b.TakeWithReserve(now, 0) }

// TakeWithReserve spends one token for a new request if at least reserve tokens
// remain, and reports whether it did.
func (b *Bucket) TakeWithReserve(now time.Time, reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.recordDemand(now)
	return b.take(now, reserve)
}

// RetryTake spends one token for a request that got none before, if at least reserve tokens
// remain. It does not count the request as demand again.
func (b *Bucket) RetryTake(now time.Time, reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.take(now, reserve)
}

// take spends borrowed tokens before the bucket's own, because only borrowed ones
// expire.
func (b *Bucket) take(now time.Time, reserve float64) bool {
	b.refill(now)
	if b.tokens+totalAmount(b.borrowed) < 1+reserve {
		return false
	}
	missing := 1.0
	for len(b.borrowed) > 0 && missing > 0 {
		part := min(missing, b.borrowed[0].amount)
		b.borrowed[0].amount -= part
		b.recordSpent(b.borrowed[0], part)
		missing -= part
		if b.borrowed[0].amount > 0 {
			break
		}
		b.recordSettled(b.borrowed[0])
		b.borrowed = b.borrowed[1:]
	}
	b.tokens = max(0, b.tokens-missing)
	return true
}

// Return puts back a token that was taken but not used. One of a loan that has not expired
// goes back to the loan: a hall without slices of its own has no other place for it.
func (b *Bucket) Return(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	missing := 1.0
	// Each pass removes a record or leaves nothing missing. Amounts are fractions, so that a loop
	// until a record is used up might never end.
	for len(b.spent) > 0 && missing > 0 {
		last := b.spent[len(b.spent)-1]
		b.spent = b.spent[:len(b.spent)-1]
		part := min(missing, last.amount)
		if !b.returnToLoan(last, part) {
			continue
		}
		missing -= part
		if last.amount > part {
			last.amount -= part
			b.spent = append(b.spent, last)
		}
	}
	b.tokens += missing
	b.capTokens()
}

// TimeToToken returns the time until refill alone, without loans, provides a whole
// token.
func (b *Bucket) TimeToToken(now time.Time) time.Duration { return b.TimeToTokens(now, 1) }

// TimeToTokens returns the time until refill alone, without loans, provides a number of
// tokens.
func (b *Bucket) TimeToTokens(now time.Time, tokens float64) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	missing := tokens - b.tokens
	if missing <= 0 {
		return 0
	}
	refillRate := b.rate * b.share
	if refillRate <= 0 || b.capacity() < tokens {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(missing / refillRate * float64(time.Second))
}

// MinQueueDelay returns a lower bound for the waiting time of the n-th waiting
// request: the time to serve those ahead of it if this hall got the workspace's
// entire rate.
func (b *Bucket) MinQueueDelay(n int64) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(n-1) / b.rate * float64(time.Second))
}

// BorrowAmount returns how many tokens to borrow for n waiting requests, plus those of
// the requests beyond this hall's own refill that are expected during half the
// lifetime of a loan. It does not look further ahead, and leaves out the fraction of
// a request, because borrowed tokens that expire unspent are lost to all halls.
func (b *Bucket) BorrowAmount(now time.Time, n int) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.decayDemand(now)
	expected := max(0, b.demand-b.rate*b.share) * LoanLifetime.Seconds() / 2
	return float64(n) + math.Floor(expected) - b.tokens - totalAmount(b.borrowed)
}

// Tokens returns the tokens that can be spent now, borrowed ones included.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	return b.tokens + totalAmount(b.borrowed)
}

// Capacity returns the most tokens of its own that this hall may hold now.
func (b *Bucket) Capacity(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	return b.capacity()
}

// Rate returns this hall's share of the rate in tokens per second.
func (b *Bucket) Rate() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.rate * b.share
}

// refill adds the tokens that are due since the last call and drops expired
// loans. It stops at the expiry of each lent loan, because the capacity that
// the loan occupied must not be refilled for the time before that.
func (b *Bucket) refill(now time.Time) {
	for len(b.lent) > 0 && !b.lent[0].expiresAt.After(now) {
		b.refillTo(b.lent[0].expiresAt)
		b.lent = b.lent[1:]
	}
	b.refillTo(now)
	for len(b.borrowed) > 0 && !now.Before(b.borrowed[0].expiresAt) {
		b.borrowed = b.borrowed[1:]
	}
	b.spent = slices.DeleteFunc(b.spent, func(loan loanRecord) bool { return !now.Before(loan.expiresAt) })
}

// recordDemand adds one request to the moving average of the demand.
func (b *Bucket) recordDemand(now time.Time) {
	b.decayDemand(now)
	b.demand += 1 / demandTimeConstant.Seconds()
}

func (b *Bucket) decayDemand(now time.Time) {
	if elapsed := now.Sub(b.demandUpdatedAt); elapsed > 0 {
		b.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		b.demandUpdatedAt = now
	}
}

// refillTo refills up to a time. It proceeds in steps over which the recorded
// deficit changes little, and stops where the loans of an earlier incarnation
// expire.
func (b *Bucket) refillTo(until time.Time) {
	if b.refilledAt.Before(b.priorLoansExpireAt) && until.After(b.priorLoansExpireAt) {
		b.refillTo(b.priorLoansExpireAt)
	}
	if b.deficit.window > 0 {
		step := b.deficit.slotLength()
		if start := until.Add(-maxRefillSteps * step); start.After(b.refilledAt) {
			b.tokens += b.rate * b.share * start.Sub(b.refilledAt).Seconds()
			b.refilledAt = start
			b.capTokens()
		}
		for until.Sub(b.refilledAt) > step {
			b.refillStep(b.refilledAt.Add(step))
		}
	}
	b.refillStep(until)
}

// refillStep refills up to a time at the present rate and records the deficit.
func (b *Bucket) refillStep(until time.Time) {
	if elapsed := until.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += b.rate * b.share * elapsed.Seconds()
		b.tokens += b.deficit.extraRate(b.refilledAt, elapsed, b.capacity()-b.tokens) * elapsed.Seconds()
		b.refilledAt = until
	}
	b.capTokens()
	b.deficit.record(b.refilledAt, b.capacity()-b.tokens)
}

// capacity returns this hall's share of the burst without what is lent, or may
// still be lent by an earlier incarnation.
func (b *Bucket) capacity() float64 {
	withheld := totalAmount(b.lent)
	if b.refilledAt.Before(b.priorLoansExpireAt) {
		withheld += maxLentFraction * b.burst * b.share
	}
	return max(0, b.burst*b.share-withheld)
}

func (b *Bucket) capTokens() {
	b.tokens = min(b.tokens, b.capacity())
}
