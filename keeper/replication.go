package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

// replicate copies the records that this keeper is a replica for from the other
// members after each change of the member list. A keeper whose disk is new, or that
// was removed from the list, becomes ready once it has copied from every other member.
// One that was merely down stays ready, since its quorums intersect those of the others,
// except for what changes of the list have assigned to it in the meantime.
func (k *Keeper) replicate(ctx context.Context) error {
	for ctx.Err() == nil {
		if !k.markFirst() || !k.ensureListed(ctx) {
			task.Sleep(ctx, retryDelay)
			continue
		}
		list := k.membership.List()
		if copied := k.copied.Load(); copied == nil || list.Digest() != copied.Digest() || !k.ledger.Ready() {
			if !k.copyAssigned(ctx, list, copied) || !k.markCopied(list) {
				task.Sleep(ctx, retryDelay)
				continue
			}
			k.markReady()
		}
		select {
		case <-ctx.Done():
		case <-k.membership.Changed():
		}
	}
	return nil
}

// markFirst marks the empty disk of the first start as complete. It reports whether that is
// done or not needed.
func (k *Keeper) markFirst() bool {
	switch {
	case !k.isFirst:
		return true
	case k.archive.Writable() != nil:
		return false // The archive logs it.
	}
	if err := k.ledger.SetReady(true); err != nil {
		k.logger.Error("failed to mark the disk as complete", zap.Error(err))
		return false
	}
	k.isFirst = false
	return true
}

// markCopied records that this keeper has copied what the list assigns to it.
func (k *Keeper) markCopied(list *replication.MemberList) bool {
	if k.archive.Writable() != nil {
		return false // The archive logs it.
	}
	if err := k.ledger.SetCopied(list.ToWire(true)); err != nil {
		k.logger.Error("failed to store the copied list of keepers", zap.Error(err))
		return false
	}
	k.copied.Store(list)
	return true
}

// isPending reports whether the list in force assigns the placement to this keeper but
// its records have not been copied. It compares with the list of the last copy on disk,
// so it holds from the moment a list is in force, and after a restart.
func (k *Keeper) isPending(placement string) bool {
	list, copied := k.membership.List(), k.copied.Load()
	switch {
	case copied == nil:
		return true
	case copied.Digest() == list.Digest():
		return false
	}
	group := replication.GroupOf(placement)
	return list.IsReplica(k.rule, group, k.options.Name) && !copied.IsReplica(k.rule, group, k.options.Name)
}

func (k *Keeper) markReady() {
	if k.ledger.Ready() {
		return
	}
	turns, programs := k.ledger.Counts()
	err := k.ledger.SetReady(true)
	k.logger.Info("keeper is ready", zap.Int("turns", turns), zap.Int("programs", programs), zap.Error(err))
}

// ensureListed adds this keeper to the member list if needed and reports whether
// it is listed with its address. A keeper that was removed from the list has missed
// records that other keepers stored in its place, so its disk is marked as incomplete
// first.
func (k *Keeper) ensureListed(ctx context.Context) bool {
	if !k.membership.Synced() {
		return false
	}
	select {
	case <-k.leaving:
		return true
	default:
	}
	active := k.membership.List().Active()
	position := slices.IndexFunc(active, func(m replication.Keeper) bool { return m.Name == k.options.Name })
	listed := position >= 0
	if listed && active[position].Address == k.address() {
		k.joined = true
		return true
	}
	// A listed keeper at another address has missed no more than one that was merely down,
	// unless it was removed from the list meanwhile.
	write := k.membership.Put
	if listed {
		write = k.membership.Update
	}
	if !listed && (!k.options.Bootstrap || k.joined || k.copied.Load() != nil) {
		if err := k.ledger.SetReady(false); err != nil {
			k.logger.Error("failed to mark the disk as incomplete", zap.Error(err))
			return false
		}
	}
	if err := write(ctx, k.memberDocument(false)); err != nil {
		k.logger.Warn("failed to add keeper to the member list", zap.Error(err))
		return false
	}
	k.logger.Info("added keeper to the member list", zap.String("name", k.options.Name), zap.String("address", k.address()), zap.Bool("addressChanged", listed))
	return false // The watch delivers the changed list.
}

