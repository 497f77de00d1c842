package keeper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/wire"
)

// keepCopies copies what belongs here from the other members at the start and
// whenever the list of members changes. A keeper whose disk is new, or that was
// taken off the list, is ready after it has copied from every other member; one
// that was only away is ready all the while, since its quorums meet those of
// the others.
func (k *Keeper) keepCopies(ctx context.Context) error {
	copied := ""
	for ctx.Err() == nil {
		if !k.join(ctx) {
			duty.Pause(ctx, copyPause)
			continue
		}
		roster := rosterText(k.members.Keepers())
		if roster != copied || !k.ledger.Ready() {
			if !k.copyFromAll(ctx) {
				duty.Pause(ctx, copyPause)
				continue
			}
			copied = roster
			k.becomeReady()
		}
		select {
		case <-ctx.Done():
		case <-k.members.Changed():
		}
	}
	return nil
}

func (k *Keeper) becomeReady() {
	if k.ledger.Ready() {
		return
	}
	turns, programs := k.ledger.Sizes()
	err := k.ledger.SetReady(true)
	k.logger.Info("keeper is ready", zap.Int("turns", turns), zap.Int("programs", programs), zap.Error(err))
}

// join puts this keeper on the list and reports whether it is there. One that
// was taken off the list has missed what the others took in its place.
func (k *Keeper) join(ctx context.Context) bool {
	if !k.members.Known() {
		return false
	}
	select {
	case <-k.leaving:
		return true
	default:
	}
	if slices.ContainsFunc(k.members.Keepers(), func(m keeping.Keeper) bool {
		return m.Name == k.options.Name && m.Address == k.options.Address
	}) {
		k.joined = true
		return true
	}
	if !k.options.FirstStart || k.joined {
		if err := k.ledger.SetReady(false); err != nil {
			k.logger.Error("disk not marked as incomplete", zap.Error(err))
			return false
		}
	}
	if err := k.members.Put(ctx, k.document(false)); err != nil {
		k.logger.Warn("keeper not put on the list", zap.Error(err))
		return false
	}
	k.logger.Info("keeper put on the list", zap.String("name", k.options.Name))
	return false // The list follows with the watch.
}

// copyFromAll reports whether every other member gave all it has for this one.
func (k *Keeper) copyFromAll(ctx context.Context) bool {
	var names []string
	for _, member := range k.members.Keepers() {
		names = append(names, member.Name)
	}
	var failed atomic.Bool
	var wait sync.WaitGroup
	for _, source := range k.members.Sources() {
		if source.Name == k.options.Name {
			continue
		}
		wait.Go(func() {
			if err := k.copyFrom(ctx, source, names); err != nil {
				k.logger.Warn("copy failed", zap.String("from", source.Name), zap.Error(err))
				failed.Store(true)
			}
		})
	}
	wait.Wait()
	return !failed.Load()
}

func (k *Keeper) copyFrom(ctx context.Context, source keeping.Keeper, roster []string) error {
	client := wire.NewKeeperProtobufClient("http://"+source.Address, k.client)
	request := &wire.CopyRequest{Keeper: k.options.Name, Roster: roster}
	for {
		page, err := k.page(ctx, client, request)
		if err != nil {
			k.transport.CloseIdleConnections()
			return err
		}
		if err := k.ledger.Merge(time.Now(), page); err != nil {
			return err
		}
		if len(page.GetNext()) == 0 {
			return nil
		}
		request.After = page.GetNext()
	}
}

func (k *Keeper) page(ctx context.Context, client wire.Keeper, request *wire.CopyRequest) (*wire.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return client.Copy(ctx, request)
}

func rosterText(keepers []keeping.Keeper) string {
	names := make([]string, 0, len(keepers))
	for _, keeper := range keepers {
		names = append(names, keeper.Name+"@"+keeper.Address)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Retire hands everything over to the other keepers and takes this one off the
// list. After that its disk is not needed any more.
func (k *Keeper) Retire(ctx context.Context) error {
	close(k.leaving)
	if err := k.members.Put(ctx, k.document(true)); err != nil {
		return err
	}
	// Halls that have seen the list choose other keepers; what others still
	// bring meanwhile goes with the second pass.
	for range handOverPasses {
		duty.Pause(ctx, handOverPause)
		for ctx.Err() == nil && !k.handOver(ctx) {
			duty.Pause(ctx, copyPause)
		}
	}
	for ctx.Err() == nil {
		if err := k.members.Remove(ctx, k.options.Name); err == nil {
			break
		}
		duty.Pause(ctx, copyPause)
	}
	return ctx.Err()
}

// handOver gives each remaining keeper what belongs to it, and reports whether
// all took it.
func (k *Keeper) handOver(ctx context.Context) bool {
	remaining := slices.DeleteFunc(k.members.Keepers(), func(m keeping.Keeper) bool { return m.Name == k.options.Name })
	for _, target := range remaining {
		if err := k.giveTo(ctx, target, remaining); err != nil {
			k.logger.Warn("records not handed over", zap.String("to", target.Name), zap.Error(err))
			return false
		}
	}
	k.logger.Info("records handed over", zap.Int("keepers", len(remaining)))
	return true
}

func (k *Keeper) giveTo(ctx context.Context, target keeping.Keeper, remaining []keeping.Keeper) error {
	client := wire.NewKeeperProtobufClient("http://"+target.Address, k.client)
	var after []byte
	for {
		page, err := k.ledger.Page(after, func(placement string) bool {
			return k.rule.Holds(remaining, placement, target.Name)
		})
		if err != nil {
			return err
		}
		if err := k.give(ctx, client, page); err != nil {
			return err
		}
		if len(page.GetNext()) == 0 {
			return nil
		}
		after = page.GetNext()
	}
}

func (k *Keeper) give(ctx context.Context, client wire.Keeper, page *wire.CopyReply) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	_, err := client.Take(ctx, page)
	return err
}
