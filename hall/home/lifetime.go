package home

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/wire"
)

const (
	// openTries is how many identifiers are drawn for one that lives here.
	openTries      = 64
	releaseTimeout = time.Second
)

// Open returns the ticket of a new program, whose home is this hall if it is
// on the roster. Everything about a program without turns is in its ticket, so
// nothing is stored.
func (h *Home) Open(workspace, parent string, budget int64) *wire.ProgramState {
	id := uuid.NewString()
	for range openTries {
		if h.IsHome(id) {
			break
		}
		id = uuid.NewString()
	}
	return h.state(program.New(id, workspace, parent, budget))
}

// OpenChild sets the child's budget aside from its parent and returns the
// child. The parent keeps the loan through a change of its home.
func (h *Home) OpenChild(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	here, leave, err := h.resume(ctx, request)
	if err != nil {
		return nil, err
	}
	defer leave()
	child := h.Open(request.GetWorkspace(), request.GetProgramId(), request.GetChildBudget())
	if err := here.record.Lend(child.GetProgramId(), request.GetChildBudget()); err != nil {
		return nil, err
	}
	if _, err := h.replicate(ctx, here, here.record.Turn()); err != nil {
		here.record = nil
		return nil, err
	}
	return child, nil
}

// Describe returns the state of a program.
func (h *Home) Describe(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	here, leave, err := h.resume(ctx, request)
	if err != nil {
		return nil, err
	}
	defer leave()
	return h.state(here.record), nil
}

// End ends a program, releases its engine memory, and returns to its parent
// what it did not spend.
func (h *Home) End(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	here, leave, err := h.resume(ctx, request)
	if err != nil {
		return nil, err
	}
	defer leave()
	record := here.record
	if !record.Ended() {
		h.end(context.WithoutCancel(ctx), here)
	}
	if here.record == nil {
		return nil, failure.New(failure.CodeConflict, failure.NotRun, "program %s was moved to another home: end it again", record.ID())
	}
	return h.state(record), nil
}

// ReturnBudget takes back what was set aside for a child that has ended.
func (h *Home) ReturnBudget(ctx context.Context, request *wire.ReturnBudgetRequest) error {
	here, leave, err := h.enter(ctx, request.GetParentId())
	if err != nil {
		return err
	}
	defer leave()
	if here.record == nil || here.record.Workspace() != request.GetWorkspace() {
		return nil
	}
	if !here.record.Return(request.GetChildId(), request.GetLent(), request.GetSpent()) {
		return nil
	}
	_, err = h.replicate(ctx, here, here.record.Turn())
	return err
}

// resume enters the program of a request with its record loaded. Only
// operators come without a ticket: entries refuse callers that have none.
func (h *Home) resume(ctx context.Context, request *wire.ProgramRequest) (*resident, func(), error) {
	if request.GetTicket() == "" {
		return h.resumeForOperator(ctx, request.GetProgramId())
	}
	turn := &wire.TurnRequest{ProgramId: request.GetProgramId(), Workspace: request.GetWorkspace(), Ticket: request.GetTicket()}
	ticket, err := h.openTicket(turn)
	if err != nil {
		return nil, nil, err
	}
	here, leave, err := h.enter(ctx, request.GetProgramId())
	if err != nil {
		return nil, nil, err
	}
	if err := h.load(ctx, here, ticket); err != nil {
		leave()
		return nil, nil, err
	}
	return here, leave, nil
}

// resumeForOperator enters a program with the longest record that any hall
// holds.
func (h *Home) resumeForOperator(ctx context.Context, id string) (*resident, func(), error) {
	here, leave, err := h.enter(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	for _, found := range h.fetchAll(ctx, id) {
		if here.record == nil || found.Turn() > here.record.Turn() {
			here.record = found
		}
	}
	if here.record == nil {
		leave()
		return nil, nil, NoProgram(id)
	}
	return here, leave, nil
}

// end marks the program as over; its turn is held.
func (h *Home) end(ctx context.Context, here *resident) {
	record := here.record
	record.End()
	if _, err := h.replicate(ctx, here, record.Turn()); err != nil {
		h.Logger.Warn("program lives on at another home", zap.String("program", record.ID()), zap.Error(err))
		here.record = nil
		return
	}
	if here.vaulted {
		go h.dropFromVault(record.ID())
	}
	go h.release(record.ID(), record.Servers())
	if record.Parent() != "" {
		go h.returnBudget(record.ID(), record.Parent(), record.Workspace(), record.Budget(), record.Spent())
	}
}

// dropFromVault removes an ended program from the store.
func (h *Home) dropFromVault(id string) {
	if err := h.Vault.Drop(context.Background(), id); err != nil {
		h.Logger.Warn("ended program stays in the store", zap.String("program", id), zap.Error(err))
	}
}

// release frees the engine memory of a program that is over. A server that
// can't be reached frees it when the claim runs out.
func (h *Home) release(id string, servers []string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, server := range servers {
		limpet, found := h.Roster.Roster().Limpet(server)
		if !found {
			continue
		}
		if _, err := h.Client.Limpet(limpet.Address()).Release(ctx, &wire.ReleaseRequest{ProgramId: id}); err != nil {
			h.Logger.Warn("engine memory not released, its claim will run out", zap.String("program", id), zap.String("server", server), zap.Error(err))
		}
	}
}

// returnBudget tells the parent's home. If that fails, the parent keeps the
// whole loan set aside, which never lets it spend more than its budget.
func (h *Home) returnBudget(child, parent, workspace string, lent, spent int64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	request := &wire.ReturnBudgetRequest{ParentId: parent, ChildId: child, Workspace: workspace, Lent: lent, Spent: spent}
	home, found := host.First(parent, h.Roster.Roster().Halls())
	if !found {
		return
	}
	var err error
	if home.Name() == h.options.Identity.Name {
		err = h.ReturnBudget(ctx, request)
	} else {
		_, err = h.Client.Hall(home.Address()).ReturnBudget(ctx, request)
	}
	if err != nil {
		h.Logger.Warn("budget not returned to the parent", zap.String("program", parent), zap.String("child", child), zap.Error(err))
	}
}

func (h *Home) state(record *program.Record) *wire.ProgramState {
	return &wire.ProgramState{
		ProgramId: record.ID(), Workspace: record.Workspace(), ParentId: record.Parent(), Turn: record.Turn(),
		Budget: record.Budget(), Spent: record.Spent(), LentToChildren: record.Lent(), Ended: record.Ended(),
		Messages: int64(len(record.Messages())),
		Ticket:   program.NewTicket(record, h.placement(nil, 0), h.issuer()).Seal(h.Book),
	}
}
