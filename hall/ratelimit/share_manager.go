package ratelimit

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

// ShareManager maintains this hall's entry in the share table and applies its share
// to a Limiter.
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
type ShareManager struct {
	store       platform.Store
	hall        string
	incarnation uint64
	registrar   *host.Registrar
	limiter     *Limiter
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

// NewShareManager returns a ShareManager of the hall. storeOutage reports whether no host
// reaches the store. During such an outage no hall can take over a share, so
// shares remain valid beyond LeaseDuration.
func NewShareManager(store platform.Store, hall string, incarnation uint64, storeOutage func(now time.Time) bool, logger *zap.Logger) *ShareManager {
	value := []byte(strconv.FormatUint(incarnation, 10))
	return &ShareManager{
		store: store, hall: hall, incarnation: incarnation, storeOutage: storeOutage, logger: logger,
		missingSince: make(map[string]time.Time),
		registrar:    host.NewRegistrar(store, holdersPrefix+hall, value, LeaseDuration, logger),
	}
}

// SetLimiter sets the Limiter to which changes of the share are applied.
func (m *ShareManager) SetLimiter(l *Limiter) { m.limiter = l }

// Register maintains the holder key and its lease until the context ends.
func (m *ShareManager) Register(ctx context.Context) error { return m.registrar.Run(ctx) }

// ShareValid reports whether this hall may spend its share at the time now.
func (m *ShareManager) ShareValid(now time.Time) bool {
	if until := m.inheritedUntil.Load(); until != nil && now.Before(*until) {
		return true
	}
	if m.confirmedEpoch.Load() == 0 || m.confirmedEpoch.Load() != m.registrar.Epoch() {
		return false
	}
	// A share is only taken over after its holder key has been missing for
	// LeaseDuration, so a recent sighting of the key is proof that the share is
	// still held.
	if now.Sub(m.registrar.LastSeen()) < LeaseDuration-leaseMargin {
		return true
	}
	return m.storeOutage(now)
}

// Follow watches the share table and applies its changes until the context ends.
// After a new registration it reads the table again at once, because the entry
// must be confirmed before this hall may spend more.
func (m *ShareManager) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		innerCtx, cancel := context.WithCancel(ctx)
		epoch := m.registrar.Epoch()
		go func() {
			for innerCtx.Err() == nil && m.registrar.Epoch() == epoch {
				task.Sleep(innerCtx, epochPollInterval)
			}
			cancel()
		}()
		if err := platform.Follow(innerCtx, m.store, sharesKey, m); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// Replace implements platform.Subscriber.
func (m *ShareManager) Replace(ctx context.Context, listing platform.Listing) error {
	if listing.Age > 0 {
		return m.inheritShare(ctx, listing)
	}
	if len(listing.Entries) == 0 {
		return m.createTable(ctx)
	}
	if err := m.applyTable(ctx, listing.Entries[0]); err != nil {
		return err
	}
	return m.maintain(ctx)
}

// Apply implements platform.Subscriber.
func (m *ShareManager) Apply(ctx context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if err := m.applyTable(ctx, event.Entry); err != nil {
			return err
		}
	}
	return m.maintain(ctx)
}

// Failed implements platform.Subscriber.
func (m *ShareManager) Failed(err error) {
	m.logger.Debug("share table watch failed", zap.Error(err))
	clear(m.missingSince)
}

// Leave transfers this hall's share to another hall, removes its entry from the
// table and ends its lease. The last hall keeps its entry.
func (m *ShareManager) Leave(ctx context.Context) error {
	m.limiter.SetShare(0, false)
	shares, version, err := m.loadShares(ctx)
	if err != nil {
		return err
	}
	successor := ""
	for _, holder := range shares.Holders() {
		if holder.Hall() != m.hall {
			successor = holder.Hall()
		}
	}
	if successor == "" {
		return m.registrar.Deregister(ctx)
	}
	if err := m.saveShares(ctx, shares.Remove(m.hall, successor), version); err != nil {
		return err
	}
	m.logger.Info("share transferred to another hall before leaving", zap.String("to", successor))
	return m.registrar.Deregister(ctx)
}

// inheritShare applies the share of this hall's earlier incarnation from a table
// that another host has read.
func (m *ShareManager) inheritShare(ctx context.Context, listing platform.Listing) error {
	if m.confirmedEpoch.Load() != 0 || len(listing.Entries) == 0 {
		return errors.New("no share of an earlier incarnation to continue with")
	}
	shares, err := decodeShares(listing.Entries[0])
	if err != nil {
		return err
	}
	holders, err := m.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	own, found := shares.LookupHall(m.hall)
	if !found || !holders.Contains(holdersPrefix+m.hall) {
		return errors.New("the share of the earlier incarnation may have been taken over")
	}
	age := max(listing.Age, holders.Age)
	until := time.Now().Add(LeaseDuration - staleReadMargin - age)
	m.limiter.SetShare(own.Parts(), false)
	if m.inheritedUntil.Swap(&until) != nil {
		return nil
	}
	m.logger.Info("using the share of the earlier incarnation until the store answers", zap.Int64("parts", own.Parts()), zap.Duration("age", age), zap.Time("until", until))
	return nil
}

