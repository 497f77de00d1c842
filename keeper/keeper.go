// Package keeper implements the storage process on hosts with a disk. Keepers
// store the turns of programs that keep their history and the token reservations
// of programs that have a budget. Each record is synced on as many disks as the
// tolerance requires; package replication selects the keepers.
//
// # Usage
//
//	process, err := keeper.New(ctx, keeper.Options{Name: "keeper-1", Zone: "hu-central-a", …})
//	err = process.Start(ctx)
//	err = process.Stop(ctx)
package keeper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/httpserver"
	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/resident"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// livenessLease is the lease length of the liveness key: how long the key
	// remains after its keeper has died.
	livenessLease = 1500 * time.Millisecond
	// lostAfter is how long a member's liveness key must be missing before the
	// member's disk is presumed lost.
	lostAfter = 2500 * time.Millisecond
	// identifyTimeout bounds the call that checks whether a member without a liveness key
	// still answers.
	identifyTimeout = 400 * time.Millisecond
	// lostCheckInterval is the interval between checks for lost members.
	lostCheckInterval = 500 * time.Millisecond
	// gapInterval is the interval at which missing turns are fetched.
	gapInterval = 500 * time.Millisecond
	// expireInterval is the interval between removals of expired records.
	expireInterval = 5 * time.Second
	// pageTimeout bounds the transfer of one page of records.
	pageTimeout = time.Second
	// retryDelay is the delay before a failed copy, transfer or list update is
	// retried.
	retryDelay = 100 * time.Millisecond
	// maxCopies is the number of members that are copied from at once.
	maxCopies = 8
	// transferPasses is how many times a leaving keeper transfers its records.
	transferPasses = 2
	// transferDelay is the delay before each pass, in which halls learn of the
	// changed list.
	transferDelay = 300 * time.Millisecond
	// drainTimeout bounds the wait for calls in progress when the keeper stops. Callers wait
	// less for their reply.
	drainTimeout = time.Second
	// headerTimeout bounds reading the headers of a request.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes limits the headers of a call. Halls and keepers send few.
	maxHeaderBytes = 16 << 10
	// idleTimeout bounds the time for which an unused connection stays open. Halls and keepers
	// close theirs sooner.
	idleTimeout = 90 * time.Second
	// callTimeout bounds reading the message of a call, and writing its reply.
	callTimeout = 5 * time.Second
	// maxCallBytes limits the message of a call. It leaves room for a page of records whose
	// last one is as long as a hall forwards.
	maxCallBytes = 32 << 20
	// memoryParts is the part of the process's memory for what calls keep: one of this many.
	memoryParts = 5
	// indexParts is the part of the process's memory for the index of turns: one of this many.
	// What calls keep, the index and the garbage of both fit into the heap that the process may
	// use; the executable and the database take about 36 MB beside it.
	indexParts = 5
	// defaultCallMemory is the memory for calls if that of the process is not limited.
	defaultCallMemory = 32 << 20
)

// Options configure a keeper.
type Options struct {
	Name string
	Zone string
	// Addresses are the addresses of which the keeper uses the first that is available.
	Addresses []string
	// DataDir is the directory of the record store.
	DataDir string
	// Bootstrap is set when the whole system starts for the first time, so that
	// an empty disk is complete.
	Bootstrap bool
	// Tolerance is the number of disks that may be lost at once.
	Tolerance int
	// MemoryBytes is the memory of the process, zero if it is not limited.
	MemoryBytes int64
	Network     *network.Waiting
	Store       platform.Store
	// Meters collects the keeper's metrics, which are served at /metrics.
	Meters *metrics.Meters
	Logger *zap.Logger
}

// Keeper is a keeper process.
type Keeper struct {
	options     Options
	listener    net.Listener
	logger      *zap.Logger
	rule        replication.Rule
	archive     *archive.Archive
	ledger      *ledger.Ledger
	instruments *instruments
	calls       *buffer.Budget // For all that calls keep.
	resident    *resident.Watcher
	membership  *replication.Membership
	registrar   *host.Registrar
	tasks       *task.Group
	server      *httpserver.Server
	transport   *http.Transport
	client      *http.Client
	leaving     chan struct{} // Closed by Retire.
	joined      bool          // Whether this process has been on the list; used by replicate only.
	isFirst     bool          // Whether the disk is to be marked as complete; used by replicate after Start.
	// copied is the list up to which records were copied, nil if none were.
	copied atomic.Pointer[replication.MemberList]
	copy   copyProgress // Used by replicate only.
}

// copyProgress tells which members this keeper has copied from for one list.
type copyProgress struct {
	list    uint64 // Digest.
	sources map[string]bool
}

