// Package turns is a hall's client of the keepers: it reserves a turn's tokens in
// the budget of its program, fetches the history that the turn continues, and
// stores the turn once its response is complete. If the turn's stream may be taken up by
// another attempt, its events are stored before they are relayed.
//
// A reservation or a turn is written to a quorum of the replicas, which are the
// keepers selected by its placement key. If a keeper fails or is slow, the next
// replica is called as well. A keeper that this hall can't reach is called through
// another hall.
//
// # Usage
//
//	client := turns.New(rule, zone, membership, otherHalls, network, budget, logger)
//	mux.HandleFunc(turns.ForwardPathPrefix(), client.Forward)
//	group.Go("keepers that failed", client.Probe)
//	active, err := client.Begin(ctx, turns.Turn{Program: "3fa8", ID: "e5b2", …})
//	err = client.StoreEvents(ctx, active, events)
//	err = client.Finish(ctx, active, tokens, input, output)
package turns

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/callerid"
	"limpethall.dev/kernel/connection"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

const (
	// callTimeout bounds one call to a keeper.
	callTimeout = 800 * time.Millisecond
	// hedgeDelay is the time after which one further replica is called for each
	// call that is still pending.
	hedgeDelay = 120 * time.Millisecond
	// probeInterval is the interval between probes of a keeper that failed.
	probeInterval = 150 * time.Millisecond
	// directProbeRounds is the number of probe intervals after which a keeper that
	// is called through another hall is probed directly.
	directProbeRounds = 5
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// settleTimeout bounds a settlement in the background.
	settleTimeout = 2 * time.Second
	// maxIdleConnsPerKeeper is how many idle connections to a keeper are kept.
	maxIdleConnsPerKeeper = 8
)

// Turn describes a turn that is about to run.
type Turn struct {
	ID        string
	Program   string
	Workspace string
	// Budget is the program's token budget, zero for none.
	Budget int64
	// MaxTokens is the most tokens that the turn may produce.
	MaxTokens int64
	// Previous is the ID of the turn to continue, empty for none.
	Previous string
	// Retention is how long the turn and the program's budget are kept.
	Retention time.Duration
	// ServerVersion is the software version of the backend servers at which the turn's
	// stream will run, nil if it need not be known later.
	ServerVersion *string
	// TakesUp says that this turn takes up a stream of the program.
	TakesUp bool
	// Resumes is the ID of the turn that began the stream which this turn takes up. If it
	// is empty, any turn of the program may have begun it.
	Resumes string
	// Stream identifies the turn's stream among those of the program: it is the same for all
	// attempts that begin the stream or take it up. It is zero if the events of the stream
	// are not stored.
	Stream uint64
	// LastEvent is the ID of the last event of the stream that the caller has, empty for none.
	LastEvent string
	// EventRetention is how long the events of the stream are kept.
	EventRetention time.Duration
}

// encodable returns an ID that a caller chose in a form that messages to keepers can hold:
// these reject text that is not UTF-8, and keepers keep IDs in memory. No ID from a header
// contains the prefix.
func encodable(id string) string {
	id = callerid.Bound(id)
	if utf8.ValidString(id) {
		return id
	}
	return "\x01" + hex.EncodeToString([]byte(id))
}

// needsReservation reports whether the turn is recorded before it runs.
func (t Turn) needsReservation() bool {
	return t.Budget > 0 || t.ServerVersion != nil || t.TakesUp
}

// wantsReservations reports whether the turn needs to know the program's other
// reservations.
func (t Turn) wantsReservations() bool {
	return t.Budget > 0 || t.Stream != 0 || (t.TakesUp && t.Resumes == "")
}

// BudgetExhaustedError reports that the program's budget does not cover the turn.
type BudgetExhaustedError struct {
	spent  int64
	budget int64
}

// Error states the budget and how much of it is used.
func (e *BudgetExhaustedError) Error() string {
	return fmt.Sprintf("token budget exhausted: %d of %d tokens are spent or reserved", e.spent, e.budget)
}

// WrongWorkspaceError reports that the previous turn belongs to another workspace.
type WrongWorkspaceError struct{ turn string }

// Error names the turn.
func (e *WrongWorkspaceError) Error() string {
	return fmt.Sprintf("turn %q belongs to another workspace", e.turn)
}

// TurnNotFoundError reports that no keeper has the previous turn.
type TurnNotFoundError struct{ turn string }

// Error names the turn.
func (e *TurnNotFoundError) Error() string { return fmt.Sprintf("turn %q not found", e.turn) }

// UnavailableError reports that too few keepers replied or, in a search, that no
// keeper has the turn but some can't tell.
type UnavailableError struct {
	operation string
	answered  int
	needed    int
	cause     error
}

// Error states how many keepers replied and the last cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: %d of %d keepers answered: %v", e.operation, e.answered, e.needed, e.cause)
}

// Unwrap returns the last cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

