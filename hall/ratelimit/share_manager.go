package ratelimit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/task"
)

const (
	limitsPrefix  = "limits/"
	sharesKey     = limitsPrefix + "slices"
	holdersPrefix = limitsPrefix + "live/"
	// earlierHoldersPrefix has the keys of halls of versions whose shares were parts
	// of all limits. Their table and this one both stand for the whole.
	earlierHoldersPrefix = limitsPrefix + "holders/"
	// LeaseDuration is the lease length of a holder key, and how long a hall may
	// spend its share after it last saw that key in the store.
	LeaseDuration = 20 * time.Second
	// leaseMargin covers the time between a validity check and the use of the
	// token.
	leaseMargin = time.Second
	// transferInterval is the shortest pause between two transfers of surplus by
	// this hall.
	transferInterval = time.Second
	// takeoverCandidates is how many of the live halls take over the share of a dead
	// one. More would only conflict with each other.
	takeoverCandidates = 3
	// deadHolderCheckInterval is the shortest pause between two checks for dead
	// holders.
	deadHolderCheckInterval = 5 * time.Second
	// initialConflictDelay and maxConflictDelay bound the mean of the random delay before
	// a compare-and-swap that failed with a conflict is retried.
	initialConflictDelay = 20 * time.Millisecond
	maxConflictDelay     = 320 * time.Millisecond
	// staleReadMargin covers the error in the age of a relayed listing: a host may
	// notice late that the store no longer answers it.
	staleReadMargin = 5 * time.Second
	// pollInterval is the pause between two checks for a new registration, a surplus or
	// a dead holder.
	pollInterval = 50 * time.Millisecond
)

// ShareManager maintains this hall's entry in the share table and applies its share
// to a Limiter.
//
// Each hall keeps a holder key in the store under a lease while it may spend its
// share. When the key is gone, other halls may take over the share. A hall
// that lost its lease must confirm its entry by compare-and-swap before it spends
// again, so only one of the two writes succeeds. A hall without an entry has nothing
// to confirm: it borrows all tokens, and halls that hold more than an equal part
// write an entry for it.
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

	owners         atomic.Pointer[limit.Owners]
	leaving        atomic.Bool
	confirmedEpoch atomic.Uint64             // Registration epoch in which the table entry was last confirmed.
	inheritedUntil atomic.Pointer[time.Time] // When the right to spend the earlier incarnation's share ends.

	// The fields below are only used while the semaphore is held, also during calls to
	// the store.
	semaphore       chan struct{}
	shares          limit.Shares
	version         uint64
	live            map[string]limit.Holder // The halls that have a holder key.
	earlierHalls    map[string]bool         // Keys with earlierHoldersPrefix.
	followedEpoch   uint64                  // Registration epoch when the table was listed.
	tableCreated    bool
	mustConfirm     bool
	lastTransfer    time.Time
	lastHolderCheck time.Time
	missingSince    map[string]time.Time
}

// NewShareManager returns a ShareManager of the hall. storeOutage reports whether no host
// reaches the store, or this hall would learn of changes from one that does. Shares
// then remain valid beyond LeaseDuration: no hall can take over a share, or this hall
// stops spending it when another one has.
func NewShareManager(store platform.Store, hall string, incarnation uint64, storeOutage func(now time.Time) bool, logger *zap.Logger) *ShareManager {
	value := []byte(strconv.FormatUint(incarnation, 10))
	m := &ShareManager{
		store: store, hall: hall, incarnation: incarnation, storeOutage: storeOutage, logger: logger,
		semaphore: make(chan struct{}, 1), missingSince: make(map[string]time.Time),
		registrar: host.NewRegistrar(store, holdersPrefix+hall, value, LeaseDuration, logger),
	}
	m.owners.Store(&limit.Owners{})
	return m
}

func (m *ShareManager) lock() { m.semaphore <- struct{}{} }

func (m *ShareManager) unlock() { <-m.semaphore }

// SetLimiter sets the Limiter to which changes of the share are applied.
func (m *ShareManager) SetLimiter(l *Limiter) { m.limiter = l }

// Register maintains the holder key and its lease until the context ends.
func (m *ShareManager) Register(ctx context.Context) error { return m.registrar.Run(ctx) }