// New opens the record store and an address, once no other process uses them. The keeper
// serves no requests before Start.
func New(ctx context.Context, options Options) (*Keeper, error) {
	var ledgers sync.Map // By archive, as an opening that was abandoned may still load one.
	disk, err := archive.OpenWith(ctx, archive.Options{
		FS: vfs.Default, Dir: options.DataDir, Choose: ledger.Choose, Meter: options.Meters.Meter(), Logger: options.Logger,
		Load: func(disk *archive.Archive) error {
			records, err := ledger.Open(disk, time.Now(), options.Logger)
			ledgers.Store(disk, records)
			return err
		},
	})
	if err != nil {
		return nil, err
	}
	loaded, _ := ledgers.Load(disk)
	records := loaded.(*ledger.Ledger)
	records.SetIndexLimit(options.MemoryBytes / indexParts)
	calls := buffer.NewBudget(callMemory(options.MemoryBytes))
	instruments, err := newInstruments(options.Meters.Meter(), records, options.Network, calls)
	if err != nil {
		return nil, errors.Join(err, disk.Abandon())
	}
	listener, err := options.Network.ListenFirst(ctx, formerFirst(options, records.Copied()))
	if err != nil {
		return nil, errors.Join(oops.In("keeper").Wrapf(err, "listen for halls and keepers"), disk.Abandon())
	}
	transport := &http.Transport{DialContext: options.Network.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout / 3, DisableCompression: true}
	k := &Keeper{
		options: options, listener: listener, logger: options.Logger, rule: replication.NewRule(options.Tolerance),
		archive: disk, ledger: records, instruments: instruments, calls: calls, membership: replication.NewMembership(options.Store, options.Logger),
		transport: transport, client: &http.Client{Transport: transport}, leaving: make(chan struct{}),
	}
	k.resident = resident.New(options.MemoryBytes, k.memoryFields, options.Logger.Named("memory"))
	if err := k.resident.Register(options.Meters.Meter()); err != nil {
		return nil, errors.Join(err, listener.Close(), disk.Abandon())
	}
	k.ledger.SetPending(k.isPending)
	if copied := records.Copied(); copied != nil {
		list := replication.MemberListFromWire(copied)
		k.copied.Store(list)
		k.membership.Adopt(list)
	}
	k.registrar = host.NewRegistrar(options.Store, replication.LivenessPrefix+options.Name, []byte(k.address()), livenessLease, options.Logger)
	mux := http.NewServeMux()
	mux.Handle("/", calls.Handler(k.historyHandler(wire.NewKeeperServer(k)), buffer.HandlerOptions{MaxBytes: maxCallBytes, Timeout: callTimeout, Priority: priorityOf, Logger: options.Logger}))
	mux.Handle("/metrics", options.Meters.Handler())
	k.server = httpserver.New(&http.Server{Handler: recipient.Handler(host.KindKeeper, options.Name, mux), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, options.Logger)
	return k, nil
}

// memoryFields tells what the keeper knows of its memory.
func (k *Keeper) memoryFields() []zap.Field {
	turns, programs := k.ledger.Counts()
	return []zap.Field{zap.Int64("callBytes", k.calls.Used()), zap.Int64("callBudget", k.calls.Limit()), zap.Int64("refused", k.calls.Refused()), zap.Int("turns", turns), zap.Int("programs", programs), zap.Int64("indexBytes", k.ledger.IndexBytes())}
}

// callMemory returns the memory for what calls keep in a process with the given memory,
// zero for no limit.
func callMemory(memoryBytes int64) int64 {
	if memoryBytes == 0 {
		return defaultCallMemory
	}
	return memoryBytes / memoryParts
}

// formerFirst returns the addresses, first the one that the keeper had when it was last
// listed. Others know it, also while they can't read the list.
func formerFirst(options Options, list *wire.KeeperList) []string {
	former := ""
	for _, member := range list.GetKeepers() {
		if member.GetName() == options.Name {
			former = member.GetAddress()
		}
	}
	index := slices.Index(options.Addresses, former)
	if index <= 0 {
		return options.Addresses
	}
	return slices.Insert(slices.Delete(slices.Clone(options.Addresses), index, index+1), 0, former)
}

// Start starts serving requests and adds the keeper to the member list.
func (k *Keeper) Start(ctx context.Context) error {
	turns, programs := k.ledger.Counts()
	k.logger.Info("starting keeper", zap.String("name", k.options.Name), zap.String("address", k.address()),
		zap.Int("turns", turns), zap.Int("programs", programs), zap.Bool("firstStart", k.options.Bootstrap), zap.Bool("ready", k.ledger.Ready()))
	k.isFirst = k.options.Bootstrap && k.ledger.Empty() && !k.archive.Damaged()
	k.server.Start(k.listener)
	k.tasks = task.New(ctx, k.logger)
	k.tasks.Every("memory", resident.Interval, k.resident.Check)
	k.tasks.Go("members", k.membership.Follow)
	k.tasks.Go("live key", k.registrar.Run)
	k.tasks.Go("copies", k.replicate)
	k.tasks.Every("tend", lostCheckInterval, k.removeLost)
	k.tasks.Every("missing turns", gapInterval, k.fillGaps)
	k.tasks.Every("expire", expireInterval, k.expire)
	return nil
}

// Stop shuts down the server and closes the record store. The liveness key lapses
// with its lease. The keeper stays on the member list, since its disk returns with
// the next start.
func (k *Keeper) Stop(ctx context.Context) error {
	started := time.Now()
	k.logger.Info("stopping keeper", zap.String("name", k.options.Name))
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	// Connections that have sent nothing yet would delay the end for seconds.
	err := k.server.Stop(drainCtx)
	if err != nil {
		err = errors.Join(err, k.server.Close())
	}
	err = errors.Join(err, k.stopTasks(ctx))
	k.transport.CloseIdleConnections()
	err = errors.Join(err, k.archive.Close())
	k.logger.Info("keeper stopped", zap.String("name", k.options.Name), zap.Duration("took", time.Since(started)), zap.Error(err))
	return nil
}

// Close closes all that New and Start have opened, at once. It may follow a Start that failed,
// or Stop. While the disk can't be written, Close waits: the record store stays locked.
func (k *Keeper) Close() {
	_ = k.server.Close()   // No caller is left to report the error to.
	_ = k.listener.Close() // The server does not own it before Start.
	if k.tasks != nil {
		k.tasks.Stop()
	}
	k.transport.CloseIdleConnections()
	var closedErr *archive.ClosedError
	if err := k.archive.CloseWhenWritable(); err != nil && !errors.As(err, &closedErr) {
		k.logger.Error("record store was closed with an error", zap.Error(err))
	}
}

// stopTasks stops the tasks, and waits for them unless the disk keeps one waiting.
func (k *Keeper) stopTasks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		k.tasks.Stop()
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return oops.In("keeper").Wrapf(ctx.Err(), "wait for the tasks")
	}
}

