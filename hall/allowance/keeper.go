package allowance

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	sharesKey     = "limits/shares"
	holdersPrefix = "limits/holders/"
	// LeaseDuration is the lease length of a holder key, and how long a hall may
	// spend its share after it last saw that key in the store.
	LeaseDuration = 20 * time.Second
	// leaseMargin covers the time between a validity check and the use of the
	// token.
	leaseMargin = time.Second
	// transferInterval is the shortest pause between two transfers of surplus by
	// this hall.
	transferInterval = time.Second
	// deadHolderCheckInterval is the shortest pause between two checks for dead
	// holders.
	deadHolderCheckInterval = 5 * time.Second
	// maxConflictDelay bounds the random delay before a compare-and-swap that
	// failed with a conflict is retried.
	maxConflictDelay = 30 * time.Millisecond
	// staleReadMargin covers the error in the age of a relayed listing: a host may
	// notice late that the store no longer answers it.
	staleReadMargin = 5 * time.Second
	// epochPollInterval is the pause between two checks for a new registration.
	epochPollInterval = 50 * time.Millisecond
)

// Keeper maintains this hall's entry in the share table and applies its share to
// an Allowance.
//
// Each hall keeps a holder key in the store under a lease while it may spend its
// share. When the key is gone, any other hall may take over the share. A hall
// that lost its lease must confirm its entry by compare-and-swap before it spends
// again, so only one of the two writes succeeds.
//
// A hall that starts while the store does not answer it uses the share of its
// earlier incarnation, which no longer runs, as long as no other hall can have
// taken it over: another host must have seen the earlier holder key less than
// LeaseDuration ago.
type Keeper struct {
	store       platform.Store
	hall        string
	incarnation uint64
	registrar   *host.Registrar
	allowance   *Allowance
	storeOutage func(now time.Time) bool
	logger      *zap.Logger

	confirmedEpoch atomic.Uint64             // Registration epoch in which the table entry was last confirmed.
	inheritedUntil atomic.Pointer[time.Time] // When the right to spend the earlier incarnation's share ends.

	// The fields below are only used by the goroutine that runs Follow.
	shares          limit.Shares
	version         uint64
	tableCreated    bool
	mustConfirm     bool
	lastTransfer    time.Time
	lastHolderCheck time.Time
	missingSince    map[string]time.Time
}

// NewKeeper returns a Keeper of the hall. storeOutage reports whether no host
// reaches the store. During such an outage no hall can take over a share, so
// shares remain valid beyond LeaseDuration.
func NewKeeper(store platform.Store, hall string, incarnation uint64, storeOutage func(now time.Time) bool, logger *zap.Logger) *Keeper {
	value := []byte(strconv.FormatUint(incarnation, 10))
	return &Keeper{
		store: store, hall: hall, incarnation: incarnation, storeOutage: storeOutage, logger: logger,
		missingSince: make(map[string]time.Time),
		registrar:    host.NewRegistrar(store, holdersPrefix+hall, value, LeaseDuration, logger),
	}
}

// Bind sets the Allowance to which changes of the share are applied.
func (k *Keeper) Bind(a *Allowance) { k.allowance = a }

// Register maintains the holder key and its lease until the context ends.
func (k *Keeper) Register(ctx context.Context) error { return k.registrar.Keep(ctx) }

// Valid reports whether this hall may spend its share at the time now.
func (k *Keeper) Valid(now time.Time) bool {
	if until := k.inheritedUntil.Load(); until != nil && now.Before(*until) {
		return true
	}
	if k.confirmedEpoch.Load() == 0 || k.confirmedEpoch.Load() != k.registrar.Epoch() {
		return false
	}
	// A share is only taken over after its holder key has been missing for
	// LeaseDuration, so a recent sighting of the key is proof that the share is
	// still held.
	if now.Sub(k.registrar.LastSeen()) < LeaseDuration-leaseMargin {
		return true
	}
	return k.storeOutage(now)
}

// Follow watches the share table and applies its changes until the context ends.
// After a new registration it reads the table again at once, because the entry
// must be confirmed before this hall may spend more.
func (k *Keeper) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		innerCtx, cancel := context.WithCancel(ctx)
		epoch := k.registrar.Epoch()
		go func() {
			for innerCtx.Err() == nil && k.registrar.Epoch() == epoch {
				task.Sleep(innerCtx, epochPollInterval)
			}
			cancel()
		}()
		if err := platform.Follow(innerCtx, k.store, sharesKey, k); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// Replace implements platform.Subscriber.