// HoldersOf implements Holders by the share table that was read last.
func (m *ShareManager) HoldersOf(workspace string) []string {
	return m.owners.Load().OfWorkspace(workspace)
}

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
		m.lock()
		m.followedEpoch = epoch
		m.unlock()
		task.Go(m.logger, "share maintenance", func() {
			defer cancel()
			for innerCtx.Err() == nil && m.registrar.Epoch() == epoch {
				if err := m.maintain(innerCtx); err != nil {
					m.Failed(err)
					return
				}
				task.Sleep(innerCtx, pollInterval)
			}
		})
		if err := platform.Follow(innerCtx, m.store, limitsPrefix, m); err != nil {
			cancel()
			return err
		}
		cancel()
	}
	return nil
}

// Replace implements platform.Subscriber.
func (m *ShareManager) Replace(ctx context.Context, listing platform.Listing) error {
	m.lock()
	defer m.unlock()
	m.live, m.earlierHalls = make(map[string]limit.Holder), make(map[string]bool)
	for _, entry := range listing.Entries {
		m.applyHolder(entry, false)
	}
	table, found := listing.Find(sharesKey)
	if listing.Age > 0 {
		return m.inheritShare(listing)
	}
	if !found {
		return m.createTable(ctx)
	}
	return m.applyTable(ctx, table, true)
}

// Apply implements platform.Subscriber.
func (m *ShareManager) Apply(ctx context.Context, changes platform.Changes) error {
	m.lock()
	defer m.unlock()
	for _, event := range changes.Events {
		if event.Entry.Key != sharesKey {
			m.applyHolder(event.Entry, event.Deleted)
			continue
		}
		if event.Deleted {
			return errors.New("share table was deleted")
		}
		if err := m.applyTable(ctx, event.Entry, false); err != nil {
			return err
		}
	}
	return nil
}

// applyHolder applies a change of the holder key of a hall.
func (m *ShareManager) applyHolder(entry platform.Entry, deleted bool) {
	if strings.HasPrefix(entry.Key, earlierHoldersPrefix) {
		if deleted {
			delete(m.earlierHalls, entry.Key)
		} else {
			m.earlierHalls[entry.Key] = true
		}
		return
	}
	hall, found := strings.CutPrefix(entry.Key, holdersPrefix)
	if !found {
		return
	}
	if deleted {
		delete(m.live, hall)
		return
	}
	incarnation, err := strconv.ParseUint(string(entry.Value), 10, 64)
	if err != nil {
		m.logger.Warn("malformed holder key", zap.String("key", entry.Key), zap.Error(err))
		return
	}
	m.live[hall] = limit.NewHolder(hall, incarnation, entry.Version)
}

// liveHolders returns the halls that have a holder key, sorted by name.
func (m *ShareManager) liveHolders() []limit.Holder {
	return slices.SortedFunc(maps.Values(m.live), func(a, b limit.Holder) int { return strings.Compare(a.Hall(), b.Hall()) })
}

// Failed implements platform.Subscriber.
func (m *ShareManager) Failed(err error) {
	m.logger.Debug("failed to read or write the share table", zap.Error(err))
	m.lock()
	defer m.unlock()
	m.version = 0
	clear(m.missingSince)
}

// Leave transfers this hall's share to the other live halls, removes its entry from
// the table and ends its lease. The last hall keeps its entry.
func (m *ShareManager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	m.registrar.Retire()
	m.limiter.SetSlices(limit.SliceSet{}, false)
	listing, err := m.store.List(ctx, limitsPrefix)
	if err != nil {
		return err
	}
	table, found := listing.Find(sharesKey)
	if !found || listing.Age > 0 {
		return errors.New("share table was not read from the store itself")
	}
	shares, err := decodeShares(table)
	if err != nil {
		return err
	}
	var successors []limit.Holder
	for _, entry := range listing.Entries {
		hall, isHolder := strings.CutPrefix(entry.Key, holdersPrefix)
		if incarnation, err := strconv.ParseUint(string(entry.Value), 10, 64); isHolder && err == nil && hall != m.hall {
			successors = append(successors, limit.NewHolder(hall, incarnation, entry.Version))
		}
	}
	// A newer incarnation may run already, which has confirmed the entry.
	if own, listed := shares.Lookup(m.hall); listed && own.Holder().Incarnation() <= m.incarnation && len(successors) > 0 {
		if err := m.saveShares(ctx, shares.Remove(m.hall, successors), table.Version); err != nil {
			return err
		}
		m.logger.Info("share transferred to other halls before leaving", zap.Int("halls", len(successors)))
	}
	return m.registrar.Deregister(ctx)
}