// Ready reports whether this keeper holds all records that it is a replica for.
func (k *Keeper) Ready() bool { return k.ledger.Ready() }

// address returns the address at which halls and keepers reach this keeper.
func (k *Keeper) address() string { return k.listener.Addr().String() }

func (k *Keeper) memberDocument(leaving bool) replication.MemberDocument {
	return replication.MemberDocument{Name: k.options.Name, Zone: k.options.Zone, Address: k.address(), Leaving: leaving}
}

func (k *Keeper) expire(context.Context) {
	if err := k.ledger.Expire(time.Now()); err != nil {
		k.logger.Error("failed to remove expired records", zap.Error(err))
	}
}

// removeLost removes members from the list whose disks are presumed lost. If more members
// are silent at once than records can bear, none is removed: their disks are more likely
// out of reach than lost, and records that only they have would be reported as missing. For
// the same reason a member stays that still answers, though the store does not hear of it.
func (k *Keeper) removeLost(ctx context.Context) {
	now := time.Now()
	lost := k.membership.Missing(now, lostAfter)
	if len(lost) == 0 {
		return
	}
	members := k.membership.List().All()
	silentNames := k.membership.Missing(now, 0)
	silent := slices.DeleteFunc(slices.Clone(members), func(member replication.Keeper) bool {
		return !slices.Contains(silentNames, member.Name)
	})
	if !k.rule.Tolerates(members, silent) {
		k.logger.Warn("too many keepers are silent to presume one of them lost", zap.Int("silent", len(silent)), zap.Int("keepers", len(members)), zap.Strings("lost", lost))
		return
	}
	for _, member := range silent {
		if member.Name == k.options.Name || !slices.Contains(lost, member.Name) {
			continue
		}
		if k.answers(ctx, member) {
			k.logger.Info("keeper is silent at the store but answers, so it is not lost", zap.String("keeper", member.Name), zap.Duration("missing", lostAfter))
			continue
		}
		err := k.membership.Remove(ctx, member.Name)
		k.logger.Warn("keeper presumed lost", zap.String("keeper", member.Name), zap.Duration("missing", lostAfter), zap.Error(err))
	}
}

// clientOf returns a client of another member.
func (k *Keeper) clientOf(member replication.Keeper) wire.Keeper {
	return wire.NewKeeperProtobufClient("http://"+member.Address, recipient.NewClient(k.client, host.KindKeeper, member.Name))
}

// answers reports whether the member itself answers at its address.
func (k *Keeper) answers(ctx context.Context, member replication.Keeper) bool {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	reply, err := k.clientOf(member).Identify(ctx, &wire.Empty{})
	if err != nil {
		k.transport.CloseIdleConnections()
		return false
	}
	return reply.GetName() == member.Name
}