func (k *Keeper) Replace(ctx context.Context, listing platform.Listing) error {
	if listing.Age > 0 {
		return k.inheritShare(ctx, listing)
	}
	if len(listing.Entries) == 0 {
		return k.createTable(ctx)
	}
	if err := k.applyTable(ctx, listing.Entries[0]); err != nil {
		return err
	}
	return k.maintain(ctx)
}

// Apply implements platform.Subscriber.
func (k *Keeper) Apply(ctx context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if err := k.applyTable(ctx, event.Entry); err != nil {
			return err
		}
	}
	return k.maintain(ctx)
}

// Failed implements platform.Subscriber.
func (k *Keeper) Failed(err error) {
	k.logger.Debug("share table watch failed", zap.Error(err))
	clear(k.missingSince)
}

// Leave transfers this hall's share to another hall, removes its entry from the
// table and ends its lease. The last hall keeps its entry.
func (k *Keeper) Leave(ctx context.Context) error {
	k.allowance.SetShare(0, false)
	shares, version, err := k.loadShares(ctx)
	if err != nil {
		return err
	}
	successor := ""
	for _, holder := range shares.Holders() {
		if holder.Hall() != k.hall {
			successor = holder.Hall()
		}
	}
	if successor == "" {
		return k.registrar.Leave(ctx)
	}
	if err := k.saveShares(ctx, shares.Remove(k.hall, successor), version); err != nil {
		return err
	}
	k.logger.Info("share transferred to another hall before leaving", zap.String("to", successor))
	return k.registrar.Leave(ctx)
}

// inheritShare applies the share of this hall's earlier incarnation from a table
// that another host has read.
func (k *Keeper) inheritShare(ctx context.Context, listing platform.Listing) error {
	if k.confirmedEpoch.Load() != 0 || len(listing.Entries) == 0 {
		return errors.New("no share of an earlier incarnation to continue with")
	}
	shares, err := decodeShares(listing.Entries[0])
	if err != nil {
		return err
	}
	holders, err := k.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	own, found := shares.LookupHall(k.hall)
	if !found || !holders.Contains(holdersPrefix+k.hall) {
		return errors.New("the share of the earlier incarnation may have been taken over")
	}
	age := max(listing.Age, holders.Age)
	until := time.Now().Add(LeaseDuration - staleReadMargin - age)
	k.allowance.SetShare(own.Parts(), false)
	if k.inheritedUntil.Swap(&until) != nil {
		return nil
	}
	k.logger.Info("using the share of the earlier incarnation until the store answers", zap.Int64("parts", own.Parts()), zap.Duration("age", age), zap.Time("until", until))
	return nil
}

func (k *Keeper) createTable(ctx context.Context) error {
	if k.registrar.Epoch() == 0 {
		return errors.New("holder key not registered yet")
	}
	err := k.saveShares(ctx, limit.NewShares(k.hall, k.incarnation), 0)
	k.tableCreated = err == nil
	return err
}

// applyTable applies a new version of the share table. If this hall has no
// confirmed entry under its current registration, or one of its writes failed, it
// confirms the entry instead.
func (k *Keeper) applyTable(ctx context.Context, entry platform.Entry) error {
	shares, err := decodeShares(entry)
	if err != nil {
		return err
	}
	k.shares = shares
	k.version = entry.Version
	if _, listed := shares.LookupHall(k.hall); !listed && k.allowance.Parts() > 0 {
		k.logger.Warn("share was taken over by another hall", zap.Int64("parts", k.allowance.Parts()), zap.Uint64("version", entry.Version))
		k.inheritedUntil.Store(nil)
		k.allowance.SetShare(0, false)
	}
	own, found := shares.Lookup(k.hall, k.incarnation)
	if !found || k.mustConfirm || k.confirmedEpoch.Load() != k.registrar.Epoch() {
		return k.confirmShare(ctx)
	}
	if own.Parts() != k.allowance.Parts() {
		k.allowance.SetShare(own.Parts(), k.tableCreated)
		k.tableCreated = false
		k.logger.Info("share changed", zap.Int64("parts", own.Parts()), zap.Int64("whole", limit.TotalParts))
	}
	return nil
}

