package home

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

const (
	vaultPrefix = "programs/"
	// vaultRate is how many records a hall writes to the store each second at
	// most, and vaultBurst how many at once.
	vaultRate  = 5
	vaultBurst = 20
	// maxVaultBytes leaves room below the store's limit of one megabyte.
	maxVaultBytes = 900_000
	vaultTimeout  = time.Second
)

var (
	errVaultBusy = errors.New("the store takes no more records now")
	errTooLong   = errors.New("the history is too long for the store")
)

// Vault keeps programs in the key-value service where too few halls can hold
// copies. It stays within a rate of its own, so that a loss of halls doesn't
// become a flood of writes.
type Vault struct {
	store platform.Store
	room  *rate.Limiter
}

// NewVault returns a vault.
func NewVault(store platform.Store) *Vault {
	return &Vault{store: store, room: rate.NewLimiter(vaultRate, vaultBurst)}
}

// Keep writes the record, unless the store holds one that it does not extend.
func (v *Vault) Keep(ctx context.Context, record *program.Record) error {
	value, err := proto.Marshal(record.ToWire(1))
	if err != nil {
		return err
	}
	if len(value) > maxVaultBytes {
		return errTooLong
	}
	if !v.room.Allow() {
		return errVaultBusy
	}
	ctx, cancel := context.WithTimeout(ctx, vaultTimeout)
	defer cancel()
	version := uint64(0)
	held, heldVersion, err := v.fetch(ctx, record.ID())
	switch {
	case err == nil && !record.Extends(held):
		return platform.NewConflictError(vaultPrefix+record.ID(), heldVersion)
	case err == nil:
		version = heldVersion
	case !platform.IsNotFound(err):
		return err
	}
	_, err = v.store.CompareAndSwap(ctx, vaultPrefix+record.ID(), value, version, 0)
	return err
}

// Fetch returns the record of a program, nil if there is none or the store
// does not answer.
func (v *Vault) Fetch(ctx context.Context, id string) *program.Record {
	ctx, cancel := context.WithTimeout(ctx, vaultTimeout)
	defer cancel()
	held, _, err := v.fetch(ctx, id)
	if err != nil {
		return nil
	}
	return held
}

// Drop removes the record of a program that is over.
func (v *Vault) Drop(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, vaultTimeout)
	defer cancel()
	_, version, err := v.fetch(ctx, id)
	if platform.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return v.store.Delete(ctx, vaultPrefix+id, version)
}

func (v *Vault) fetch(ctx context.Context, id string) (*program.Record, uint64, error) {
	entry, err := v.store.Get(ctx, vaultPrefix+id)
	if err != nil {
		return nil, 0, err
	}
	stored := &wire.ProgramRecord{}
	if err := proto.Unmarshal(entry.Value, stored); err != nil {
		return nil, 0, err
	}
	return program.FromWire(stored), entry.Version, nil
}
