package limit

import (
	"slices"
	"time"
)

// Loan is a number of borrowed tokens that expire after a lifetime.
type Loan struct {
	id       uint64
	amount   float64
	lifetime time.Duration
}

// NewLoan returns a loan. The lender assigns the ID.
func NewLoan(id uint64, amount float64, lifetime time.Duration) Loan {
	return Loan{id: id, amount: amount, lifetime: lifetime}
}

// ID returns the ID that the lender assigned.
func (l Loan) ID() uint64 { return l.id }

// Amount returns the number of tokens.
func (l Loan) Amount() float64 { return l.amount }

// Lifetime returns how long the tokens may be spent, counted from sending the
// request for them.
func (l Loan) Lifetime() time.Duration { return l.lifetime }

type loanRecord struct {
	id        uint64
	lender    string
	amount    float64
	expiresAt time.Time
}

// returnToLoan puts back a part of a loan unless its lender was told that it is spent, and
// reports whether it did.
func (b *Bucket) returnToLoan(spent loanRecord, part float64) bool {
	isSame := func(loan loanRecord) bool { return loan.id == spent.id && loan.lender == spent.lender }
	if index := slices.IndexFunc(b.borrowed, isSame); index >= 0 {
		b.borrowed[index].amount += part
		return true
	}
	index := slices.IndexFunc(b.settled, isSame)
	if index < 0 {
		return false
	}
	b.settled = slices.Delete(b.settled, index, index+1)
	spent.amount = part
	position := slices.IndexFunc(b.borrowed, func(loan loanRecord) bool { return loan.expiresAt.After(spent.expiresAt) })
	if position < 0 {
		position = len(b.borrowed)
	}
	b.borrowed = slices.Insert(b.borrowed, position, spent)
	return true
}

// DrainSettled returns the IDs of a lender's loans that were spent since the last
// call and forgets them. The caller must report them to the lender.
func (b *Bucket) DrainSettled(lender string) []uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ids []uint64
	var remaining []loanRecord
	for _, loan := range b.settled {
		if loan.lender == lender {
			ids = append(ids, loan.id)
			continue
		}
		remaining = append(remaining, loan)
	}
	b.settled = remaining
	return ids
}

// Lend closes the loans listed in settled, which restores their capacity, then
// subtracts up to wanted tokens and returns them as a loan. The loan is empty if
// the bucket can spare none.
func (b *Bucket) Lend(now time.Time, wanted float64, settled []uint64) Loan {
	return b.LendFor(now, Claim{Wanted: wanted}, settled)
}

// Claim describes the tokens that a borrower asks for.
type Claim struct {
	// Wanted is the most that it can use.
	Wanted float64
	// Minimum is what it lacks to serve one request. A loan of less is granted only
	// by a bucket that is too small ever to lend the minimum, because the borrower
	// would let it expire.
	Minimum float64
	// Reserve is what must remain in the bucket.
	Reserve float64
}

// LendFor is Lend for a claim with a minimum and a reserve.
func (b *Bucket) LendFor(now time.Time, claim Claim, settled []uint64) Loan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	b.lent = slices.DeleteFunc(b.lent, func(loan loanRecord) bool { return slices.Contains(settled, loan.id) })
	mostLent := maxLentFraction * b.burst * b.share
	amount := min(claim.Wanted, b.tokens-claim.Reserve, mostLent-totalAmount(b.lent))
	if amount <= 0 || amount < min(claim.Minimum, mostLent) || len(b.lent) >= maxLoans {
		return Loan{}
	}
	b.tokens -= amount
	b.lastLoanID++
	b.lent = append(b.lent, loanRecord{id: b.lastLoanID, amount: amount, expiresAt: now.Add(LoanLifetime)})
	return Loan{id: b.lastLoanID, amount: amount, lifetime: LoanLifetime}
}

// Accept adds the loan of a lender. sentAt is when the request for it was sent.
func (b *Bucket) Accept(sentAt, now time.Time, lender string, loan Loan) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill(now)
	expiresAt := sentAt.Add(loan.lifetime)
	if loan.amount <= 0 || !now.Before(expiresAt) {
		return
	}
	b.borrowed = append(b.borrowed, loanRecord{id: loan.id, lender: lender, amount: loan.amount, expiresAt: expiresAt})
}

// recordSettled keeps a spent loan until the next request to its lender. Beyond
// maxLoans, loans are not reported and stay open at the lender until they expire.
func (b *Bucket) recordSettled(loan loanRecord) {
	if len(b.settled) < maxLoans {
		b.settled = append(b.settled, loan)
	}
}

// recordSpent keeps which part of a loan a request took. Beyond maxLoans, tokens that are not
// used are lost.
func (b *Bucket) recordSpent(loan loanRecord, part float64) {
	if len(b.spent) < maxLoans {
		loan.amount = part
		b.spent = append(b.spent, loan)
	}
}

func totalAmount(loans []loanRecord) float64 {
	total := 0.0
	for _, loan := range loans {
		total += loan.amount
	}
	return total
}
