package turns_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/hall/turns"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/task"
	"limpethall.dev/kernel/wire"
)

// fakeKeeper holds a history of one turn.
type fakeKeeper struct {
	wire.Keeper // Methods that halls do not call.
	mutex       sync.Mutex
	parts       [][]byte
	lacks       bool          // Whether it lacks the history.
	err         error         // Error of Begin and Find, nil for none.
	pause       time.Duration // Before Finish.
	finishErr   error         // Error of Finish, nil for none.
	findPause   time.Duration // Before Find.
	findErr     error         // Error of Find, nil for none.
	histories   int           // Sent to halls.
	finished    []*wire.FinishTurnRequest
	stream      uint64 // Of the program's other turn.
	relayed     bool   // Whether Begin says that the other turn relayed the event.
	attempts    int    // Further turns of the stream.
}

func (k *fakeKeeper) history() (*wire.FindTurnReply, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	switch {
	case k.err != nil:
		return nil, k.err
	case k.lacks:
		return &wire.FindTurnReply{Verdict: wire.FindVerdict_FIND_VERDICT_ABSENT}, nil
	}
	k.histories++
	return &wire.FindTurnReply{Verdict: wire.FindVerdict_FIND_VERDICT_FOUND, Placement: "/p", Parts: k.parts}, nil
}

// Begin implements wire.Keeper.
func (k *fakeKeeper) Begin(_ context.Context, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	reply := &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_ADMITTED, Reservations: []*wire.Reservation{{Turn: "t0", Tokens: 7, Stream: k.stream, Relayed: k.relayed}}}
	for number := range k.attempts {
		reply.Reservations = append(reply.Reservations, &wire.Reservation{Turn: fmt.Sprint("attempt ", number), Tokens: 1, Stream: k.stream})
	}
	if !request.GetWantHistory() {
		return reply, nil
	}
	var err error
	reply.History, err = k.history()
	return reply, err
}

// Find implements wire.Keeper.
func (k *fakeKeeper) Find(context.Context, *wire.FindTurnRequest) (*wire.FindTurnReply, error) {
	time.Sleep(k.findPause)
	if k.findErr != nil {
		return nil, k.findErr
	}
	return k.history()
}

