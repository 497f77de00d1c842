package limit_test

import (
	"testing"
	"time"

	"limpethall.dev/kernel/limit"
)

// TestReturnedTokenOfLoanIsUsable guards against tokens that are lost at halls without slices
// of a limit: requests that reach no backend server, such as those of programs that have spent
// their budgets, used up the rate of their workspace.
func TestReturnedTokenOfLoanIsUsable(t *testing.T) {
	now := time.Unix(1000, 0)
	lender, borrower := limit.NewBucket(now, 0), limit.NewBucket(now, 0)
	lender.SetShare(now, 1)
	for _, bucket := range []*limit.Bucket{lender, borrower} {
		bucket.Configure(now, 10, 10)
	}
	now = now.Add(2 * time.Second)
	for _, settledBefore := range []bool{false, true} {
		borrower.Accept(now, now, "lender", lender.Lend(now, 1, nil))
		if !borrower.Take(now) {
			t.Fatal("token of the loan: got none")
		}
		if settledBefore {
			lender.Lend(now, 0, borrower.DrainSettled("lender"))
		}
		borrower.Return(now)
		// The lender that was told of the spent loan may lend its capacity again.
		if got, want := borrower.Take(now), !settledBefore; got != want {
			t.Errorf("token after its return, loan reported as spent before %t: got %t, want %t", settledBefore, got, want)
		}
	}
	borrower.Accept(now, now, "lender", lender.Lend(now, 1, nil))
	borrower.Take(now)
	borrower.Return(now)
	if now = now.Add(limit.LoanLifetime); borrower.Take(now) {
		t.Error("returned token of a loan that has expired: got one, want none")
	}
}

// TestReturnOfFractionsEnds guards against a hall that hangs with a bucket locked, and uses all of
// its processor: a token was taken from parts of loans whose sum is one but for rounding, and the
// loan before them can't take the rest back, as its lender was told that it is spent.
func TestReturnOfFractionsEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	borrower := limit.NewBucket(now, 0)
	borrower.Configure(now, 10, 10)
	borrower.Accept(now, now, "told", limit.NewLoan(1, 1, limit.LoanLifetime))
	if !borrower.Take(now) {
		t.Fatal("token of the first loan: got none")
	}
	borrower.DrainSettled("told")
	for id, amount := range []float64{0.1, 0.2, 0.7 + 1e-16} {
		borrower.Accept(now, now, "lender", limit.NewLoan(uint64(2+id), amount, limit.LoanLifetime))
	}
	if !borrower.Take(now) {
		t.Fatal("token of the parts: got none")
	}
	done := make(chan struct{})
	go func() {
		borrower.Return(now)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("return of a token: not finished after 5 s")
	}
}