var (
	errStaleList   = errors.New("keeper has a newer list of keepers")
	errNotReady    = errors.New("keeper has not caught up")
	errUnreachable = errors.New("this hall reaches too few keepers")
	errNoKeepers   = errors.New("no keepers known")
	errTooFew      = errors.New("too few keepers are listed to store a turn")
	errIncomplete  = errors.New("a keeper lacks part of the turn's history or has not caught up")
)

// Membership provides the list of keepers.
type Membership interface {
	// List returns the newest known list.
	List() *replication.MemberList
	// Adopt replaces the known list by a newer one.
	Adopt(list *replication.MemberList)
}

// Client calls the keepers. It is safe for concurrent use.
type Client struct {
	rule       replication.Rule
	zone       string // Availability zone of this hall.
	keepers    Membership
	otherHalls func() []host.Member
	memory     *buffer.Budget // Bounds what forwarded calls keep.
	logger     *zap.Logger
	transport  *connection.Transport
	httpClient *http.Client

	mutex    sync.Mutex
	callers  map[keeperRoute]*caller
	failedAt map[string]time.Time
	viaHall  map[string]endpoint // The hall that forwards calls to the keeper, by the keeper's name.
	probing  map[string]bool     // Keepers with a probe in progress.
}

// New returns a client of a hall in the availability zone. otherHalls returns the other halls,
// memory bounds what their calls keep.
func New(rule replication.Rule, zone string, keepers Membership, otherHalls func() []host.Member, dialer network.Network, memory *buffer.Budget, logger *zap.Logger) *Client {
	transport := connection.NewTransport(dialer, maxIdleConnsPerKeeper)
	return &Client{
		rule: rule, zone: zone, keepers: keepers, otherHalls: otherHalls, memory: memory, logger: logger, transport: transport, httpClient: &http.Client{Transport: transport},
		callers: make(map[keeperRoute]*caller), failedAt: make(map[string]time.Time), viaHall: make(map[string]endpoint), probing: make(map[string]bool),
	}
}

// Begin reserves the turn's tokens on a quorum and fetches its history, and the events of the
// stream that the caller has got before. The error is a *BudgetExhaustedError,
// *WrongWorkspaceError, *TurnNotFoundError, *EventUnknownError,
// *TooManyAttemptsError or *UnavailableError.
func (c *Client) Begin(ctx context.Context, turn Turn) (*ActiveTurn, error) {
	if !c.QuorumReachable() {
		return nil, &UnavailableError{operation: "begin the turn", needed: c.rule.Quorum(), cause: errUnreachable}
	}
	turn.ID, turn.Program = encodable(turn.ID), encodable(turn.Program)
	turn.Previous, turn.Resumes = encodable(turn.Previous), encodable(turn.Resumes)
	turn.LastEvent = encodable(strings.TrimSpace(turn.LastEvent))
	programKey := turn.Workspace + "/" + turn.Program
	if listed := len(c.replicas(programKey)); listed < c.rule.Quorum() {
		return nil, &UnavailableError{operation: "begin the turn", needed: c.rule.Quorum(), cause: errTooFew}
	}
	active := newActiveTurn(turn, programKey)
	if turn.needsReservation() {
		if err := c.reserve(ctx, active); err != nil {
			return nil, err
		}
	}
	if err := c.findMissing(ctx, active); err != nil {
		c.Settle(active, 0)
		return nil, err
	}
	return active, nil
}

// findMissing finds what the replies to the reservation did not bring: the history, and the
// events that the caller has got before.
func (c *Client) findMissing(ctx context.Context, active *ActiveTurn) error {
	if active.turn.Previous != "" && active.history == nil {
		if err := c.findHistory(ctx, active); err != nil {
			return err
		}
	}
	if active.turn.Stream == 0 || active.turn.LastEvent == "" {
		return nil
	}
	return c.findRelayed(ctx, active)
}

// Finish settles the reservation at the tokens that were produced and stores the
// turn on a quorum.
func (c *Client) Finish(ctx context.Context, active *ActiveTurn, tokens int64, input, output []byte) error {
	request := &wire.FinishTurnRequest{
		Reservation: active.reservation(tokens, true),
		Others:      active.partlyKnownReservations(),
		Turn: &wire.Turn{
			Id: active.turn.ID, Workspace: active.turn.Workspace, Previous: active.turn.Previous, Placement: active.placement,
			ExpiresUnixMilliseconds: time.Now().Add(active.turn.Retention).UnixMilli(),
		},
	}
	if active.placement != active.programKey {
		// The budget belongs to the replicas of the program, the turn to those of
		// its chain.
		c.Settle(active, tokens)
		request.Reservation, request.Others = nil, nil
	}
	encoded, err := encodeFinish(request, input, output)
	if err != nil {
		return fmt.Errorf("encode the turn: %w", err)
	}
	if err := c.store(ctx, "store the turn", active.placement, encoded); err != nil {
		return err
	}
	active.settleOnce.Do(func() {})
	return nil
}

