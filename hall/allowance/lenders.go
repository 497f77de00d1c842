package allowance

import (
	"context"
	"sync"
	"time"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/wire"
)

const (
	millitokens   = 1000
	borrowTimeout = 150 * time.Millisecond
	// almostAll is the part of what was asked that shows a lender to have more.
	almostAll = 0.99
)

// Peers borrows from all other halls on the roster at once.
type Peers struct {
	own    string
	roster *host.Watcher
	client func(address string) Lender
	now    func() time.Time
}

// Lender is the part of a hall's interface that lends.
type Lender interface {
	Lend(ctx context.Context, request *wire.LendRequest) (*wire.LendReply, error)
}

// NewPeers returns the lenders of a hall; client returns the hall at an
// address.
func NewPeers(own string, roster *host.Watcher, client func(address string) Lender, now func() time.Time) *Peers {
	return &Peers{own: own, roster: roster, client: client, now: now}
}

// Borrow implements Lenders. Each hall is asked for an equal part first; what
// is still missing is then asked of those that gave all they were asked for.
func (p *Peers) Borrow(ctx context.Context, workspace string, wanted float64, bucket *limit.Bucket) float64 {
	var halls []host.Member
	for _, hall := range p.roster.Roster().Halls() {
		if hall.Name() != p.own {
			halls = append(halls, hall)
		}
	}
	got := 0.0
	for len(halls) > 0 && wanted-got > 0 {
		part := (wanted - got) / float64(len(halls))
		given := p.askAll(ctx, halls, workspace, part, bucket)
		var generous []host.Member
		for index, amount := range given {
			got += amount
			if amount > 0 && amount >= part*almostAll {
				generous = append(generous, halls[index])
			}
		}
		if len(generous) == len(halls) {
			break
		}
		halls = generous
	}
	return got
}

// askAll asks each hall for the same amount and returns what each gave.
func (p *Peers) askAll(ctx context.Context, halls []host.Member, workspace string, amount float64, bucket *limit.Bucket) []float64 {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	given := make([]float64, len(halls))
	asked := p.now()
	var wait sync.WaitGroup
	for index, hall := range halls {
		wait.Go(func() {
			reply, err := p.client(hall.Address()).Lend(ctx, &wire.LendRequest{
				Hall: p.own, Workspace: workspace, Millitokens: int64(amount*millitokens) + 1, SettledLoans: bucket.Settled(hall.Name()),
			})
			if err != nil {
				return
			}
			loan := limit.NewLoan(reply.GetLoanId(), float64(reply.GetMillitokens())/millitokens, time.Duration(reply.GetValidMilliseconds())*time.Millisecond)
			bucket.Accept(asked, p.now(), hall.Name(), loan)
			given[index] = loan.Amount()
		})
	}
	wait.Wait()
	return given
}