// copyAssigned copies the groups that the list assigns to this keeper and the last copied
// one did not, from every other member, as any of them may have records of a group that
// were stored under an earlier list. It reports whether all is copied. After a failure
// only those members are asked again that have not been copied from.
func (k *Keeper) copyAssigned(ctx context.Context, list, copied *replication.MemberList) bool {
	if !k.ledger.Ready() {
		copied = nil
	}
	groups := list.Assigned(k.rule, k.options.Name, copied)
	if len(groups) == 0 {
		return true
	}
	if k.copy.list != list.Digest() {
		k.copy = copyProgress{list: list.Digest(), sources: make(map[string]bool)}
	}
	started := time.Now()
	sources := slices.DeleteFunc(list.All(), func(source replication.Keeper) bool {
		return source.Name == k.options.Name || k.copy.sources[source.Name]
	})
	var group sync.WaitGroup
	var mutex sync.Mutex // Guards failed and k.copy.sources.
	var failed []string
	permits := make(chan struct{}, maxCopies)
	for _, source := range sources {
		group.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			err := task.Guard(k.logger, "copy", func() error { return k.copyFrom(ctx, source, list, groups) })
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				k.logger.Warn("copy failed", zap.String("from", source.Name), zap.Error(err))
				failed = append(failed, source.Name)
				return
			}
			k.copy.sources[source.Name] = true
		})
	}
	group.Wait()
	k.logger.Info("copied records", zap.Int("groups", len(groups)), zap.Int("members", len(k.copy.sources)), zap.Strings("failed", failed), zap.Duration("took", time.Since(started)))
	return len(failed) == 0
}

// copyFrom copies the records of the groups from one member.
func (k *Keeper) copyFrom(ctx context.Context, source replication.Keeper, list *replication.MemberList, groups []replication.Group) error {
	request := &wire.CopyRequest{Keeper: k.options.Name, Keepers: list.ToWire(true)}
	for _, group := range groups {
		request.Groups = append(request.Groups, uint32(group))
	}
	for {
		next, err := k.copyPage(ctx, source, request)
		if err != nil {
			k.transport.CloseIdleConnections()
			return err
		}
		if len(next) == 0 {
			return nil
		}
		request.After = next
	}
}

// copyPage copies one page and returns the cursor of the following one, nil after the last.
func (k *Keeper) copyPage(ctx context.Context, source replication.Keeper, request *wire.CopyRequest) (next []byte, err error) {
	account := k.calls.Open(buffer.PriorityNew)
	defer account.Release()
	if err := k.waitForPage(ctx, account, receivedCopies, usualPageBytes); err != nil {
		return nil, err
	}
	client := k.countingClientOf(source, account)
	var page *wire.CopyReply
	err = k.retryRefused(ctx, func() (err error) {
		page, err = k.fetchPage(ctx, client, request)
		return err
	})
	if err != nil {
		return nil, err
	}
	return page.GetNext(), k.ledger.Merge(time.Now(), page)
}

func (k *Keeper) fetchPage(ctx context.Context, client wire.Keeper, request *wire.CopyRequest) (*wire.CopyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return client.Copy(ctx, request)
}

// Retire transfers all records to the other keepers and removes this one from the
// member list. Its disk is no longer needed afterwards. Retire must be called only
// once.
func (k *Keeper) Retire(ctx context.Context) error {
	close(k.leaving)
	if err := k.membership.Put(ctx, k.memberDocument(true)); err != nil {
		return err
	}
	// Halls that have read the changed list use other keepers. Records that other
	// halls store here during the first pass are transferred by the second.
	for range transferPasses {
		task.Sleep(ctx, transferDelay)
		for ctx.Err() == nil && !k.transferRecords(ctx) {
			task.Sleep(ctx, retryDelay)
		}
	}
	for ctx.Err() == nil {
		if err := k.membership.Remove(ctx, k.options.Name); err == nil {
			break
		}
		task.Sleep(ctx, retryDelay)
	}
	return ctx.Err()
}

