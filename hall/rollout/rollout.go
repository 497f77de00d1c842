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
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/rollout/plan"
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

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Done:
		return "done"
	case RolledBack:
		return "rolledBack"
	default:
		return "running"
	}
}

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
	servers  []string
}

// Only returns the single version to use, nil for no restriction.
func (s Selection) Only() *string { return s.only }

// Excluded returns the version whose servers must not be used, empty for none.
func (s Selection) Excluded() string { return s.excluded }

// Servers returns the IDs of the servers of the only version to prefer, empty for all. During
// the observation a few servers carry the load that each will carry later.
func (s Selection) Servers() []string { return s.servers }

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
	// FirstByte is the time from the send to the first byte of the response, less the time
	// that the server is expected to need for a prompt that it has to read: servers of a new
	// version have no prompts cached. It is ignored if Failed is set.
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
	options     Options
	incarnation uint64
	subscribers []func(service, version string, state State)

	mutex        sync.Mutex
	ordersKnown  bool
	recordsKnown bool
	rollouts     map[string]*rollout         // By service, of the orders in force.
	records      map[string]record           // By service.
	withdrawn    map[string]time.Time        // By service, since when a running record has no order.
	open         map[string]map[string]int64 // By service and version.
	directories  map[string]versionCounts    // By service.
	failures     map[string]contact          // By hall, while it does not answer.
	halls        []host.Member               // As of the last Tick.
	live         map[string]bool             // The names of halls.
}

// rollout is what a hall knows of an order in force.
type rollout struct {
	order    Order
	started  time.Time
	previous string // The target version of the order that this one replaced, if that was not done.
	told     State  // What an owner said, which may not be in the key-value service yet.
	requests int64
	exposed  int64
	samples  map[plan.Key]*sample
	grant    grant
	share    float64 // The last one that an owner named.
	reason   string

	candidates []host.Member   // The halls that may own it, as of the last Tick.
	live       map[string]bool // All live halls, as of the last Tick.
	ledger     *ledger
	writing    bool
	writtenAt  time.Time // Of the last attempt.
}

// sample counts the answers of one server on one route at this hall.
type sample struct {
	counts  plan.Counts
	changed bool // Since the last report.
}

// New returns Rollouts without orders.
func New(options Options) *Rollouts {
	return &Rollouts{
		options: options, incarnation: uint64(options.Now().UnixNano()),
		rollouts: make(map[string]*rollout), records: make(map[string]record), withdrawn: make(map[string]time.Time),
		open: make(map[string]map[string]int64), directories: make(map[string]versionCounts), failures: make(map[string]contact),
	}
}

// SetOrders sets all orders in force. An order with another revision starts anew.
func (r *Rollouts) SetOrders(orders []Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ordersKnown = true
	next := make(map[string]*rollout, len(orders))
	for _, order := range orders {
		before := r.rollouts[order.service]
		if before != nil && before.order == order {
			next[order.service] = before
			continue
		}
		added := &rollout{order: order, started: r.options.Now(), samples: make(map[plan.Key]*sample), reason: "ordered"}
		if before != nil && r.state(before) != Done {
			added.previous = before.order.version
		}
		if stored, found := r.records[order.service]; found {
			added.adopt(stored)
		}
		next[order.service] = added
		r.options.Logger.Info("roll-out ordered", zap.String("service", order.service), zap.String("version", order.version),
			zap.Uint64("revision", order.revision), zap.Duration("duration", order.duration))
	}
	r.rollouts = next
}

// Subscribe calls notify after each change of the state of a roll-out in the key-value
// service. It must be called before Follow. notify must not block.
func (r *Rollouts) Subscribe(notify func(service, version string, state State)) {
	r.subscribers = append(r.subscribers, notify)
}

// Statuses returns the roll-outs of the orders in force.
func (r *Rollouts) Statuses() []Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	statuses := make([]Status, 0, len(r.rollouts))
	for _, rollout := range r.rollouts {
		statuses = append(statuses, Status{
			Order: rollout.order, State: r.state(rollout), Owner: r.ownerName(rollout), Share: rollout.share,
			Reason: rollout.reason, Exposed: rollout.exposed,
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Order.service, b.Order.service) })
	return statuses
}

// state returns the state that the key-value service has or that an owner named. The caller
// must hold the mutex.
func (r *Rollouts) state(rollout *rollout) State {
	if stored, found := r.records[rollout.order.service]; found && stored.Revision == rollout.order.revision && stored.state() != Running {
		return stored.state()
	}
	return rollout.told
}
