package keeper

import (
	"context"
	"slices"
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
// the others. What a change of the list brings here is not answered for before
// it is copied.
func (k *Keeper) keepCopies(ctx context.Context) error {
	var copied *keeping.List
	for ctx.Err() == nil {
		if !k.join(ctx) {
			duty.Pause(ctx, copyPause)
			continue
		}
		list := k.members.List()
		if copied == nil || list.Digest() != copied.Digest() || !k.ledger.Ready() {
			k.markLacking(copied, list)
			if !k.copyFromAll(ctx, list) {
				duty.Pause(ctx, copyPause)
				continue
			}
			copied = list
			k.ledger.SetLacking(nil)
			k.becomeReady()
		}
		select {
		case <-ctx.Done():
		case <-k.members.Changed():
		}
	}
	return nil
}

// markLacking keeps the ledger from answering for placements that this keeper
// did not hold by the list that it has copied for.
func (k *Keeper) markLacking(copied, list *keeping.List) {
	if copied == nil {
		return
	}
	k.ledger.SetLacking(func(placement string) bool {
		return k.rule.Holds(list.Holding(), placement, k.options.Name) && !k.rule.Holds(copied.Holding(), placement, k.options.Name)
	})
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
	if slices.ContainsFunc(k.members.List().Holding(), func(m keeping.Keeper) bool {
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
func (k *Keeper) copyFromAll(ctx context.Context, list *keeping.List) bool {
	var failed atomic.Bool
	var wait sync.WaitGroup
	for _, source := range list.All() {
		if source.Name == k.options.Name {
			continue
		}
		wait.Go(func() {
			if err := k.copyFrom(ctx, source, list); err != nil {
				k.logger.Warn("copy failed", zap.String("from", source.Name), zap.Error(err))
				failed.Store(true)
			}
		})
	}
	wait.Wait()
	return !failed.Load()
}

func (k *Keeper) copyFrom(ctx context.Context, source keeping.Keeper, list *keeping.List) error {
	client := wire.NewKeeperProtobufClient("http://"+source.Address, k.client)
	request := &wire.CopyRequest{Keeper: k.options.Name, Keepers: list.Wire(true)}
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
	remaining := slices.DeleteFunc(slices.Clone(k.members.List().Holding()), func(m keeping.Keeper) bool { return m.Name == k.options.Name })
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
