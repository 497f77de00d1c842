package allowance

import (
	"context"
	"sync"
	"time"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/wire"
)

const (
	millitokens   = 1000
	borrowTimeout = 150 * time.Millisecond
)

// Peers borrows from all other halls on the roster at once.
type Peers struct {
	own    string
	roster *host.Watcher
	client *peer.Client
	now    func() time.Time
}

// NewPeers returns the lenders of a hall.
func NewPeers(own string, roster *host.Watcher, client *peer.Client, now func() time.Time) *Peers {
	return &Peers{own: own, roster: roster, client: client, now: now}
}

// Borrow implements Lenders. Each hall is asked for an equal part first; what
// is still missing is then asked of those that gave all they were asked for.
func (p *Peers) Borrow(ctx context.Context, workspace string, wanted float64) (time.Time, []limit.Loan) {
	asked := p.now()
	var halls []host.Member
	for _, hall := range p.roster.Roster().Halls() {
		if hall.Name() != p.own {
			halls = append(halls, hall)
		}
	}
	var loans []limit.Loan
	for len(halls) > 0 && wanted > 0 {
		part := wanted / float64(len(halls))
		given := p.askAll(ctx, halls, workspace, part)
		var generous []host.Member
		for index, loan := range given {
			if loan.Amount() <= 0 {
				continue
			}
			loans = append(loans, loan)
			wanted -= loan.Amount()
			if loan.Amount() >= part*0.99 {
				generous = append(generous, halls[index])
			}
		}
		if len(generous) == len(halls) || wanted < 0.01 {
			break
		}
		halls = generous
	}
	return asked, loans
}

func (p *Peers) askAll(ctx context.Context, halls []host.Member, workspace string, amount float64) []limit.Loan {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loans := make([]limit.Loan, len(halls))
	var wait sync.WaitGroup
	for index, hall := range halls {
		wait.Go(func() {
			reply, err := p.client.Hall(hall.Address()).Lend(ctx, &wire.LendRequest{
				Hall: p.own, Workspace: workspace, Millitokens: int64(amount*millitokens) + 1,
			})
			if err != nil {
				return
			}
			loans[index] = limit.NewLoan(float64(reply.GetMillitokens())/millitokens, time.Duration(reply.GetValidMilliseconds())*time.Millisecond)
		})
	}
	wait.Wait()
	return loans
}
