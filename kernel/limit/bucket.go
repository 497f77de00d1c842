// Package limit keeps each workspace within its rate and burst over all halls
// together, without asking anybody on the way of a request.
//
// The row of a workspace is split over the halls by shares that never sum to
// more than the whole (see Shares). Each hall refills a Bucket at its share of
// the rate, up to its share of the burst. A hall that runs short borrows
// tokens. The lender subtracts them before it answers and keeps that much of
// its own capacity closed until the loan has expired at the borrower, so the
// tokens that all halls could spend at one instant never exceed the burst: a
// lost message loses tokens and never makes any. With its next request the
// borrower names the loans it has spent, which opens that capacity early.
//
// # Usage
//
//	bucket := limit.NewBucket(now, 0)
//	bucket.Configure(now, row.Rate(), float64(row.Burst()))
//	bucket.SetShare(now, 0.25)
//	if !bucket.Take(now) {
//		loan := lender.Lend(now, bucket.Wanted(now, 1), bucket.Settled("hall-2"))
//		bucket.Accept(sent, now, "hall-2", loan)
//	}
package limit

import (
	"math"
	"slices"
	"sync"
	"time"
)

// LoanLength is how long borrowed tokens may be spent, counted by the
// borrower from when it asked and by the lender from when it gave.
const LoanLength = 400 * time.Millisecond

// demandMemory is the time over which this hall's own demand is averaged.
const demandMemory = time.Second

// lentPart is the most of its capacity that a hall has lent at a time. The rest
// is what it may use at once if it starts again and doesn't know its loans.
const lentPart = 0.5

// maxLoans bounds the open loans of one bucket; further ones are refused.
const maxLoans = 64

// Loan is an amount of tokens with the time left to spend them.
type Loan struct {
	id     uint64
	amount float64
	length time.Duration
}

// NewLoan returns a loan; id is the lender's.
func NewLoan(id uint64, amount float64, length time.Duration) Loan {
	return Loan{id: id, amount: amount, length: length}
}

// ID returns the lender's number of the loan.
func (l Loan) ID() uint64 { return l.id }

// Amount returns the tokens.
func (l Loan) Amount() float64 { return l.amount }

// Length returns how long after asking the tokens may be spent.
func (l Loan) Length() time.Duration { return l.length }

type timedLoan struct {
	id     uint64
	lender string
	amount float64
	until  time.Time
}

// Bucket holds one hall's tokens of one workspace. Times must come from a
// monotonic clock.
type Bucket struct {
	mutex    sync.Mutex
	rate     float64
	burst    float64
	share    float64
	tokens   float64
	updated  time.Time
	lent     []timedLoan
	borrowed []timedLoan
	spent    []timedLoan // Loans of others that are used up and not yet reported.
	lastLoan uint64
	demand   float64 // Tokens asked for here a second, averaged.
	asked    time.Time
	deficit  deficit
	// Until then loans of an earlier incarnation of this hall may be spent.
	earlierLoans time.Time
}

// NewBucket returns an empty bucket without a share. The part of its capacity
// that an earlier incarnation of this hall may have lent is closed until such
// loans have expired. If the row is counted over windows, the bucket makes the burst of
// each window usable; a window of zero keeps to the rate.
func NewBucket(now time.Time, window time.Duration) *Bucket {
	return &Bucket{updated: now, earlierLoans: now.Add(LoanLength), lastLoan: uint64(now.UnixNano()), deficit: deficit{window: window, start: now}}
}

// Configure sets the row's rate in tokens per second and its burst.
func (b *Bucket) Configure(now time.Time, rate, burst float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.clip()
}

// SetShare sets the part of the row, from zero to one, that this hall has.
func (b *Bucket) SetShare(now time.Time, share float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.share = share
	b.clip()
}

// Fill sets the tokens to the capacity. It is only allowed where no hall can
// have spent any, that is, when the shares are first created.
func (b *Bucket) Fill(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.updated = now
	b.tokens = b.capacity()
}

// Take spends one token for a new request and reports whether there was one.
func (b *Bucket) Take(now time.Time) bool { return b.TakeAbove(now, 0) }

// TakeAbove spends one token for a new request if so many are left after it.
func (b *Bucket) TakeAbove(now time.Time, reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.noteDemand(now)
	return b.take(now, reserve)
}

// TakeAgain spends one token for a request that found none before; it does not
// count as demand a second time.
func (b *Bucket) TakeAgain(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.take(now, 0)
}

func (b *Bucket) take(now time.Time, reserve float64) bool {
	b.refill(now)
	if b.tokens+sum(b.borrowed) < 1+reserve {
		return false
	}
	missing := 1.0
	for len(b.borrowed) > 0 && missing > 0 {
		part := min(missing, b.borrowed[0].amount)
		b.borrowed[0].amount -= part
		missing -= part
		if b.borrowed[0].amount > 0 {
			break
		}
		b.note(b.borrowed[0])
		b.borrowed = b.borrowed[1:]
	}
	b.tokens = max(0, b.tokens-missing)
	return true
}

// Return gives back a token that was taken and not used.
func (b *Bucket) Return(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.tokens++
	b.clip()
}

// Wait returns how long until own refill alone holds a whole token.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	refill := b.rate * b.share
	if refill <= 0 || b.capacity() < 1 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(missing / refill * float64(time.Second))
}