// inheritShare applies the share of this hall's earlier incarnation from a listing
// that another host has read.
func (m *ShareManager) inheritShare(listing platform.Listing) error {
	table, found := listing.Find(sharesKey)
	if m.confirmedEpoch.Load() != 0 || !found {
		return errors.New("no share of an earlier incarnation to continue with")
	}
	shares, err := decodeShares(table)
	if err != nil {
		return err
	}
	own, found := shares.Lookup(m.hall)
	if !found || !listing.Contains(holdersPrefix+m.hall) {
		return errors.New("the share of the earlier incarnation may have been taken over")
	}
	until := time.Now().Add(LeaseDuration - staleReadMargin - listing.Age)
	m.owners.Store(shares.Owners())
	m.setSlices(own.Slices(), false)
	if m.inheritedUntil.Swap(&until) != nil {
		return nil
	}
	m.logger.Info("using the share of the earlier incarnation until the store answers",
		zap.Int64("parts", own.Slices().Parts()), zap.Duration("age", listing.Age), zap.Time("until", until))
	return nil
}

// createTable creates the table, in which this hall holds everything. While a hall of
// a version with another table runs, that one stands for the whole.
func (m *ShareManager) createTable(ctx context.Context) error {
	if m.registrar.Epoch() == 0 {
		return errors.New("holder key not registered yet")
	}
	if len(m.earlierHalls) > 0 {
		return fmt.Errorf("%d halls of an earlier version hold the limits; this hall serves when they have stopped", len(m.earlierHalls))
	}
	err := m.saveShares(ctx, limit.NewShares(m.holder()), 0)
	m.tableCreated = err == nil
	return err
}

// applyTable applies a new version of the share table. If the entry of this hall was
// written for an earlier registration, or one of this hall's writes failed, it
// confirms the entry instead. listed tells that the version was listed after the
// registration of followedEpoch. If it has no entry of this hall then, there is none
// to confirm.
func (m *ShareManager) applyTable(ctx context.Context, entry platform.Entry, listed bool) error {
	shares, err := decodeShares(entry)
	if err != nil {
		return err
	}
	m.shares = shares
	m.version = entry.Version
	m.owners.Store(shares.Owners())
	own, found := shares.Lookup(m.hall)
	if m.leaving.Load() {
		return nil
	}
	if found && own.Holder().Incarnation() > m.incarnation {
		return fmt.Errorf("share is held by a newer incarnation of this hall, %d", own.Holder().Incarnation())
	}
	if !found {
		m.tableCreated = false
		m.dropShare(entry.Version)
		if listed && m.followedEpoch != 0 {
			m.mustConfirm = false
			m.confirmedEpoch.Store(m.followedEpoch)
			m.inheritedUntil.Store(nil)
		}
		return nil
	}
	epoch := m.registrar.Epoch()
	if epoch == 0 || m.mustConfirm || own.Holder() != m.holder() {
		return m.confirmShare(ctx)
	}
	m.confirmedEpoch.Store(epoch)
	m.inheritedUntil.Store(nil)
	if own.Slices() != m.limiter.Slices() {
		m.setSlices(own.Slices(), m.tableCreated)
		m.tableCreated = false
		m.logger.Info("share changed", zap.Int64("parts", own.Slices().Parts()), zap.Int64("whole", limit.TotalParts), zap.Stringer("slices", own.Slices()))
	}
	return nil
}

// setSlices sets the slices that this hall spends, none once it leaves.
func (m *ShareManager) setSlices(held limit.SliceSet, fill bool) {
	m.limiter.SetSlices(held, fill)
	if m.leaving.Load() {
		m.limiter.SetSlices(limit.SliceSet{}, false)
	}
}

// holder returns the current registration of this hall.
func (m *ShareManager) holder() limit.Holder {
	return limit.NewHolder(m.hall, m.incarnation, m.registrar.Version())
}

// dropShare stops spending a share that is no longer in the table.
func (m *ShareManager) dropShare(version uint64) {
	held := m.limiter.Slices()
	if held.Len() == 0 {
		return
	}
	m.logger.Warn("share was taken over by another hall", zap.Int64("parts", held.Parts()), zap.Uint64("version", version))
	m.inheritedUntil.Store(nil)
	m.limiter.SetSlices(limit.SliceSet{}, false)
}

