// Package turns is a hall's side of the keepers: it reserves a turn's tokens in
// its program's budget, fetches the history that the turn continues, and stores
// the turn when it is answered.
//
// A reservation and a turn are stored on a quorum of the keepers that the
// program's placement names. Keepers that fail or are slow are replaced by the
// next of the replicas. A keeper that this hall does not reach is called through
// another hall that does.
//
// # Usage
//
//	client := turns.New(rule, keepers, otherHalls, network, logger)
//	mux.HandleFunc(turns.ForwardPath(), client.Forward)
//	group.Go("keepers that failed", client.Probe)
//	begun, err := client.Begin(ctx, turns.Turn{Program: "3fa8", ID: "e5b2", …})
//	err = client.Finish(ctx, begun, tokens, output)
package turns

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/wire"
)

const (
	// callTimeout bounds one call to a keeper.
	callTimeout = 800 * time.Millisecond
	// hedgeDelay is the silence after which the next replica is asked too.
	hedgeDelay = 120 * time.Millisecond
	// probePause is the wait between two questions to a keeper that failed.
	probePause = 150 * time.Millisecond
	// directProbeRounds is after how many such pauses a keeper that is called
	// through another hall is asked directly.
	directProbeRounds = 5
	// probeTimeout bounds such a question.
	probeTimeout = 400 * time.Millisecond
	// settleTimeout bounds a settlement that nobody waits for.
	settleTimeout = 2 * time.Second
	// idlePerKeeper is how many connections to a keeper are kept.
	idlePerKeeper = 8
)

// Turn is a turn that is about to run.
type Turn struct {
	ID        string
	Program   string
	Workspace string
	// Budget is the program's token budget, zero for none.
	Budget int64
	// MaxTokens is the most that the turn may produce.
	MaxTokens int64
	// Previous is the turn to continue, empty for none.
	Previous string
	// Retention is how long the turn and the program's budget are kept.
	Retention time.Duration
}

// Begun is a turn that may run.
type Begun struct {
	turn      Turn
	program   string // The workspace with the program, since callers name programs.
	placement string
	history   [][]byte
	settled   sync.Once
}

// History returns the inputs and outputs that the turn continues, the oldest
// first.
func (b *Begun) History() [][]byte { return b.history }

// Placement returns the key that all turns of the chain share.
func (b *Begun) Placement() string { return b.placement }

// ExhaustedError reports a budget that doesn't hold the turn.
type ExhaustedError struct {
	spent  int64
	budget int64
}

// Error gives the figures.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the program's budget of %d tokens has %d spent or reserved", e.budget, e.spent)
}

// ForeignError reports a previous turn of another workspace.
type ForeignError struct{ turn string }

// Error names the turn.
func (e *ForeignError) Error() string { return fmt.Sprintf("turn %q is not this workspace's", e.turn) }

// AbsentError reports that every keeper lacks the previous turn.
type AbsentError struct{ turn string }

// Error names the turn.
func (e *AbsentError) Error() string { return fmt.Sprintf("no turn %q exists", e.turn) }

// UnavailableError reports that too few keepers answered, or that none of them
// has the turn.
type UnavailableError struct {
	operation string
	answered  int
	needed    int
	cause     error
}

// Error gives the counts and the last cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: %d of %d keepers answered: %v", e.operation, e.answered, e.needed, e.cause)
}

// Unwrap returns the last cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

var (
	errStaleList   = errors.New("keeper has a newer list of keepers")
	errNotReady    = errors.New("keeper has not caught up")
	errUnreachable = errors.New("this hall reaches too few keepers")
	errNoKeepers   = errors.New("no keeper is known")
	errIncomplete  = errors.New("a keeper has the turn in part or can't tell")
)

// Keepers is the list of keepers.
type Keepers interface {
	// List returns the newest list.
	List() *keeping.List
	// Adopt takes over a newer list.
	Adopt(list *keeping.List)
}

// Client is safe for concurrent use.
type Client struct {
	rule      keeping.Rule
	keepers   Keepers
	halls     func() []string
	logger    *zap.Logger
	transport *http.Transport
	http      *http.Client

	mutex   sync.Mutex
	clients map[route]wire.Keeper
	suspect map[string]time.Time
	through map[string]string // The hall through which a keeper is called.
	probing map[string]bool   // Keepers of which a probe is under way.
}