// Finish implements wire.Keeper.
func (k *fakeKeeper) Finish(_ context.Context, request *wire.FinishTurnRequest) (*wire.FinishTurnReply, error) {
	k.mutex.Lock()
	pause, err := k.pause, k.finishErr
	k.mutex.Unlock()
	time.Sleep(pause)
	if err != nil {
		return nil, err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.finished = append(k.finished, request)
	return &wire.FinishTurnReply{}, nil
}

// setFinish sets what Finish does from now on.
func (k *fakeKeeper) setFinish(pause time.Duration, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.pause, k.finishErr = pause, err
}

// fixedMembership is a list of keepers that does not change.
type fixedMembership struct{ list *replication.MemberList }

// List implements turns.Membership.
func (m fixedMembership) List() *replication.MemberList { return m.list }

// Adopt implements turns.Membership.
func (m fixedMembership) Adopt(*replication.MemberList) {}

// fixture is a client of three keepers, one in each availability zone, with a quorum of two.
type fixture struct {
	keepers []*fakeKeeper
	client  *turns.Client
	budget  *buffer.Budget
}

// newFixture returns a client in the zone of the first keeper of the program "p".
func newFixture(t *testing.T, memory int64, parts ...[]byte) *fixture {
	f := &fixture{budget: buffer.NewBudget(memory)}
	var members []replication.MemberDocument
	for index := range 3 {
		keeper := &fakeKeeper{parts: parts}
		mux := http.NewServeMux()
		mux.Handle(wire.KeeperPathPrefix, wire.NewKeeperServer(keeper))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		f.keepers = append(f.keepers, keeper)
		members = append(members, replication.MemberDocument{Name: fmt.Sprint(index), Zone: fmt.Sprint("zone-", index), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	list, rule := replication.NewMemberList(1, members), replication.NewRule(1)
	var sorted []*fakeKeeper
	for _, replica := range list.Replicas(rule, "/p") {
		sorted = append(sorted, f.keepers[slices.IndexFunc(members, func(m replication.MemberDocument) bool { return m.Name == replica.Name })])
	}
	f.keepers = sorted
	f.client = turns.New(rule, list.Replicas(rule, "/p")[1].Zone, fixedMembership{list: list}, func() []host.Member { return nil }, network.TCP{}, f.budget, zap.NewNop())
	t.Cleanup(f.client.Close)
	return f
}

// begin begins a turn that continues another one, with an account of the budget.
func (f *fixture) begin(t *testing.T, tokenBudget int64) (context.Context, *buffer.Account, *turns.ActiveTurn, error) {
	account := f.budget.Open(buffer.PriorityStarted)
	ctx := buffer.NewContext(t.Context(), account)
	active, err := f.client.Begin(ctx, turns.Turn{ID: "t2", Program: "p", Previous: "t1", Budget: tokenBudget, MaxTokens: 10, Retention: time.Minute})
	return ctx, account, active, err
}

func (f *fixture) histories() int {
	sum := 0
	for _, keeper := range f.keepers {
		keeper.mutex.Lock()
		sum += keeper.histories
		keeper.mutex.Unlock()
	}
	return sum
}

// tokenBudgets are budgets of a turn that is reserved, and of one that is not.
var tokenBudgets = []int64{1000, 0}

// TestHistoryIsKeptOnce guards against a history that several keepers send, and of which a hall
// keeps several copies that are not counted.
func TestHistoryIsKeptOnce(t *testing.T) {
	const slack = 1 << 10
	parts := [][]byte{bytes.Repeat([]byte("in"), 50_000), bytes.Repeat([]byte("out"), 50_000), {}, []byte("x")}
	for _, tokenBudget := range tokenBudgets {
		f := newFixture(t, 1<<20, parts...)
		_, account, active, err := f.begin(t, tokenBudget)
		if err != nil {
			t.Fatal(err)
		}
		if got := active.History(); !slices.EqualFunc(got, parts, bytes.Equal) {
			t.Errorf("budget %d: got %d parts, want the history of %d", tokenBudget, len(got), len(parts))
		}
		if got := f.histories(); got != 1 || f.keepers[1].histories != 1 {
			t.Errorf("budget %d: got %d histories from keepers, want 1, from the keeper of the zone", tokenBudget, got)
		}
		if got := account.Taken(); got < 250_000 || got > 250_000+slack {
			t.Errorf("budget %d: got %d bytes counted, want 250000 and at most %d more", tokenBudget, got, slack)
		}
		account.Release()
		time.Sleep(100 * time.Millisecond) // Calls end in the background.
		if got := f.budget.Used(); got != 0 {
			t.Errorf("budget %d: got %d bytes in use at the end, want 0", tokenBudget, got)
		}
	}
}

// TestHistoryBeyondMemoryIsRefused guards against a hall that reads a history for which it has
// no memory, or that takes the keepers which sent it for failed.
func TestHistoryBeyondMemoryIsRefused(t *testing.T) {
	for _, tokenBudget := range tokenBudgets {
		f := newFixture(t, 100_000, make([]byte, 200_000))
		_, account, _, err := f.begin(t, tokenBudget)
		var full *buffer.FullError
		if !errors.As(err, &full) {
			t.Errorf("budget %d: got error %v, want %T", tokenBudget, err, full)
		}
		if got := f.histories(); got != 1 {
			t.Errorf("budget %d: got %d histories from keepers, want 1", tokenBudget, got)
		}
		if !f.client.QuorumReachable() {
			t.Errorf("budget %d: got keepers that count as failed, want none", tokenBudget)
		}
		account.Release()
		time.Sleep(100 * time.Millisecond) // The reservation is settled in the background.
		if got := f.budget.Used(); got != 0 {
			t.Errorf("budget %d: got %d bytes in use at the end, want 0", tokenBudget, got)
		}
		settled := 0
		for _, keeper := range f.keepers {
			keeper.mutex.Lock()
			for _, request := range keeper.finished {
				if reservation := request.GetReservation(); reservation.GetSettled() && reservation.GetTokens() == 0 {
					settled++
				}
			}
			keeper.mutex.Unlock()
		}
		if tokenBudget > 0 && settled < 2 {
			t.Errorf("got %d reservations settled at 0 tokens, want 2 or more", settled)
		}
	}
}

// TestKeeperThatRefusesOneCallIsNotFailed guards against halls that are not ready because keepers
// answered a call with an error, and against a history that is not asked of the others.
func TestKeeperThatRefusesOneCallIsNotFailed(t *testing.T) {
	for _, test := range []struct {
		name  string
		lacks bool
		err   error
	}{
		{name: "record is gone", err: twirp.InternalError("not found")},
		{name: "no memory", err: twirp.NewError(twirp.Unavailable, "no memory")},
		{name: "lacks the turn", lacks: true},
	} {
		for _, tokenBudget := range tokenBudgets {
			f := newFixture(t, 1<<20, []byte("in"), []byte("out"))
			for _, keeper := range f.keepers[:2] {
				keeper.err, keeper.lacks = test.err, test.lacks
			}
			_, account, active, err := f.begin(t, tokenBudget)
			if err != nil || len(active.History()) != 2 {
				t.Errorf("%s, budget %d: got error %v, want the history of the third keeper", test.name, tokenBudget, err)
			}
			if !f.client.QuorumReachable() {
				t.Errorf("%s, budget %d: got keepers that count as failed, want none", test.name, tokenBudget)
			}
			account.Release()
		}
	}
}

// TestStoredTurnIsWhole guards against a turn that keepers store in another form than before, and
// against memory that counts as free while a slow keeper still receives the turn.
func TestStoredTurnIsWhole(t *testing.T) {
	f := newFixture(t, 1<<20, []byte("in"), []byte("out"))
	for _, keeper := range f.keepers {
		keeper.pause = 200 * time.Millisecond
	}
	f.keepers[0].pause = 400 * time.Millisecond
	ctx, account, active, err := f.begin(t, 1000)
	if err != nil {
		t.Fatal(err)
	}
	input, output := bytes.Repeat([]byte("i"), 100_000), bytes.Repeat([]byte("o"), 70_000)
	if err := account.Take(int64(len(input) + len(output))); err != nil {
		t.Fatal(err)
	}
	if err := f.client.Finish(ctx, active, 5, input, output); err != nil {
		t.Fatal(err)
	}
	account.Release()
	if got := f.budget.Used(); got < 170_000 {
		t.Errorf("while a keeper receives the turn: got %d bytes counted, want 170000 or more", got)
	}
	time.Sleep(400 * time.Millisecond)
	if got := f.budget.Used(); got != 0 {
		t.Errorf("got %d bytes in use at the end, want 0", got)
	}
	for index, keeper := range f.keepers {
		keeper.mutex.Lock()
		for _, got := range keeper.finished {
			got.Reservation.ExpiresUnixMilliseconds, got.Turn.ExpiresUnixMilliseconds = 0, 0
			want := &wire.FinishTurnRequest{
				Reservation: &wire.Reservation{Program: "/p", Turn: "t2", Tokens: 5, Settled: true},
				Turn:        &wire.Turn{Id: "t2", Previous: "t1", Placement: "/p", Input: input, Output: output},
			}
			if !proto.Equal(got, want) {
				t.Errorf("keeper %d: got a turn of %d bytes, want %d", index, proto.Size(got), proto.Size(want))
			}
		}
		keeper.mutex.Unlock()
	}
}

// TestSearchEndsWithoutReplies guards against requests that never end, and keep their memory,
// because no keeper replies to the search for the previous turn in time.
func TestSearchEndsWithoutReplies(t *testing.T) {
	f := newFixture(t, 1<<20)
	for _, keeper := range f.keepers {
		keeper.lacks, keeper.findPause = true, 1500*time.Millisecond
	}
	ended := make(chan error)
	const requests = 8
	for range requests {
		go func() {
			_, account, _, err := f.begin(t, 0)
			account.Release()
			ended <- err
		}()
	}
	timeout := time.After(6 * time.Second)
	for number := range requests {
		select {
		case err := <-ended:
			var unavailable *turns.UnavailableError
			if !errors.As(err, &unavailable) {
				t.Errorf("got error %v, want %T", err, unavailable)
			}
		case <-timeout:
			t.Fatalf("got %d requests that ended, want %d", number, requests)
		}
	}
	for end := time.Now().Add(3 * time.Second); f.budget.Used() != 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := f.budget.Used(); got != 0 {
		t.Errorf("got %d bytes in use after all requests, want 0", got)
	}
}

// TestTurnIsRefusedWhileTooFewKeepersAreListed guards against turns that run at a backend server
// although they can't be stored afterwards, so that their streams are broken off.
func TestTurnIsRefusedWhileTooFewKeepersAreListed(t *testing.T) {
	rule := replication.NewRule(1)
	for _, test := range []struct {
		listed int
		want   bool
	}{{0, false}, {1, false}, {2, true}} {
		var members []replication.MemberDocument
		for index := range test.listed {
			members = append(members, replication.MemberDocument{Name: fmt.Sprint(index), Zone: fmt.Sprint("zone-", index), Address: "127.0.0.1:1"})
		}
		client := turns.New(rule, "zone-0", fixedMembership{list: replication.NewMemberList(1, members)}, func() []host.Member { return nil }, network.TCP{}, buffer.NewBudget(1<<20), zap.NewNop())
		_, err := client.Begin(t.Context(), turns.Turn{ID: "t1", Program: "p", Retention: time.Minute})
		var unavailable *turns.UnavailableError
		if got := err == nil; got != test.want || (err != nil && !errors.As(err, &unavailable)) {
			t.Errorf("%d keepers listed of a quorum of %d: got error %v, want admitted %t", test.listed, rule.Quorum(), err, test.want)
		}
		client.Close()
	}
}

// TestHistoryThatJustDoesNotFit guards against a panic, and a keeper that counts as failed, when
// the memory for a history ends between its bytes and its decoded rest.
func TestHistoryThatJustDoesNotFit(t *testing.T) {
	parts := [][]byte{bytes.Repeat([]byte("in"), 50_000), bytes.Repeat([]byte("out"), 50_000)}
	refused, panics := 0, task.Panics()
	for _, tokenBudget := range tokenBudgets {
		for extra := int64(0); extra <= 400; extra += 20 {
			f := newFixture(t, 250_000+extra, parts...)
			_, account, active, err := f.begin(t, tokenBudget)
			var full *buffer.FullError
			var unavailable *turns.UnavailableError
			switch {
			case err == nil && len(active.History()) == len(parts):
			case errors.As(err, &full) && errors.As(err, &unavailable):
				refused++
			default:
				t.Errorf("budget of %d bytes more than the history: got error %v, want the history or a refusal for memory", extra, err)
			}
			if !f.client.QuorumReachable() {
				t.Errorf("budget of %d bytes more than the history: got keepers that count as failed, want none", extra)
			}
			account.Release()
		}
	}
	if refused == 0 {
		t.Error("got no refusal, want some")
	}
	if got := task.Panics() - panics; got != 0 {
		t.Errorf("got %d panics, want none", got)
	}
}

// TestSlowKeepersOfSearchAreNotFailed guards against halls that are not ready because a search
// for a history ended before the keepers that it asked last had the time of a call.
func TestSlowKeepersOfSearchAreNotFailed(t *testing.T) {
	f := newFixture(t, 1<<20, []byte("in"), []byte("out"))
	for _, keeper := range f.keepers {
		keeper.findPause = 720 * time.Millisecond
		keeper.lacks = true
	}
	f.keepers[2].lacks = false // It is asked last.
	_, account, active, err := f.begin(t, 0)
	defer account.Release()
	if err != nil || len(active.History()) != 2 {
		t.Errorf("got error %v, want the history", err)
	}
	time.Sleep(300 * time.Millisecond) // In which the other keepers' calls end.
	if !f.client.QuorumReachable() {
		t.Error("got keepers that count as failed, want none")
	}
}