// confirmShare writes this hall's entry by compare-and-swap. Success proves that
// the hall still holds its entry under the current registration, and that no
// earlier write of its own can still take effect. Halls that start together
// write at the same time, so conflicts are retried after a short random delay.
// The new table is applied when the watch delivers it.
func (k *Keeper) confirmShare(ctx context.Context) error {
	epoch := k.registrar.Epoch()
	if epoch == 0 {
		return errors.New("holder key not registered yet")
	}
	for {
		err := k.saveShares(ctx, k.shares.Confirm(k.hall, k.incarnation), k.version)
		if err == nil {
			break
		}
		if !platform.IsConflict(err) {
			return err
		}
		task.Sleep(ctx, time.Duration(rand.Int64N(int64(maxConflictDelay))))
		if k.shares, k.version, err = k.loadShares(ctx); err != nil {
			return err
		}
	}
	k.mustConfirm = false
	k.confirmedEpoch.Store(epoch)
	k.inheritedUntil.Store(nil)
	return nil
}

// maintain takes over the shares of dead halls and transfers surplus to others.
func (k *Keeper) maintain(ctx context.Context) error {
	now := time.Now()
	if k.confirmedEpoch.Load() != k.registrar.Epoch() {
		return errors.New("holder key was registered again, the share must be confirmed first")
	}
	if now.Sub(k.lastHolderCheck) >= deadHolderCheckInterval {
		k.lastHolderCheck = now
		if err := k.takeOverDeadHolder(ctx, now); err != nil {
			return err
		}
	}
	if now.Sub(k.lastTransfer) < transferInterval {
		return nil
	}
	k.lastTransfer = now
	return k.transferSurplus(ctx)
}

// transferSurplus lowers this hall's share before it writes the table in which
// another hall has more. A write that failed may still take effect later, so the
// share stays low until a later write of this hall has changed the version.
func (k *Keeper) transferSurplus(ctx context.Context) error {
	target, parts := k.shares.PlanTransfer(k.hall)
	own, found := k.shares.Lookup(k.hall, k.incarnation)
	if parts == 0 || !found {
		return nil
	}
	k.allowance.SetShare(own.Parts()-parts, false)
	err := k.saveShares(ctx, k.shares.Transfer(k.hall, target, parts), k.version)
	k.mustConfirm = err != nil
	return err
}

// takeOverDeadHolder takes over the share of one hall whose holder key has been
// missing for LeaseDuration while the store answered all the time. Halls that are
// alive register again within that time after an outage in which their leases
// expired.
func (k *Keeper) takeOverDeadHolder(ctx context.Context, now time.Time) error {
	listing, err := k.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	if listing.Age > 0 {
		return errors.New("holder list was not read from the store itself")
	}
	alive := make(map[string]bool)
	for _, entry := range listing.Entries {
		alive[entry.Key] = true
	}
	for _, holder := range k.shares.Holders() {
		if holder.Hall() == k.hall || alive[holdersPrefix+holder.Hall()] {
			delete(k.missingSince, holder.Hall())
			continue
		}
		since, known := k.missingSince[holder.Hall()]
		if !known {
			k.missingSince[holder.Hall()] = now
			continue
		}
		if now.Sub(since) < LeaseDuration {
			continue
		}
		delete(k.missingSince, holder.Hall())
		k.logger.Info("share of a dead hall taken over", zap.String("hall", holder.Hall()), zap.Int64("parts", holder.Parts()))
		return k.saveShares(ctx, k.shares.Remove(holder.Hall(), k.hall), k.version)
	}
	return nil
}

func (k *Keeper) loadShares(ctx context.Context) (limit.Shares, uint64, error) {
	entry, err := k.store.Get(ctx, sharesKey)
	if err != nil {
		return limit.Shares{}, 0, err
	}
	shares, err := decodeShares(entry)
	return shares, entry.Version, err
}

func decodeShares(entry platform.Entry) (limit.Shares, error) {
	var shares limit.Shares
	err := json.Unmarshal(entry.Value, &shares)
	return shares, err
}

func (k *Keeper) saveShares(ctx context.Context, shares limit.Shares, version uint64) error {
	value, err := json.Marshal(shares)
	if err != nil {
		return err
	}
	_, err = k.store.CompareAndSwap(ctx, sharesKey, value, version, 0)
	return err
}