// New returns a client. halls returns the addresses of the other halls, host and
// port.
func New(rule keeping.Rule, keepers Keepers, halls func() []string, own network.Network, logger *zap.Logger) *Client {
	transport := &http.Transport{
		DialContext: own.DialContext, MaxIdleConnsPerHost: idlePerKeeper, DisableCompression: true,
		WriteBufferSize: 32 << 10, ReadBufferSize: 16 << 10,
	}
	return &Client{
		rule: rule, keepers: keepers, halls: halls, logger: logger, transport: transport, http: &http.Client{Transport: transport},
		clients: make(map[route]wire.Keeper), suspect: make(map[string]time.Time), through: make(map[string]string), probing: make(map[string]bool),
	}
}

// Begin reserves the turn's tokens on a quorum and fetches its history. The
// error is an *ExhaustedError, a *ForeignError or an *UnavailableError.
func (c *Client) Begin(ctx context.Context, turn Turn) (*Begun, error) {
	if !c.Reachable() {
		return nil, &UnavailableError{operation: "begin the turn", needed: c.rule.Quorum(), cause: errUnreachable}
	}
	program := turn.Workspace + "/" + turn.Program
	begun := &Begun{turn: turn, program: program, placement: program}
	if turn.Budget > 0 {
		if err := c.reserve(ctx, begun); err != nil {
			return nil, err
		}
	}
	if turn.Previous == "" || begun.history != nil {
		return begun, nil
	}
	if err := c.find(ctx, begun); err != nil {
		c.Settle(begun, 0)
		return nil, err
	}
	return begun, nil
}

// Finish settles the reservation at the tokens that were handed out and stores
// the turn on a quorum.
func (c *Client) Finish(ctx context.Context, begun *Begun, tokens int64, input, output []byte) error {
	request := &wire.FinishTurnRequest{
		Reservation: begun.reservation(tokens, true),
		Turn: &wire.Turn{
			Id: begun.turn.ID, Workspace: begun.turn.Workspace, Previous: begun.turn.Previous, Placement: begun.placement,
			Input: input, Output: output, ExpiresUnixMilliseconds: time.Now().Add(begun.turn.Retention).UnixMilli(),
		},
	}
	if begun.placement != begun.program {
		// The budget is kept by the program's own keepers, the turn by its
		// chain's.
		c.Settle(begun, tokens)
		request.Reservation = nil
	}
	results := c.ask(ctx, begun.placement, func(ctx context.Context, keeper wire.Keeper) (any, error) {
		return keeper.Finish(ctx, request)
	})
	stored, err := 0, errNoKeepers
	for result := range results.replies {
		if result.err != nil {
			err = result.err
			continue
		}
		stored++
		if stored == c.rule.Quorum() {
			results.enough()
			begun.settled.Do(func() {})
			return nil
		}
	}
	return &UnavailableError{operation: "store the turn", answered: stored, needed: c.rule.Quorum(), cause: err}
}

// Settle sets the reservation to the tokens that were handed out, without
// waiting. Only the first settlement of a turn counts.
func (c *Client) Settle(begun *Begun, tokens int64) {
	if begun.turn.Budget <= 0 {
		return
	}
	begun.settled.Do(func() {
		request := &wire.FinishTurnRequest{Reservation: begun.reservation(tokens, true)}
		go c.settle(begun, request)
	})
}

func (c *Client) settle(begun *Begun, request *wire.FinishTurnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	results := c.ask(ctx, begun.program, func(ctx context.Context, keeper wire.Keeper) (any, error) {
		return keeper.Finish(ctx, request)
	})
	settled := 0
	for result := range results.replies {
		if result.err == nil {
			settled++
		}
		if settled == c.rule.Quorum() {
			results.enough()
			return
		}
	}
	c.logger.Warn("reservation not settled, it counts at its most", zap.String("requestId", begun.turn.ID),
		zap.String("program", begun.program), zap.Int("keepers", settled))
}

// reserve asks a quorum to admit the turn, once more if the list of keepers was
// out of date.
func (c *Client) reserve(ctx context.Context, begun *Begun) error {
	err := c.reserveOnce(ctx, begun)
	if errors.Is(err, errStaleList) {
		err = c.reserveOnce(ctx, begun)
	}
	if errors.Is(err, errStaleList) {
		c.Settle(begun, 0)
		return &UnavailableError{operation: "reserve tokens", needed: c.rule.Quorum(), cause: err}
	}
	return err
}