// store sends an encoded request to Finish to a quorum of the replicas.
func (c *Client) store(ctx context.Context, operation, placement string, encoded net.Buffers) error {
	call := c.callReplicas(ctx, placement, func(ctx context.Context, _ replication.Keeper, caller *caller) (any, error) {
		return nil, caller.finish(ctx, encoded)
	})
	stored, err := 0, errNoKeepers
	for result := range call.replies {
		if result.err != nil {
			err = result.err
			continue
		}
		stored++
		if stored == c.rule.Quorum() {
			call.stop()
			return nil
		}
	}
	return &UnavailableError{operation: operation, answered: stored, needed: c.rule.Quorum(), cause: err}
}

// Settle sets the reservation to the tokens that were produced. It works in the
// background. Only the first settlement of a turn takes effect.
func (c *Client) Settle(active *ActiveTurn, tokens int64) {
	if active.turn.Budget <= 0 {
		return
	}
	active.settleOnce.Do(func() {
		request := &wire.FinishTurnRequest{Reservation: active.reservation(tokens, true), Others: active.partlyKnownReservations()}
		task.Go(c.logger, "settle", func() { c.settle(active, request) })
	})
}

func (c *Client) settle(active *ActiveTurn, request *wire.FinishTurnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	encoded, err := encodeFinish(request, nil, nil)
	if err != nil {
		c.logger.Error("reservation not encoded", zap.String("requestId", active.turn.ID), zap.Error(err))
		return
	}
	call := c.callReplicas(ctx, active.programKey, func(ctx context.Context, _ replication.Keeper, caller *caller) (any, error) {
		return nil, caller.finish(ctx, encoded)
	})
	settled := 0
	for result := range call.replies {
		if result.err == nil {
			settled++
		}
		if settled == c.rule.Quorum() {
			call.stop()
			return
		}
	}
	c.logger.Warn("reservation not settled; it counts in full against the budget", zap.String("requestId", active.turn.ID),
		zap.String("program", active.programKey), zap.Int("keepers", settled))
}

// reserve asks a quorum to admit the turn. It retries once if the list of keepers
// was stale.
func (c *Client) reserve(ctx context.Context, active *ActiveTurn) error {
	err := c.reserveOnce(ctx, active)
	if errors.Is(err, errStaleList) {
		err = c.reserveOnce(ctx, active)
	}
	if errors.Is(err, errStaleList) {
		c.Settle(active, 0)
		return &UnavailableError{operation: "reserve tokens", needed: c.rule.Quorum(), cause: err}
	}
	return err
}

// reserveOnce asks the replicas of the current list to admit the turn. Each replica
// knows only the reservations that reached it. Any two quorums share a replica, so a
// quorum together knows all that were admitted before.
func (c *Client) reserveOnce(ctx context.Context, active *ActiveTurn) error {
	turn := active.turn
	request := &wire.BeginTurnRequest{
		Reservation: active.reservation(turn.MaxTokens, false), Budget: turn.Budget,
		Workspace: turn.Workspace, Previous: turn.Previous, WantHistory: turn.Previous != "",
		Keepers: c.keepers.List().ToWire(false), Resumes: turn.Resumes, WantReservations: turn.wantsReservations(), LastEvent: turn.LastEvent,
	}
	source := c.newHistorySource(active)
	call := c.callReplicas(ctx, active.programKey, func(ctx context.Context, keeper replication.Keeper, caller *caller) (any, error) {
		reply, err := source.begin(ctx, keeper, caller, request)
		switch {
		case err != nil:
			return nil, err
		case reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_NOT_READY:
			return nil, errNotReady
		case reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_STALE_LIST:
			c.keepers.Adopt(replication.MemberListFromWire(reply.GetKeepers()))
			return nil, errStaleList
		}
		return reply, nil
	})
	answered, admitted, stale, err := 0, 0, false, errNoKeepers
	for result := range call.replies {
		if result.err != nil {
			err = result.err
			stale = stale || errors.Is(err, errStaleList)
			if isFull(err) {
				call.stop()
				break
			}
			continue
		}
		reply := result.reply.(*wire.BeginTurnReply)
		answered++
		active.others.add(reply)
		active.setHistory(ctx, reply.GetHistory())
		if reply.ResumedVersion != nil {
			active.resumed = reply.ResumedVersion
		}
		if reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_ADMITTED {
			admitted++
		} else {
			call.callAnother()
		}
		if admitted == c.rule.Quorum() || (answered >= c.rule.Quorum() && active.exceedsBudget()) {
			call.stop()
			break
		}
	}
	switch {
	case stale:
		return errStaleList
	case admitted >= c.rule.Quorum() && !active.exceedsBudget():
		return nil
	case answered >= c.rule.Quorum() && active.exceedsBudget():
		c.Settle(active, 0)
		return &BudgetExhaustedError{spent: active.others.tokens(), budget: turn.Budget}
	default:
		c.Settle(active, 0)
		return &UnavailableError{operation: "reserve tokens", answered: admitted, needed: c.rule.Quorum(), cause: err}
	}
}
