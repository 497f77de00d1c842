// Package keeper is the process on hosts with a disk. It stores turns whose
// history must last and the token reservations of programs, synced, on as many
// disks as the tolerance asks for; see package keeping for which.
//
// # Usage
//
//	process, err := keeper.New(keeper.Options{Name: "keeper-1", Zone: "hu-central-a", …})
//	err = process.Start(ctx)
//	err = process.Stop(ctx)
package keeper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

const (
	// liveLease is how long a keeper's live key outlasts it.
	liveLease = 1500 * time.Millisecond
	// goneTime is how long the live key of a member must be gone before its
	// disk is taken for lost.
	goneTime = 2500 * time.Millisecond
	// tendInterval is the pause between two looks at the list of members.
	tendInterval = 500 * time.Millisecond
	// expireInterval is the pause between two removals of expired records.
	expireInterval = 5 * time.Second
	// copyTimeout bounds the call for one page of a copy.
	copyTimeout = time.Second
	// copyPause is the wait before a copy that failed is tried again.
	copyPause = 100 * time.Millisecond
	// handOverPasses is how often a leaving keeper goes through its records.
	handOverPasses = 2
	// handOverPause is the wait before each pass, for halls to see the list.
	handOverPause = 300 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
)

// Options are what a keeper is built from.
type Options struct {
	Name    string
	Zone    string
	Address string
	// Folder is where the records lie.
	Folder string
	// FirstStart says that the whole system starts for the first time, so an
	// empty disk lacks nothing.
	FirstStart bool
	// Tolerance is how many disks may be lost at once.
	Tolerance int
	Network   network.Network
	Store     platform.Store
	// Meters is where the keeper counts; they are served beside its calls.
	Meters *metrics.Meters
	Logger *zap.Logger
}

// Keeper is the running process.
type Keeper struct {
	options   Options
	logger    *zap.Logger
	rule      keeping.Rule
	archive   *archive.Archive
	ledger    *ledger.Ledger
	meters    *meters
	members   *keeping.Members
	registrar *host.Registrar
	duties    *duty.Group
	server    *http.Server
	transport *http.Transport
	client    *http.Client
	leaving   chan struct{}
	joined    bool // Whether this process was on the list; it belongs to keepCopies.
}

// New opens the disk. Nothing is served before Start.
func New(options Options) (*Keeper, error) {
	kept, err := archive.Open(options.Folder, options.Logger)
	if err != nil {
		return nil, err
	}
	book, err := ledger.Open(kept, time.Now(), options.Logger)
	if err != nil {
		return nil, errors.Join(oops.In("keeper").Wrapf(err, "read %s", options.Folder), kept.Close())
	}
	observed, err := newMeters(options.Meters.Meter(), book)
	if err != nil {
		return nil, errors.Join(err, kept.Close())
	}
	transport := &http.Transport{DialContext: options.Network.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}
	k := &Keeper{
		options: options, logger: options.Logger, rule: keeping.New(options.Tolerance),
		archive: kept, ledger: book, meters: observed, members: keeping.NewMembers(options.Store, options.Logger),
		transport: transport, client: &http.Client{Transport: transport}, leaving: make(chan struct{}),
	}
	k.registrar = host.NewRegistrar(options.Store, keeping.LivePrefix+options.Name, []byte(options.Address), liveLease, options.Logger)
	mux := http.NewServeMux()
	mux.Handle("/", wire.NewKeeperServer(k))
	mux.Handle("/metrics", options.Meters.Handler())
	k.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return k, nil
}

// Start serves and keeps the keeper on the list of members.
func (k *Keeper) Start(ctx context.Context) error {
	socket, err := k.options.Network.Listen(k.options.Address)
	if err != nil {
		return oops.In("keeper").Wrapf(err, "open %s", k.options.Address)
	}
	turns, programs := k.ledger.Sizes()
	k.logger.Info("keeper starts", zap.String("name", k.options.Name), zap.String("address", k.options.Address),
		zap.Int("turns", turns), zap.Int("programs", programs), zap.Bool("firstStart", k.options.FirstStart), zap.Bool("ready", k.ledger.Ready()))
	if k.options.FirstStart && k.ledger.Empty() {
		if err := k.ledger.SetReady(true); err != nil {
			return oops.In("keeper").Wrapf(err, "mark the disk as complete")
		}
	}
	go k.serve(socket)
	k.duties = duty.New(ctx, k.logger)
	k.duties.Go("members", k.members.Follow)
	k.duties.Go("live key", k.registrar.Keep)
	k.duties.Go("copies", k.keepCopies)
	k.duties.Every("tend", tendInterval, k.tend)
	k.duties.Every("expire", expireInterval, k.expire)
	return nil
}