// transferRecords sends the records of each group of this keeper to the members that
// take its place, and reports whether all transfers succeeded.
func (k *Keeper) transferRecords(ctx context.Context) bool {
	list := k.membership.List()
	with, without := k.withAndWithout(list)
	successors := make(map[string]map[replication.Group]bool)
	for group := range replication.Group(replication.GroupCount) {
		if !with.IsReplica(k.rule, group, k.options.Name) {
			continue
		}
		for _, target := range successorsOf(k.rule, group, with, without) {
			if successors[target.Name] == nil {
				successors[target.Name] = make(map[replication.Group]bool)
			}
			successors[target.Name][group] = true
		}
	}
	for _, target := range without.All() {
		groups := successors[target.Name]
		if len(groups) == 0 {
			continue
		}
		if err := k.transferTo(ctx, target, groups); err != nil {
			k.logger.Warn("failed to transfer records", zap.String("to", target.Name), zap.Error(err))
			return false
		}
	}
	k.logger.Info("transferred records", zap.Int("keepers", len(successors)))
	return true
}

// successorsOf returns the replicas of a group that are new in the second list. If too few
// members are left for a new one, it returns all of them, so that each record is still
// stored as often as it has to be.
func successorsOf(rule replication.Rule, group replication.Group, before, after *replication.MemberList) []replication.Keeper {
	var successors, remaining []replication.Keeper
	for _, member := range after.All() {
		if !after.IsReplica(rule, group, member.Name) {
			continue
		}
		remaining = append(remaining, member)
		if !before.IsReplica(rule, group, member.Name) {
			successors = append(successors, member)
		}
	}
	if len(successors) == 0 {
		return remaining
	}
	return successors
}

// withAndWithout returns the list with this keeper as a member that stores records, and
// without it.
func (k *Keeper) withAndWithout(list *replication.MemberList) (with, without *replication.MemberList) {
	documents := []replication.MemberDocument{}
	for _, member := range list.Active() {
		if member.Name != k.options.Name {
			documents = append(documents, replication.MemberDocument{Name: member.Name, Zone: member.Zone, Address: member.Address})
		}
	}
	return replication.NewMemberList(list.Revision(), append(slices.Clone(documents), k.memberDocument(false))), replication.NewMemberList(list.Revision(), documents)
}

func (k *Keeper) transferTo(ctx context.Context, target replication.Keeper, groups map[replication.Group]bool) error {
	client := k.clientOf(target)
	var after []byte
	for {
		next, err := k.transferPage(ctx, client, after, groups)
		if err != nil {
			return err
		}
		if len(next) == 0 {
			return nil
		}
		after = next
	}
}

// transferPage sends one page and returns the cursor of the following one, nil after the last.
func (k *Keeper) transferPage(ctx context.Context, client wire.Keeper, after []byte, groups map[replication.Group]bool) (next []byte, err error) {
	selection := k.ledger.SelectPage(after, func(placement string) bool { return groups[replication.GroupOf(placement)] })
	account := k.calls.Open(buffer.PriorityNew)
	defer account.Release()
	if err := k.waitForPage(ctx, account, sentCopies, int64(selection.Size())); err != nil {
		return nil, err
	}
	page, err := selection.Read()
	if err != nil {
		return nil, err
	}
	return page.GetNext(), k.retryRefused(ctx, func() error { return k.sendPage(ctx, client, page) })
}

func (k *Keeper) sendPage(ctx context.Context, client wire.Keeper, page *wire.CopyReply) error {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	_, err := client.Take(ctx, page)
	return err
}