func (m *ShareManager) createTable(ctx context.Context) error {
	if m.registrar.Epoch() == 0 {
		return errors.New("holder key not registered yet")
	}
	err := m.saveShares(ctx, limit.NewShares(m.hall, m.incarnation), 0)
	m.tableCreated = err == nil
	return err
}

// applyTable applies a new version of the share table. If this hall has no
// confirmed entry under its current registration, or one of its writes failed, it
// confirms the entry instead.
func (m *ShareManager) applyTable(ctx context.Context, entry platform.Entry) error {
	shares, err := decodeShares(entry)
	if err != nil {
		return err
	}
	m.shares = shares
	m.version = entry.Version
	if _, listed := shares.LookupHall(m.hall); !listed && m.limiter.ShareParts() > 0 {
		m.logger.Warn("share was taken over by another hall", zap.Int64("parts", m.limiter.ShareParts()), zap.Uint64("version", entry.Version))
		m.inheritedUntil.Store(nil)
		m.limiter.SetShare(0, false)
	}
	own, found := shares.Lookup(m.hall, m.incarnation)
	if !found || m.mustConfirm || m.confirmedEpoch.Load() != m.registrar.Epoch() {
		return m.confirmShare(ctx)
	}
	if own.Parts() != m.limiter.ShareParts() {
		m.limiter.SetShare(own.Parts(), m.tableCreated)
		m.tableCreated = false
		m.logger.Info("share changed", zap.Int64("parts", own.Parts()), zap.Int64("whole", limit.TotalParts))
	}
	return nil
}

// confirmShare writes this hall's entry by compare-and-swap. Success proves that
// the hall still holds its entry under the current registration, and that no
// earlier write of its own can still take effect. Halls that start together
// write at the same time, so conflicts are retried after a short random delay.
// The new table is applied when the watch delivers it.
func (m *ShareManager) confirmShare(ctx context.Context) error {
	epoch := m.registrar.Epoch()
	if epoch == 0 {
		return errors.New("holder key not registered yet")
	}
	for {
		err := m.saveShares(ctx, m.shares.Confirm(m.hall, m.incarnation), m.version)
		if err == nil {
			break
		}
		if !platform.IsConflict(err) {
			return err
		}
		task.Sleep(ctx, time.Duration(rand.Int64N(int64(maxConflictDelay))))
		if m.shares, m.version, err = m.loadShares(ctx); err != nil {
			return err
		}
	}
	m.mustConfirm = false
	m.confirmedEpoch.Store(epoch)
	m.inheritedUntil.Store(nil)
	return nil
}

// maintain takes over the shares of dead halls and transfers surplus to others.
func (m *ShareManager) maintain(ctx context.Context) error {
	now := time.Now()
	if m.confirmedEpoch.Load() != m.registrar.Epoch() {
		return errors.New("holder key was registered again, the share must be confirmed first")
	}
	if now.Sub(m.lastHolderCheck) >= deadHolderCheckInterval {
		m.lastHolderCheck = now
		if err := m.takeOverDeadHolder(ctx, now); err != nil {
			return err
		}
	}
	if now.Sub(m.lastTransfer) < transferInterval {
		return nil
	}
	m.lastTransfer = now
	return m.transferSurplus(ctx)
}

// transferSurplus lowers this hall's share before it writes the table in which
// another hall has more. A write that failed may still take effect later, so the
// share stays low until a later write of this hall has changed the version.
func (m *ShareManager) transferSurplus(ctx context.Context) error {
	target, parts := m.shares.PlanTransfer(m.hall)
	own, found := m.shares.Lookup(m.hall, m.incarnation)
	if parts == 0 || !found {
		return nil
	}
	m.limiter.SetShare(own.Parts()-parts, false)
	err := m.saveShares(ctx, m.shares.Transfer(m.hall, target, parts), m.version)
	m.mustConfirm = err != nil
	return err
}

// takeOverDeadHolder takes over the share of one hall whose holder key has been
// missing for LeaseDuration while the store answered all the time. Halls that are
// alive register again within that time after an outage in which their leases
// expired.
func (m *ShareManager) takeOverDeadHolder(ctx context.Context, now time.Time) error {
	listing, err := m.store.List(ctx, holdersPrefix)
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
	for _, holder := range m.shares.Holders() {
		if holder.Hall() == m.hall || alive[holdersPrefix+holder.Hall()] {
			delete(m.missingSince, holder.Hall())
			continue
		}
		since, known := m.missingSince[holder.Hall()]
		if !known {
			m.missingSince[holder.Hall()] = now
			continue
		}
		if now.Sub(since) < LeaseDuration {
			continue
		}
		delete(m.missingSince, holder.Hall())
		m.logger.Info("share of a dead hall taken over", zap.String("hall", holder.Hall()), zap.Int64("parts", holder.Parts()))
		return m.saveShares(ctx, m.shares.Remove(holder.Hall(), m.hall), m.version)
	}
	return nil
}

func (m *ShareManager) loadShares(ctx context.Context) (limit.Shares, uint64, error) {
	entry, err := m.store.Get(ctx, sharesKey)
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

func (m *ShareManager) saveShares(ctx context.Context, shares limit.Shares, version uint64) error {
	value, err := json.Marshal(shares)
	if err != nil {
		return err
	}
	_, err = m.store.CompareAndSwap(ctx, sharesKey, value, version, 0)
	return err
}
