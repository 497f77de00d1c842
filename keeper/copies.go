package keeper

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/wire"
)

// keepCopies copies what belongs here from the other members at the start and
// whenever the list of members changes. A keeper that is not ready, or that was
// taken off the list, is ready after it has copied from every other member.
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
			if !k.ledger.Ready() {
				turns, programs := k.ledger.Sizes()
				k.logger.Info("keeper is ready", zap.Int("turns", turns), zap.Int("programs", programs))
			}
			k.ledger.SetReady(true)
		}
		select {
		case <-ctx.Done():
		case <-k.members.Changed():
		}
	}
	return nil
}

// join puts this keeper on the list and reports whether it is there.
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
		return true
	}
	if err := k.members.Put(ctx, k.document()); err != nil {
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
	whole := true
	for _, source := range k.members.Sources() {
		if source.Name == k.options.Name {
			continue
		}
		if err := k.copyFrom(ctx, source, names); err != nil {
			k.logger.Warn("copy failed", zap.String("from", source.Name), zap.Error(err))
			whole = false
		}
	}
	return whole
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
