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

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/platform"
)

const (
	sharesKey     = "limits/shares"
	holdersPrefix = "limits/holders/"
	// TenureLength is how long a hall may spend its share without word from
	// the key-value service.
	TenureLength = 20 * time.Second
	// tenureMargin covers the time between a check and the spending.
	tenureMargin = time.Second
	// giveInterval is the least pause between two gifts of this hall.
	giveInterval = time.Second
	// deadInterval is the pause between two looks for dead holders.
	deadInterval = 5 * time.Second
	// racePause is the longest wait after a lost race.
	racePause = 30 * time.Millisecond
	// inheritMargin covers the time by which another host may believe too long
	// that the service still answers it.
	inheritMargin = 5 * time.Second
	// epochPoll is the pause between two looks for a new registration.
	epochPoll = 50 * time.Millisecond
)

// Keeper keeps this hall's entry in the share table.
//
// A hall holds a key under a lease for as long as it may spend. The share of a
// hall whose key is gone may be taken by anybody; a hall that lost its lease
// must confirm its entry by compare-and-swap before it spends again, so one of
// the two loses that race.
//
// A hall that starts while the service does not answer it goes on with the parts
// of its earlier incarnation, which no longer runs, as long as nobody can have
// taken these over: another host must have seen the earlier key less than a tenure
// ago.
type Keeper struct {
	store       platform.Store
	hall        string
	incarnation uint64
	registrar   *host.Registrar
	allowance   *Allowance
	outage      func(now time.Time) bool
	logger      *zap.Logger

	confirmed atomic.Uint64             // Epoch of the registration under which the entry was confirmed.
	inherited atomic.Pointer[time.Time] // Until when the earlier incarnation's parts may be spent.

	// The fields below belong to the goroutine of Follow.
	shares      limit.Shares
	version     uint64
	created     bool
	mustConfirm bool
	gave        time.Time
	looked      time.Time
	missing     map[string]time.Time
}

// NewKeeper returns a keeper. outage reports whether nobody reaches the
// service, so that tenures can't be taken away either.
func NewKeeper(store platform.Store, hall string, incarnation uint64, outage func(now time.Time) bool, logger *zap.Logger) *Keeper {
	value := []byte(strconv.FormatUint(incarnation, 10))
	return &Keeper{
		store: store, hall: hall, incarnation: incarnation, outage: outage, logger: logger,
		missing:   make(map[string]time.Time),
		registrar: host.NewRegistrar(store, holdersPrefix+hall, value, TenureLength, logger),
	}
}

// Bind sets the allowance that is told of the share.
func (k *Keeper) Bind(a *Allowance) { k.allowance = a }

// Register keeps the holder's key until the context ends.
func (k *Keeper) Register(ctx context.Context) error { return k.registrar.Keep(ctx) }

// Valid reports whether this hall may spend its share at that time.
func (k *Keeper) Valid(now time.Time) bool {
	if until := k.inherited.Load(); until != nil && now.Before(*until) {
		return true
	}
	if k.confirmed.Load() == 0 || k.confirmed.Load() != k.registrar.Epoch() {
		return false
	}
	// A share is only taken over when its holder's key has been gone for a
	// whole tenure, so seeing the key is proof enough.
	if now.Sub(k.registrar.LastSeen()) < TenureLength-tenureMargin {
		return true
	}
	return k.outage(now)
}

