package ratelimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/wire"
)

const (
	millitokensPerToken = 1000
	borrowTimeout       = 150 * time.Millisecond
	// fullGrantFraction is the fraction of the requested amount at which a loan
	// counts as granted in full, so that the lender may have more tokens.
	fullGrantFraction = 0.99
)

// Peers borrows tokens from all other halls on the roster in parallel.
type Peers struct {
	ownName string
	roster  *host.Watcher
	client  func(address string) Lender
	now     func() time.Time
	granted atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
}

// Lender is the RPC interface of a hall that grants loans.
type Lender interface {
	Lend(ctx context.Context, request *wire.LendRequest) (*wire.LendReply, error)
}

// NewPeers returns the Peers of the hall ownName. client returns an RPC client
// for the hall at an address.
func NewPeers(ownName string, roster *host.Watcher, client func(address string) Lender, now func() time.Time) *Peers {
	return &Peers{ownName: ownName, roster: roster, client: client, now: now}
}

// Calls returns the number of calls for loans by outcome: granted in full or in
// part, refused, or failed.
func (p *Peers) Calls() map[string]int64 {
	return map[string]int64{"granted": p.granted.Load(), "refused": p.refused.Load(), "failed": p.failed.Load()}
}

// Borrow implements Borrower. It requests an equal amount from each hall in the
// first round. In further rounds it requests the missing amount from the halls
// that granted their part in full.
func (p *Peers) Borrow(ctx context.Context, workspace string, wanted float64, bucket *limit.Bucket) (total float64, calls int) {
	var halls []host.Member
	for _, hall := range p.roster.Roster().Halls() {
		if hall.Name() != p.ownName {
			halls = append(halls, hall)
		}
	}
	for len(halls) > 0 && wanted-total > 0 {
		part := (wanted - total) / float64(len(halls))
		granted := p.requestLoans(ctx, halls, workspace, part, bucket)
		calls += len(halls)
		var fullGrants []host.Member
		for index, amount := range granted {
			total += amount
			if amount > 0 && amount >= part*fullGrantFraction {
				fullGrants = append(fullGrants, halls[index])
			}
		}
		if len(fullGrants) == len(halls) {
			break
		}
		halls = fullGrants
	}
	return total, calls
}

// requestLoans requests the same amount from each hall in parallel and returns
// what each granted, zero for a hall whose call failed.
func (p *Peers) requestLoans(ctx context.Context, halls []host.Member, workspace string, amount float64, bucket *limit.Bucket) []float64 {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	granted := make([]float64, len(halls))
	sentAt := p.now()
	var calls sync.WaitGroup
	for index, hall := range halls {
		calls.Go(func() {
			reply, err := p.client(hall.Address()).Lend(ctx, &wire.LendRequest{
				Hall: p.ownName, Workspace: workspace, Millitokens: int64(amount*millitokensPerToken) + 1, SettledLoans: bucket.DrainSettled(hall.Name()),
			})
			if err != nil {
				p.failed.Add(1)
				return
			}
			loan := limit.NewLoan(reply.GetLoanId(), float64(reply.GetMillitokens())/millitokensPerToken, time.Duration(reply.GetValidMilliseconds())*time.Millisecond)
			bucket.Accept(sentAt, p.now(), hall.Name(), loan)
			granted[index] = loan.Amount()
			if loan.Amount() > 0 {
				p.granted.Add(1)
			} else {
				p.refused.Add(1)
			}
		})
	}
	calls.Wait()
	return granted
}