// Stop gives up the live key and closes the disk. The member stays on the
// list: its disk comes back with the next start.
func (k *Keeper) Stop(ctx context.Context) error {
	k.logger.Info("keeper stops", zap.String("name", k.options.Name))
	err := k.server.Shutdown(ctx)
	k.duties.Stop()
	k.transport.CloseIdleConnections()
	return errors.Join(err, k.archive.Close())
}

// Ready reports whether this keeper has all that belongs to it.
func (k *Keeper) Ready() bool { return k.ledger.Ready() }

// Begin implements wire.Keeper. A hall that chose its keepers by an older list
// gets the present one instead of a reservation, so that any two quorums in use
// meet.
func (k *Keeper) Begin(ctx context.Context, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	started := time.Now()
	reply, err := k.begin(request)
	k.meters.record(ctx, "begin", reply.GetVerdict().String(), started, err)
	return reply, err
}

func (k *Keeper) begin(request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	list := k.members.List()
	if used := request.GetKeepers(); used.GetDigest() != list.Digest() && used.GetStoreRevision() < list.Revision() {
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_STALE_LIST, Keepers: list.Wire(true)}, nil
	}
	return k.ledger.Begin(time.Now(), request)
}

// Finish implements wire.Keeper.
func (k *Keeper) Finish(ctx context.Context, request *wire.FinishTurnRequest) (*wire.FinishTurnReply, error) {
	started := time.Now()
	err := k.ledger.Finish(started, request)
	k.meters.record(ctx, "finish", "stored", started, err)
	return &wire.FinishTurnReply{}, err
}

// Find implements wire.Keeper.
func (k *Keeper) Find(ctx context.Context, request *wire.FindTurnRequest) (*wire.FindTurnReply, error) {
	started := time.Now()
	reply, err := k.ledger.Find(request.GetTurn(), request.GetWorkspace())
	k.meters.record(ctx, "find", reply.GetVerdict().String(), started, err)
	return reply, err
}

// Copy implements wire.Keeper. The list of the asking keeper is taken over if it
// is newer: what is reserved here after that is reserved by the newer list.
func (k *Keeper) Copy(_ context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	asked := keeping.ListFromWire(request.GetKeepers())
	k.members.Adopt(asked)
	return k.ledger.Page(request.GetAfter(), func(placement string) bool {
		return k.rule.Holds(asked.Holding(), placement, request.GetKeeper())
	})
}

// Take implements wire.Keeper.
func (k *Keeper) Take(_ context.Context, page *wire.CopyReply) (*wire.Empty, error) {
	return &wire.Empty{}, k.ledger.Merge(time.Now(), page)
}

func (k *Keeper) serve(socket net.Listener) {
	if err := k.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		k.logger.Error("keeper no longer serves", zap.Error(err))
	}
}

func (k *Keeper) document(leaving bool) keeping.MemberDocument {
	return keeping.MemberDocument{Name: k.options.Name, Zone: k.options.Zone, Address: k.options.Address, Leaving: leaving}
}

func (k *Keeper) expire(context.Context) {
	if err := k.ledger.Expire(time.Now()); err != nil {
		k.logger.Error("expired records not removed", zap.Error(err))
	}
}

// tend takes members off the list whose disks are lost.
func (k *Keeper) tend(ctx context.Context) {
	for _, name := range k.members.Missing(time.Now(), goneTime) {
		if name == k.options.Name {
			continue
		}
		err := k.members.Remove(ctx, name)
		k.logger.Warn("keeper taken for lost", zap.String("keeper", name), zap.Duration("missing", goneTime), zap.Error(err))
	}
}