// Follow keeps the share in step with the table until the context ends. A new
// registration reads the table at once, since the entry must be confirmed
// before more is spent.
func (k *Keeper) Follow(ctx context.Context) error {
	for ctx.Err() == nil {
		inner, cancel := context.WithCancel(ctx)
		epoch := k.registrar.Epoch()
		go func() {
			for inner.Err() == nil && k.registrar.Epoch() == epoch {
				duty.Pause(inner, epochPoll)
			}
			cancel()
		}()
		if err := platform.Follow(inner, k.store, sharesKey, k); err != nil {
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
		return k.inherit(ctx, listing)
	}
	if len(listing.Entries) == 0 {
		return k.create(ctx)
	}
	if err := k.take(ctx, listing.Entries[0]); err != nil {
		return err
	}
	return k.tend(ctx)
}

// Apply implements platform.Subscriber.
func (k *Keeper) Apply(ctx context.Context, changes platform.Changes) error {
	for _, event := range changes.Events {
		if err := k.take(ctx, event.Entry); err != nil {
			return err
		}
	}
	return k.tend(ctx)
}

// Failed implements platform.Subscriber.
func (k *Keeper) Failed(err error) {
	k.logger.Debug("share table not in step", zap.Error(err))
	clear(k.missing)
}

// Leave hands this hall's share to another one and gives up its tenure.
func (k *Keeper) Leave(ctx context.Context) error {
	k.allowance.SetShare(0, false)
	shares, version, err := k.load(ctx)
	if err != nil {
		return err
	}
	heir := ""
	for _, holder := range shares.Holders() {
		if holder.Hall() != k.hall {
			heir = holder.Hall()
		}
	}
	if heir == "" {
		return k.registrar.Leave(ctx)
	}
	if err := k.save(ctx, shares.Remove(k.hall, heir), version); err != nil {
		return err
	}
	k.logger.Info("share handed over", zap.String("to", heir))
	return k.registrar.Leave(ctx)
}

// inherit takes on the parts of this hall's earlier incarnation from a table that
// another host has read.
func (k *Keeper) inherit(ctx context.Context, listing platform.Listing) error {
	if k.confirmed.Load() != 0 || len(listing.Entries) == 0 {
		return errors.New("no share to inherit")
	}
	shares, err := decodeShares(listing.Entries[0])
	if err != nil {
		return err
	}
	holders, err := k.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	own, found := shares.OfHall(k.hall)
	if !found || !holders.Holds(holdersPrefix+k.hall) {
		return errors.New("the earlier share may have been taken over")
	}
	age := max(listing.Age, holders.Age)
	until := time.Now().Add(TenureLength - inheritMargin - age)
	k.allowance.SetShare(own.Parts(), false)
	if k.inherited.Swap(&until) != nil {
		return nil
	}
	k.logger.Info("earlier share in force until the service answers", zap.Int64("parts", own.Parts()), zap.Duration("age", age), zap.Time("until", until))
	return nil
}

func (k *Keeper) create(ctx context.Context) error {
	if k.registrar.Epoch() == 0 {
		return errors.New("not registered as a holder yet")
	}
	err := k.save(ctx, limit.NewShares(k.hall, k.incarnation), 0)
	k.created = err == nil
	return err
}

// take installs this hall's parts as the table has them.
func (k *Keeper) take(ctx context.Context, entry platform.Entry) error {
	shares, err := decodeShares(entry)
	if err != nil {
		return err
	}
	k.shares = shares
	k.version = entry.Version
	if _, listed := shares.OfHall(k.hall); !listed && k.allowance.Parts() > 0 {
		k.logger.Warn("share was taken over by another hall", zap.Int64("parts", k.allowance.Parts()), zap.Uint64("version", entry.Version))
		k.inherited.Store(nil)
		k.allowance.SetShare(0, false)
	}
	own, found := shares.Of(k.hall, k.incarnation)
	if !found || k.mustConfirm || k.confirmed.Load() != k.registrar.Epoch() {
		return k.confirm(ctx)
	}
	if own.Parts() != k.allowance.Parts() {
		k.allowance.SetShare(own.Parts(), k.created)
		k.created = false
		k.logger.Info("share changed", zap.Int64("parts", own.Parts()), zap.Int64("whole", limit.WholeParts))
	}
	return nil
}

// confirm proves that this hall still holds its entry under its present
// registration, and that no earlier write of its own can still arrive. Halls
// that start together change the table at the same moment, so a lost race is
// run again at once. The new table comes back through the watch.
func (k *Keeper) confirm(ctx context.Context) error {
	epoch := k.registrar.Epoch()
	if epoch == 0 {
		return errors.New("not registered as a holder yet")
	}
	for {
		err := k.save(ctx, k.shares.Confirm(k.hall, k.incarnation), k.version)
		if err == nil {
			break
		}
		if !platform.IsConflict(err) {
			return err
		}
		duty.Pause(ctx, time.Duration(rand.Int64N(int64(racePause))))
		if k.shares, k.version, err = k.load(ctx); err != nil {
			return err
		}
	}
	k.mustConfirm = false
	k.confirmed.Store(epoch)
	k.inherited.Store(nil)
	return nil
}

// tend gives surplus away and takes in the shares of dead halls.
func (k *Keeper) tend(ctx context.Context) error {
	now := time.Now()
	if k.confirmed.Load() != k.registrar.Epoch() {
		return errors.New("registration changed, the share must be confirmed again")
	}
	if now.Sub(k.looked) >= deadInterval {
		k.looked = now
		if err := k.removeDead(ctx, now); err != nil {
			return err
		}
	}
	if now.Sub(k.gave) < giveInterval {
		return nil
	}
	k.gave = now
	return k.give(ctx)
}

// give lowers this hall's own share before it writes the raised one of
// another hall. If the write fails, it may still arrive later, so the share
// stays low until a write of this hall's own has moved the version on.
func (k *Keeper) give(ctx context.Context) error {
	taker, parts := k.shares.Surplus(k.hall)
	own, found := k.shares.Of(k.hall, k.incarnation)
	if parts == 0 || !found {
		return nil
	}
	k.allowance.SetShare(own.Parts()-parts, false)
	err := k.save(ctx, k.shares.Give(k.hall, taker, parts), k.version)
	k.mustConfirm = err != nil
	return err
}

// removeDead takes over the share of a hall whose key has been gone for a
// whole tenure during which the service answered all the time. After an
// outage in which leases lapsed, the halls that are alive register again
// before that.
func (k *Keeper) removeDead(ctx context.Context, now time.Time) error {
	listing, err := k.store.List(ctx, holdersPrefix)
	if err != nil {
		return err
	}
	if listing.Age > 0 {
		return errors.New("holders not read from the service")
	}
	alive := make(map[string]bool)
	for _, entry := range listing.Entries {
		alive[entry.Key] = true
	}
	for _, holder := range k.shares.Holders() {
		if holder.Hall() == k.hall || alive[holdersPrefix+holder.Hall()] {
			delete(k.missing, holder.Hall())
			continue
		}
		since, known := k.missing[holder.Hall()]
		if !known {
			k.missing[holder.Hall()] = now
			continue
		}
		if now.Sub(since) < TenureLength {
			continue
		}
		delete(k.missing, holder.Hall())
		k.logger.Info("share of a dead hall taken over", zap.String("hall", holder.Hall()), zap.Int64("parts", holder.Parts()))
		return k.save(ctx, k.shares.Remove(holder.Hall(), k.hall), k.version)
	}
	return nil
}

func (k *Keeper) load(ctx context.Context) (limit.Shares, uint64, error) {
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

func (k *Keeper) save(ctx context.Context, shares limit.Shares, version uint64) error {
	value, err := json.Marshal(shares)
	if err != nil {
		return err
	}
	_, err = k.store.CompareAndSwap(ctx, sharesKey, value, version, 0)
	return err
}