// reserveOnce asks by the present list. Where keepers disagree, the majority of
// the replicas decides.
func (c *Client) reserveOnce(ctx context.Context, begun *Begun) error {
	turn := begun.turn
	request := &wire.BeginTurnRequest{
		Reservation: begun.reservation(turn.MaxTokens, false), Budget: turn.Budget,
		Workspace: turn.Workspace, Previous: turn.Previous, WantHistory: turn.Previous != "",
		Keepers: c.keepers.List().Wire(false),
	}
	results := c.ask(ctx, begun.program, func(ctx context.Context, keeper wire.Keeper) (any, error) {
		reply, err := keeper.Begin(ctx, request)
		switch {
		case err != nil:
			return nil, err
		case reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_NOT_READY:
			return nil, errNotReady
		case reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_STALE_LIST:
			c.keepers.Adopt(keeping.ListFromWire(reply.GetKeepers()))
			return nil, errStaleList
		}
		return reply, nil
	})
	admitted, exhausted, spent, stale, err := 0, 0, int64(0), false, errNoKeepers
	for result := range results.replies {
		if result.err != nil {
			err = result.err
			stale = stale || errors.Is(err, errStaleList)
			continue
		}
		reply := result.reply.(*wire.BeginTurnReply)
		spent = max(spent, reply.GetSpentTokens())
		if reply.GetVerdict() == wire.BeginVerdict_BEGIN_VERDICT_ADMITTED {
			admitted++
		} else {
			exhausted++
			results.more()
		}
		begun.take(reply.GetHistory())
		if admitted == c.rule.Quorum() || exhausted == c.rule.Quorum() {
			results.enough()
			break
		}
	}
	switch {
	case stale:
		return errStaleList
	case admitted >= c.rule.Quorum():
		return nil
	case exhausted > 0:
		c.Settle(begun, 0)
		return &ExhaustedError{spent: spent, budget: turn.Budget}
	default:
		c.Settle(begun, 0)
		return &UnavailableError{operation: "reserve tokens", answered: admitted, needed: c.rule.Quorum(), cause: err}
	}
}

// find looks for the previous turn at the program's keepers and then at all
// others, since another program may have begun the chain. It is absent only if
// every keeper says so.
func (c *Client) find(ctx context.Context, begun *Begun) error {
	search := &search{client: c, asked: make(map[string]bool), request: &wire.FindTurnRequest{Turn: begun.turn.Previous, Workspace: begun.turn.Workspace}}
	for _, group := range [][]keeping.Keeper{c.replicas(begun.program), c.keepers.List().All()} {
		if reply := search.among(ctx, group); reply != nil {
			if reply.GetVerdict() == wire.FindVerdict_FIND_VERDICT_FOREIGN {
				return &ForeignError{turn: begun.turn.Previous}
			}
			begun.take(reply)
			return nil
		}
	}
	if search.err == nil && search.absent >= c.rule.Quorum() {
		return &AbsentError{turn: begun.turn.Previous}
	}
	cause := search.err
	if cause == nil {
		cause = errNoKeepers
	}
	return &UnavailableError{operation: "find the previous turn", answered: search.absent, needed: len(search.asked), cause: cause}
}

// search asks keepers for one turn.
type search struct {
	client  *Client
	request *wire.FindTurnRequest
	asked   map[string]bool
	absent  int
	err     error // Why a keeper's answer is not certain.
}

// among asks all keepers of a group at once that were not asked before, and
// returns the first reply that settles the search.
func (s *search) among(ctx context.Context, group []keeping.Keeper) *wire.FindTurnReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan result, len(group))
	waiting := 0
	for _, keeper := range group {
		if s.asked[keeper.Name] {
			continue
		}
		s.asked[keeper.Name] = true
		waiting++
		go func() {
			client, way := s.client.client(keeper)
			reply, err := client.Find(ctx, s.request)
			s.client.note(ctx, keeper, way, err)
			replies <- result{reply: reply, err: err}
		}()
	}
	for range waiting {
		answer := <-replies
		if answer.err != nil {
			s.err = answer.err
			continue
		}
		reply := answer.reply.(*wire.FindTurnReply)
		switch reply.GetVerdict() {
		case wire.FindVerdict_FIND_VERDICT_FOUND, wire.FindVerdict_FIND_VERDICT_FOREIGN:
			return reply
		case wire.FindVerdict_FIND_VERDICT_ABSENT:
			s.absent++
		default:
			s.err = errIncomplete
		}
	}
	return nil
}

func (b *Begun) take(found *wire.FindTurnReply) {
	if found.GetVerdict() == wire.FindVerdict_FIND_VERDICT_FOUND && b.history == nil {
		b.history = found.GetParts()
		b.placement = found.GetPlacement()
	}
}

func (b *Begun) reservation(tokens int64, settled bool) *wire.Reservation {
	if b.turn.Budget <= 0 {
		return nil
	}
	return &wire.Reservation{
		Program: b.program, Turn: b.turn.ID, Tokens: tokens, Settled: settled,
		ExpiresUnixMilliseconds: time.Now().Add(2 * b.turn.Retention).UnixMilli(),
	}
}
