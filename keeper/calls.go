package keeper

import (
	"context"
	"errors"
	"net/http"
	"path"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/wire"
)

// reservationBytes is the memory of one reservation of a program while a call is answered: in
// the reply, encoded, and stored again with a later expiry.
const reservationBytes = 1 << 10

// storedCopies is how often records are in memory while they are stored, beside what is counted
// for the message: decoded, encoded, and in the database's batch, of which the message's bytes
// make room for one.
const storedCopies = 1

// priorityOf returns the priority of a call. Finished turns have run already, and other keepers
// repeat what they copy.
func priorityOf(r *http.Request) buffer.Priority {
	switch path.Base(r.URL.Path) {
	case "Finish", "Identify":
		return buffer.PriorityFinished
	case "Copy", "Take", "Fetch":
		return buffer.PriorityNew
	default:
		return buffer.PriorityRunning
	}
}

// callError returns the error with which a call is refused that finds no memory. Other errors
// are returned unchanged.
func callError(err error) error {
	var full *ledger.IndexFullError
	if errors.As(err, &full) {
		return twirp.NewError(twirp.Unavailable, full.Error())
	}
	return buffer.CallError(err)
}

// Begin implements wire.Keeper. Calls from halls are answered by historyHandler instead, which
// does not keep the history in memory.
func (k *Keeper) Begin(ctx context.Context, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	reply, history, err := k.begin(ctx, request)
	if err != nil || history == nil {
		return reply, err
	}
	if err := buffer.FromContext(ctx).Take(2 * int64(history.Size())); err != nil {
		return nil, callError(err)
	}
	reply.History, err = history.Reply()
	return reply, err
}

// begin reserves what a turn needs. A hall that selected its keepers by an older list
// gets the current list instead of a reservation, so that any two quorums in use
// intersect. A hall with a newer list is asked for its members.
func (k *Keeper) begin(ctx context.Context, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, *ledger.History, error) {
	if err := k.takeForBegin(buffer.FromContext(ctx), request); err != nil {
		return nil, nil, callError(err)
	}
	requested := request.GetKeepers()
	if len(requested.GetKeepers()) > 0 {
		k.membership.Adopt(replication.MemberListFromWire(requested))
	}
	list := k.membership.List()
	switch {
	case requested.GetDigest() == list.Digest():
	case requested.GetStoreRevision() < list.Revision():
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_STALE_LIST, Keepers: list.ToWire(true)}, nil, nil
	default:
		// By the hall's list this keeper may be a replica whose records it has not copied.
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_NOT_READY, Keepers: list.ToWire(false)}, nil, nil
	}
	reply, history, err := k.ledger.BeginTurn(time.Now(), request)
	if err != nil {
		return nil, nil, callError(err)
	}
	if current := k.membership.List(); current.Digest() != list.Digest() {
		// The records may have been copied by the changed list before the reservation was made.
		return &wire.BeginTurnReply{Verdict: wire.BeginVerdict_BEGIN_VERDICT_STALE_LIST, Keepers: current.ToWire(true)}, nil, nil
	}
	return reply, history, nil
}

// takeForBegin takes the memory that a turn needs here before anything is reserved for it. A
// program that has not begun leaves memory to those that have.
func (k *Keeper) takeForBegin(account *buffer.Account, request *wire.BeginTurnRequest) error {
	reservations := k.ledger.ReservationCount(request.GetReservation().GetProgram())
	size := int64(reservations) * reservationBytes
	if request.GetPrevious() == "" && reservations == 0 {
		account.SetPriority(buffer.PriorityNew)
	}
	if request.GetPrevious() != "" && request.GetWantHistory() {
		size += k.ledger.History(request.GetPrevious(), request.GetWorkspace()).Memory()
	}
	return account.Take(size)
}

// Finish implements wire.Keeper.
func (k *Keeper) Finish(ctx context.Context, request *wire.FinishTurnRequest) (*wire.FinishTurnReply, error) {
	started := time.Now()
	err := buffer.FromContext(ctx).Take(storedCopies * int64(proto.Size(request.GetTurn())))
	if err == nil {
		err = k.ledger.Finish(started, request)
	}
	k.instruments.record(ctx, "finish", "stored", started, err)
	return &wire.FinishTurnReply{}, callError(err)
}

// Find implements wire.Keeper. Calls from halls are answered by historyHandler instead.
func (k *Keeper) Find(ctx context.Context, request *wire.FindTurnRequest) (*wire.FindTurnReply, error) {
	history := k.ledger.History(request.GetTurn(), request.GetWorkspace())
	if err := buffer.FromContext(ctx).Take(2*int64(history.Size()) + history.Memory()); err != nil {
		return nil, callError(err)
	}
	return history.Reply()
}

// Copy implements wire.Keeper. The caller's list is adopted first if it is newer:
// reservations that are missing from the copy are then made by the newer list.
func (k *Keeper) Copy(ctx context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	list := replication.MemberListFromWire(request.GetKeepers())
	k.membership.Adopt(list)
	var wanted [replication.GroupCount]bool
	for _, group := range request.GetGroups() {
		wanted[group%replication.GroupCount] = true
	}
	selection := k.ledger.SelectPage(request.GetAfter(), func(placement string) bool { return wanted[replication.GroupOf(placement)] })
	if err := buffer.FromContext(ctx).Take(k.pageMemory(sentCopies, int64(selection.Size()))); err != nil {
		return nil, callError(err)
	}
	return selection.Read()
}

// Take implements wire.Keeper.
func (k *Keeper) Take(ctx context.Context, page *wire.CopyReply) (*wire.Empty, error) {
	if err := buffer.FromContext(ctx).Take(k.pageMemory(storedCopies, int64(proto.Size(page)))); err != nil {
		return nil, callError(err)
	}
	return &wire.Empty{}, callError(k.ledger.Merge(time.Now(), page))
}

// Identify implements wire.Keeper.
func (k *Keeper) Identify(context.Context, *wire.Empty) (*wire.KeeperEntry, error) {
	return &wire.KeeperEntry{Name: k.options.Name, Zone: k.options.Zone, Address: k.address()}, nil
}
