// Package rollout moves the traffic of a service to another software version when the
// operator orders it, and back if the version is bad.
//
// One hall owns each roll-out. The others tell it what they saw of both versions, and it
// grants them requests to the target version, so that the number of requests that a bad
// version receives is bounded over all halls. The final state is in the key-value service.
//
// # Usage
//
//	r := rollout.New(rollout.Options{…})
//	group.Go("rollouts", r.Follow)
//	group.Every("rollout reports", rollout.Interval, r.Tick)
//	r.SetOrders([]rollout.Order{rollout.NewOrder("models", "v2", revision, 12*time.Second)})
//	selection := r.Select("models", program)
//	closed := r.Opened("models", server.Version())
//	defer closed()
//	r.Record(rollout.Outcome{Service: "models", …})
package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/backend"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/wire"
)

// Interval is the time between two reports of a hall to the owner of a roll-out.
const Interval = 150 * time.Millisecond

// Order is the operator's order to move the traffic of a service to a software version.
type Order struct {
	service  string
	version  string
	revision uint64
	duration time.Duration
}

// NewOrder returns the order that was written at the revision of the key-value service, and
// is to be finished within the duration.
func NewOrder(service, version string, revision uint64, duration time.Duration) Order {
	return Order{service: service, version: version, revision: revision, duration: duration}
}

// Service returns the name of the service.
func (o Order) Service() string { return o.service }

// Version returns the target version.
func (o Order) Version() string { return o.version }

// Revision returns the revision of the order.
func (o Order) Revision() uint64 { return o.revision }

// Duration returns the time from the order to its deadline.
func (o Order) Duration() time.Duration { return o.duration }

// State is the state of a roll-out.
type State int

// The states.
const (
	Running State = iota
	Done
	RolledBack
)

// Bounds limit what a bad version may receive.
type Bounds struct {
	// ExposureShare is the portion of all requests to the service between the order and its
	// deadline; ExposureSlack is a number of requests beside it.
	ExposureShare float64
	ExposureSlack int64
	// RollbackPeriod is the time after which a version that answered badly must receive
	// nothing more.
	RollbackPeriod time.Duration
}

// Peer is the RPC interface of another hall.
type Peer interface {
	Report(ctx context.Context, report *wire.RolloutReport) (*wire.RolloutGrant, error)
}

// Options are the dependencies of Rollouts.
type Options struct {
	Store     platform.Store
	OwnName   string
	Halls     func() []host.Member
	Client    func(hall host.Member) Peer
	Bounds    Bounds
	Directory *backend.Directory
	Now       func() time.Time
	Logger    *zap.Logger
}

// Selection restricts the versions of the servers for one send.
type Selection struct {
	only     *string
	excluded string
}

// Only returns the single version to use, nil for no restriction.
func (s Selection) Only() *string { return s.only }

// Excluded returns the version whose servers must not be used, empty for none.
func (s Selection) Excluded() string { return s.excluded }

// Outcome is the result of one request at a server.
type Outcome struct {
	Service string
	Route   string
	Server  string
	Version string
	// Failed is set for a failure that the server's version may have caused.
	Failed bool
	// Cold is set if the server was still warming up.
	Cold bool
	// FirstByte is the time from the send to the first byte of the response.
	FirstByte time.Duration
}

// Status describes a roll-out to operators.
type Status struct {
	Order   Order
	State   State
	Owner   string
	Share   float64
	Reason  string
	Exposed int64
}

// Rollouts holds the roll-outs of a deployment. It is safe for concurrent use.
type Rollouts struct {
	options Options
}

// New returns Rollouts without orders.
func New(options Options) *Rollouts { return &Rollouts{options: options} }

// SetOrders sets all orders in force.
func (r *Rollouts) SetOrders([]Order) {}

// Follow follows the final states in the key-value service until the context ends.
func (r *Rollouts) Follow(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Tick reports to the owners, and decides about the roll-outs that this hall owns.
func (r *Rollouts) Tick(context.Context) {}

// Report processes the report of another hall.
func (r *Rollouts) Report(*wire.RolloutReport) *wire.RolloutGrant { return &wire.RolloutGrant{} }

// Select returns which versions may be used for one request. key is equal for requests that
// should go to the same version. A selection of the target version takes from the grant.
func (r *Rollouts) Select(_, _ string) Selection { return Selection{} }

// Opened records a request that is open at a server until closed is called.
func (r *Rollouts) Opened(_, _ string) (closed func()) { return func() {} }

// Record records the result of a request.
func (r *Rollouts) Record(Outcome) {}

// Subscribe calls notify after each change of the state of a roll-out. It must be called
// before Follow.
func (r *Rollouts) Subscribe(func(service, version string, state State)) {}

// Statuses returns the roll-outs that this hall knows.
func (r *Rollouts) Statuses() []Status { return nil }
