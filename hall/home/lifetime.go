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
	// maxIDAttempts limits the random identifiers generated to find one whose
	// home is this hall.
	maxIDAttempts  = 64
	cleanupTimeout = time.Second
)

// Open creates a program whose home is this hall, if the hall is on the roster.
// Nothing is stored: the ticket contains the whole state of a program without
// turns.
func (h *Home) Open(workspace, parent string, budget int64) *wire.ProgramState {
	id := uuid.NewString()
	for range maxIDAttempts {
		if h.IsHome(id) {
			break
		}
		id = uuid.NewString()
	}
	return h.programState(program.New(id, workspace, parent, budget))
}

// OpenChild lends a part of the parent's budget to a new child program and
// returns the child. The loan is replicated with the parent's record, so it
// survives a change of the parent's home.
func (h *Home) OpenChild(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	hosted, release, err := h.acquireWithRecord(ctx, request)
	if err != nil {
		return nil, err
	}
	defer release()
	child := h.Open(request.GetWorkspace(), request.GetProgramId(), request.GetChildBudget())
	if err := hosted.record.Lend(child.GetProgramId(), request.GetChildBudget()); err != nil {
		return nil, err
	}
	if _, err := h.replicate(ctx, hosted, hosted.record.TurnCount()); err != nil {
		hosted.record = nil
		return nil, err
	}
	return child, nil
}

// Describe returns the state of a program.
func (h *Home) Describe(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	hosted, release, err := h.acquireWithRecord(ctx, request)
	if err != nil {
		return nil, err
	}
	defer release()
	return h.programState(hosted.record), nil
}

// End ends a program, releases its engine memory, and returns the unspent budget
// to its parent.
func (h *Home) End(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	hosted, release, err := h.acquireWithRecord(ctx, request)
	if err != nil {
		return nil, err
	}
	defer release()
	record := hosted.record
	if !record.Ended() {
		h.endProgram(context.WithoutCancel(ctx), hosted)
	}
	if hosted.record == nil {
		return nil, failure.New(failure.CodeConflict, failure.NotRun, "program %s moved to another home hall; send the end request again", record.ID())
	}
	return h.programState(record), nil
}

// ReturnBudget takes back the budget lent to a child that has ended. It does
// nothing if this hall does not hold the parent's record or the loan is already
// returned.
func (h *Home) ReturnBudget(ctx context.Context, request *wire.ReturnBudgetRequest) error {
	hosted, release, err := h.acquire(ctx, request.GetParentId())
	if err != nil {
		return err
	}
	defer release()
	if hosted.record == nil || hosted.record.Workspace() != request.GetWorkspace() {
		return nil
	}
	if !hosted.record.ReturnLoan(request.GetChildId(), request.GetLent(), request.GetSpent()) {
		return nil
	}
	_, err = h.replicate(ctx, hosted, hosted.record.TurnCount())
	return err
}

// acquireWithRecord locks the program of a request and loads its record. Only
// operators send requests without a ticket: the public API refuses them.
func (h *Home) acquireWithRecord(ctx context.Context, request *wire.ProgramRequest) (*hostedProgram, func(), error) {
	if request.GetTicket() == "" {
		return h.acquireForOperator(ctx, request.GetProgramId())
	}
	turnRequest := &wire.TurnRequest{ProgramId: request.GetProgramId(), Workspace: request.GetWorkspace(), Ticket: request.GetTicket()}
	ticket, err := h.openTicket(turnRequest)
	if err != nil {
		return nil, nil, err
	}
	hosted, release, err := h.acquire(ctx, request.GetProgramId())
	if err != nil {
		return nil, nil, err
	}
	if err := h.loadRecord(ctx, hosted, ticket); err != nil {
		release()
		return nil, nil, err
	}
	return hosted, release, nil
}

// acquireForOperator locks a program and loads the record with the most turns
// that any hall holds.
func (h *Home) acquireForOperator(ctx context.Context, id string) (*hostedProgram, func(), error) {
	hosted, release, err := h.acquire(ctx, id)
	if err != nil {
		return nil, nil, err
	}
	for _, replica := range h.fetchReplicas(ctx, id) {
		if hosted.record == nil || replica.TurnCount() > hosted.record.TurnCount() {
			hosted.record = replica
		}
	}
	if hosted.record == nil {
		release()
		return nil, nil, newNotFoundError(id)
	}
	return hosted, release, nil
}

// endProgram marks the program as ended and starts the cleanup. The caller holds
// the program's lock.
func (h *Home) endProgram(ctx context.Context, hosted *hostedProgram) {
	record := hosted.record
	record.End()
	if _, err := h.replicate(ctx, hosted, record.TurnCount()); err != nil {
		h.Logger.Warn("program not ended: another hall holds a newer record", zap.String("program", record.ID()), zap.Error(err))
		hosted.record = nil
		return
	}
	if hosted.inStore {
		go h.deleteStoredRecord(record.ID())
	}
	go h.releaseEngineMemory(record.ID(), record.Servers())
	if record.ParentID() != "" {
		go h.returnBudget(record.ID(), record.ParentID(), record.Workspace(), record.Budget(), record.Spent())
	}
}

// deleteStoredRecord deletes an ended program from the key-value store.
func (h *Home) deleteStoredRecord(id string) {
	if err := h.Records.Delete(context.Background(), id); err != nil {
		h.Logger.Warn("failed to delete ended program from the key-value store", zap.String("program", id), zap.Error(err))
	}
}

// releaseEngineMemory frees the engine memory of an ended program. A server that
// can't be reached frees the memory when the pin expires.
func (h *Home) releaseEngineMemory(id string, servers []string) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for _, server := range servers {
		limpet, found := h.Roster.Roster().Limpet(server)
		if !found {
			continue
		}
		if _, err := h.Client.Limpet(limpet.Address()).Release(ctx, &wire.ReleaseRequest{ProgramId: id}); err != nil {
			h.Logger.Warn("failed to release engine memory; it is freed when its pin expires", zap.String("program", id), zap.String("server", server), zap.Error(err))
		}
	}
}

// returnBudget returns the unspent budget to the parent's home. If that fails,
// the parent keeps the whole loan set aside, so it still can't overspend its
// budget.
func (h *Home) returnBudget(child, parent, workspace string, lent, spent int64) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	request := &wire.ReturnBudgetRequest{ParentId: parent, ChildId: child, Workspace: workspace, Lent: lent, Spent: spent}
	parentHome, found := host.TopMember(parent, h.Roster.Roster().Halls())
	if !found {
		return
	}
	var err error
	if parentHome.Name() == h.options.Identity.Name {
		err = h.ReturnBudget(ctx, request)
	} else {
		_, err = h.Client.Hall(parentHome.Address()).ReturnBudget(ctx, request)
	}
	if err != nil {
		h.Logger.Warn("failed to return budget to the parent program", zap.String("program", parent), zap.String("child", child), zap.Error(err))
	}
}

func (h *Home) programState(record *program.Record) *wire.ProgramState {
	return &wire.ProgramState{
		ProgramId: record.ID(), Workspace: record.Workspace(), ParentId: record.ParentID(), Turn: record.TurnCount(),
		Budget: record.Budget(), Spent: record.Spent(), LentToChildren: record.Lent(), Ended: record.Ended(),
		Messages: int64(len(record.Messages())),
		Ticket:   program.NewTicket(record, h.placement(nil, 0), h.issuer()).Seal(h.Keyring),
	}
}