// confirmShare writes this hall's entry by compare-and-swap. Success proves that
// the hall still holds its entry under the current registration, and that no
// earlier write of its own can still take effect. The write also confirms the entries of
// all other halls whose registrations this one has seen, so that halls that start
// together need a few writes and not one each. After a conflict the hall waits
// before it reads the table again, longer with each conflict, as another hall has
// probably confirmed its entry by then. The new table is applied when the watch
// delivers it.
func (m *ShareManager) confirmShare(ctx context.Context) error {
	epoch := m.registrar.Epoch()
	if epoch == 0 {
		return errors.New("holder key not registered yet")
	}
	for delay := initialConflictDelay; ; delay = min(2*delay, maxConflictDelay) {
		err := m.saveShares(ctx, m.shares.Confirm(m.holder()).ConfirmAll(m.liveHolders()), m.version)
		if err == nil {
			break
		}
		if !platform.IsConflict(err) {
			return err
		}
		task.Sleep(ctx, delay/2+rand.N(delay))
		if m.shares, m.version, err = m.loadShares(ctx); err != nil {
			return err
		}
		own, found := m.shares.Lookup(m.hall)
		if !found {
			return errors.New("share was taken over before it could be confirmed")
		}
		if own.Holder() == m.holder() && !m.mustConfirm {
			break
		}
	}
	m.mustConfirm = false
	m.confirmedEpoch.Store(epoch)
	m.inheritedUntil.Store(nil)
	return nil
}

// maintain takes over the shares of dead halls and transfers surplus to others, if the
// table is known and this hall's entry in it is confirmed.
func (m *ShareManager) maintain(ctx context.Context) error {
	m.lock()
	defer m.unlock()
	epoch := m.confirmedEpoch.Load()
	if m.leaving.Load() || m.version == 0 || epoch == 0 || epoch != m.registrar.Epoch() {
		return nil
	}
	now := time.Now()
	if now.Sub(m.lastHolderCheck) >= deadHolderCheckInterval {
		m.lastHolderCheck = now
		if err := m.takeOverDeadHolder(ctx, now); err != nil {
			return err
		}
	}
	if now.Sub(m.lastTransfer) < transferInterval {
		return nil
	}
	return m.transferSurplus(ctx, now)
}

// transferSurplus lowers this hall's share before it writes the table in which
// other halls have more. A write that failed may still take effect later, so the
// share stays low until a later write of this hall has changed the version.
func (m *ShareManager) transferSurplus(ctx context.Context, now time.Time) error {
	own, found := m.shares.Lookup(m.hall)
	if !found || own.Slices() != m.limiter.Slices() || !m.shares.HasSurplus(m.hall, len(m.live)) {
		return nil
	}
	next, kept := m.shares.Rebalance(m.hall, m.liveHolders())
	if kept == own.Slices() {
		return nil
	}
	m.lastTransfer = now
	m.setSlices(kept, false)
	err := m.saveShares(ctx, next, m.version)
	m.mustConfirm = err != nil
	return err
}

// takeOverDeadHolder takes over the share of one hall whose holder key has been
// missing for LeaseDuration while the store answered all the time. Halls that are
// alive register again within that time after an outage in which their leases
// expired.
func (m *ShareManager) takeOverDeadHolder(ctx context.Context, now time.Time) error {
	missing := m.missingHolders()
	for hall := range m.missingSince {
		if !slices.Contains(missing, hall) {
			delete(m.missingSince, hall)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	// The watch may lag behind, so only a listing proves that a key is missing.
	listing, err := m.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	if listing.Age > 0 {
		return errors.New("holder list was not read from the store itself")
	}
	for _, hall := range missing {
		if listing.Contains(holdersPrefix + hall) {
			delete(m.missingSince, hall)
			continue
		}
		since, known := m.missingSince[hall]
		if !known {
			m.missingSince[hall] = now
			continue
		}
		if now.Sub(since) < LeaseDuration {
			continue
		}
		delete(m.missingSince, hall)
		share, _ := m.shares.Lookup(hall)
		m.logger.Info("share of a dead hall taken over", zap.String("hall", hall), zap.Int64("parts", share.Slices().Parts()))
		return m.saveShares(ctx, m.shares.Remove(hall, m.liveHolders()), m.version)
	}
	return nil
}

// missingHolders returns the halls that have an entry in the table but no holder key,
// as far as this hall is one of those that may take over their shares.
func (m *ShareManager) missingHolders() []string {
	var missing []string
	for _, share := range m.shares.All() {
		hall := share.Hall()
		if _, alive := m.live[hall]; !alive && hall != m.hall && m.isTakeoverCandidate(hall) {
			missing = append(missing, hall)
		}
	}
	return missing
}

// isTakeoverCandidate reports whether this hall is among the live halls that rank
// highest for a dead one by rendezvous hashing.
func (m *ShareManager) isTakeoverCandidate(dead string) bool {
	score := func(hall string) uint64 { return xxhash.Sum64String(dead + "/" + hall) }
	own, higher := score(m.hall), 0
	for hall := range m.live {
		if score(hall) > own {
			higher++
		}
	}
	return higher < takeoverCandidates
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