// WholeWait returns how long the n-th waiting request waits at least, even if
// all of the row's rate came to this hall.
func (b *Bucket) WholeWait(n int64) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(n-1) / b.rate * float64(time.Second))
}

// Wanted returns how many tokens to borrow for n requests that wait and for
// those to be expected during half a loan beyond the own refill. What is
// borrowed and not spent is lost to all.
func (b *Bucket) Wanted(now time.Time, n int) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.fadeDemand(now)
	ahead := max(0, b.demand-b.rate*b.share) * LoanLength.Seconds() / 2
	return float64(n) + ahead - b.tokens - sum(b.borrowed)
}

// Settled returns the loans of a lender that were spent since it was last
// asked for, to be told to it.
func (b *Bucket) Settled(lender string) []uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ids []uint64
	var left []timedLoan
	for _, loan := range b.spent {
		if loan.lender == lender {
			ids = append(ids, loan.id)
			continue
		}
		left = append(left, loan)
	}
	b.spent = left
	return ids
}

// Lend subtracts up to the wanted tokens and returns them as a loan, possibly
// an empty one. First it opens the capacity of the loans that the borrower has
// settled.
func (b *Bucket) Lend(now time.Time, wanted float64, settled []uint64) Loan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.lent = slices.DeleteFunc(b.lent, func(loan timedLoan) bool { return slices.Contains(settled, loan.id) })
	amount := min(wanted, b.tokens, lentPart*b.burst*b.share-sum(b.lent))
	if amount <= 0 || len(b.lent) >= maxLoans {
		return Loan{}
	}
	b.tokens -= amount
	b.lastLoan++
	b.lent = append(b.lent, timedLoan{id: b.lastLoan, amount: amount, until: now.Add(LoanLength)})
	return Loan{id: b.lastLoan, amount: amount, length: LoanLength}
}

// Accept adds a lender's loan that was asked for at the time sent.
func (b *Bucket) Accept(sent, now time.Time, lender string, loan Loan) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	until := sent.Add(loan.length)
	if loan.amount <= 0 || !now.Before(until) {
		return
	}
	b.borrowed = append(b.borrowed, timedLoan{id: loan.id, lender: lender, amount: loan.amount, until: until})
}

// Tokens returns what could be spent now.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	return b.tokens + sum(b.borrowed)
}

// Capacity returns the most tokens of its own that this hall may hold.
func (b *Bucket) Capacity(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	return b.capacity()
}

// Rate returns this hall's part of the rate in tokens per second.
func (b *Bucket) Rate() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.rate * b.share
}

// refill adds what came due since the last call. Time during which capacity
// is lent out is accounted for step by step, so that a loan which expires in
// the middle does not let the bucket fill in retrospect.
func (b *Bucket) refill(now time.Time) {
	for len(b.lent) > 0 && !b.lent[0].until.After(now) {
		b.advance(b.lent[0].until)
		b.lent = b.lent[1:]
	}
	b.advance(now)
	for len(b.borrowed) > 0 && !now.Before(b.borrowed[0].until) {
		b.borrowed = b.borrowed[1:]
	}
}

// note keeps a spent loan for the next request to its lender.
func (b *Bucket) note(loan timedLoan) {
	if len(b.spent) < maxLoans {
		b.spent = append(b.spent, loan)
	}
}

// noteDemand counts one request.
func (b *Bucket) noteDemand(now time.Time) {
	b.fadeDemand(now)
	b.demand += 1 / demandMemory.Seconds()
}

func (b *Bucket) fadeDemand(now time.Time) {
	if age := now.Sub(b.asked); age > 0 {
		b.demand *= math.Exp(-age.Seconds() / demandMemory.Seconds())
		b.asked = now
	}
}

// advance refills up to a time, in steps over which the deficit changes little.
func (b *Bucket) advance(to time.Time) {
	if b.updated.Before(b.earlierLoans) && to.After(b.earlierLoans) {
		b.advance(b.earlierLoans)
	}
	if b.deficit.window > 0 {
		step := b.deficit.length()
		if begin := to.Add(-deficitSteps * step); begin.After(b.updated) {
			b.tokens += b.rate * b.share * begin.Sub(b.updated).Seconds()
			b.updated = begin
			b.clip()
		}
		for to.Sub(b.updated) > step {
			b.add(b.updated.Add(step))
		}
	}
	b.add(to)
}

// add refills up to a time.
func (b *Bucket) add(to time.Time) {
	if length := to.Sub(b.updated); length > 0 {
		b.tokens += b.rate * b.share * length.Seconds()
		b.tokens += b.deficit.rate(b.updated, length, b.capacity()-b.tokens) * length.Seconds()
		b.updated = to
	}
	b.clip()
	b.deficit.note(b.updated, b.capacity()-b.tokens)
}

func (b *Bucket) capacity() float64 {
	closed := sum(b.lent)
	if b.updated.Before(b.earlierLoans) {
		closed += lentPart * b.burst * b.share
	}
	return max(0, b.burst*b.share-closed)
}

func (b *Bucket) clip() {
	b.tokens = min(b.tokens, b.capacity())
}

func sum(loans []timedLoan) float64 {
	total := 0.0
	for _, loan := range loans {
		total += loan.amount
	}
	return total
}
