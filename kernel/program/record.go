package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// digestSize is the length of a digest in bytes.
const digestSize = 16

// Position is the position of a ticket relative to a record.
type Position int

// The positions of a ticket.
const (
	// PositionNext is the position of a ticket for the turn after the last one.
	PositionNext Position = iota
	// PositionRepeat is the position of a ticket that the last turn was run with.
	PositionRepeat
	// PositionBehind is the position of a ticket older than that.
	PositionBehind
	// PositionAhead is the position of a ticket with turns that the record lacks.
	PositionAhead
	// PositionDiverged is the position of a ticket of a different history.
	PositionDiverged
)

// Record is the complete state of a program. It is not safe for concurrent use.
type Record struct {
	data           *wire.ProgramRecord
	reservedTokens int64
}

// New returns the record of a program without turns. The budget is in tokens.
func New(id, workspace, parentID string, budget int64) *Record {
	return &Record{data: &wire.ProgramRecord{ProgramId: id, Workspace: workspace, ParentId: parentID, Budget: budget}}
}

// FromWire returns a record for its wire form, which the record takes ownership
// of.
func FromWire(stored *wire.ProgramRecord) *Record {
	return &Record{data: stored}
}

// ToWire returns the wire form of the record with the turns from fromTurn on. It
// shares the turns with the record, which are never modified.
func (r *Record) ToWire(fromTurn uint64) *wire.ProgramRecord {
	partial := &wire.ProgramRecord{
		ProgramId: r.data.GetProgramId(), Workspace: r.data.GetWorkspace(), ParentId: r.data.GetParentId(),
		Budget: r.data.GetBudget(), LentToChildren: r.data.GetLentToChildren(), Ended: r.data.GetEnded(),
		Servers: r.data.GetServers(), Version: r.data.GetVersion(), FirstTurn: fromTurn, Spent: r.data.GetSpent(),
		Children: r.data.GetChildren(),
	}
	for _, turn := range r.data.GetTurns() {
		if turn.GetTurn() >= fromTurn {
			partial.Turns = append(partial.Turns, turn)
		}
	}
	return partial
}

// ID returns the program's identifier.
func (r *Record) ID() string { return r.data.GetProgramId() }

// Workspace returns the workspace that owns the program.
func (r *Record) Workspace() string { return r.data.GetWorkspace() }

// ParentID returns the identifier of the parent program, empty if there is none.
func (r *Record) ParentID() string { return r.data.GetParentId() }

// Budget returns the tokens that the program and its children may spend.
func (r *Record) Budget() int64 { return r.data.GetBudget() }

// Spent returns the tokens spent, including those of children that have returned
// their loan.
func (r *Record) Spent() int64 { return r.data.GetSpent() }

// Lent returns the tokens lent to children.
func (r *Record) Lent() int64 { return r.data.GetLentToChildren() }

// Ended reports whether the program has ended.
func (r *Record) Ended() bool { return r.data.GetEnded() }

// Version returns the version of the record, which increases with each turn, each
// change of its loans and the end of the program.
func (r *Record) Version() int64 { return r.data.GetVersion() }

// Servers returns the backend servers that may hold engine memory for the program.
func (r *Record) Servers() []string { return r.data.GetServers() }

// TurnCount returns the number of finished turns.
func (r *Record) TurnCount() uint64 {
	return uint64(len(r.data.GetTurns()))
}

// Digest returns the digest of the last turn, empty if there is none.
func (r *Record) Digest() []byte {
	return r.lastTurn().GetDigest()
}

// DigestAt returns the digest of the turn with the given number, empty if there
// is none.
func (r *Record) DigestAt(turn uint64) []byte {
	if turn == 0 || turn > r.TurnCount() {
		return nil
	}
	return r.data.GetTurns()[turn-1].GetDigest()
}

// TurnAfter returns the turn after the one with the given number, nil if there is
// none.
func (r *Record) TurnAfter(turn uint64) *wire.TurnRecord {
	if turn >= r.TurnCount() {
		return nil
	}
	return r.data.GetTurns()[turn]
}

// LastTurn returns the last turn, nil if there is none.
func (r *Record) LastTurn() *wire.TurnRecord { return r.lastTurn() }

// Messages returns the messages and answers of all turns in order.
func (r *Record) Messages() [][]byte {
	var messages [][]byte
	for _, turn := range r.data.GetTurns() {
		messages = append(messages, turn.GetMessages()...)
		if len(turn.GetAnswer()) > 0 {
			messages = append(messages, turn.GetAnswer())
		}
	}
	return messages
}

// Compare returns the position of a ticket relative to the record.
func (r *Record) Compare(ticket Ticket) Position {
	switch {
	case ticket.Turn() > r.TurnCount():
		return PositionAhead
	case !bytes.Equal(ticket.Digest(), r.DigestAt(ticket.Turn())):
		return PositionDiverged
	case ticket.Turn() == r.TurnCount():
		return PositionNext
	case ticket.Turn()+1 == r.TurnCount():
		return PositionRepeat
	default:
		return PositionBehind
	}
}

// Extends reports whether the record contains all turns of the other record.
func (r *Record) Extends(other *Record) bool {
	return r.TurnCount() >= other.TurnCount() && bytes.Equal(r.DigestAt(other.TurnCount()), other.Digest())
}

// Remaining returns the tokens of the budget that are neither spent, reserved nor
// lent.
func (r *Record) Remaining() int64 {
	return r.Budget() - r.Spent() - r.reservedTokens - r.Lent()
}

// Reserve reserves the tokens of a prompt and up to maxTokens for the answer. It
// returns the number of tokens granted to the answer, which is at least one, or a
// budgetSpent failure.
func (r *Record) Reserve(promptTokens, maxTokens int64) (int64, error) {
	if r.Ended() {
		return 0, failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended; open a new program", r.ID())
	}
	available := r.Remaining() - promptTokens
	if available < 1 {
		return 0, failure.New(failure.CodeBudgetSpent, failure.NotRun,
			"program %s has %d of %d tokens left, but the prompt of this call alone needs %d", r.ID(), r.Remaining(), r.Budget(), promptTokens)
	}
	grantedTokens := min(maxTokens, available)
	r.reservedTokens += promptTokens + grantedTokens
	return grantedTokens, nil
}

// Settle replaces a reservation by the tokens that were used.
func (r *Record) Settle(reserved, used int64) {
	r.reservedTokens -= reserved
	r.data.Spent += used
}

// Lend lends a part of the budget to a child program.
func (r *Record) Lend(childID string, tokens int64) error {
	if r.Ended() {
		return failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended; it cannot open a child program", r.ID())
	}
	if tokens < 1 || tokens > r.Remaining() {
		return failure.New(failure.CodeBudgetSpent, failure.NotRun, "program %s has %d tokens left, but the child program requests %d", r.ID(), r.Remaining(), tokens)
	}
	r.data.LentToChildren += tokens
	r.data.Children = append(append([]string{}, r.data.GetChildren()...), childID)
	r.data.Version++
	return nil
}

// ReturnLoan takes back the loan of a child and adds the tokens that the child
// spent to those of the program. If the child has no loan, for example because it
// has already returned it, ReturnLoan changes nothing and returns false.
func (r *Record) ReturnLoan(childID string, lent, spent int64) bool {
	index := slices.Index(r.data.GetChildren(), childID)
	if index < 0 {
		return false
	}
	r.data.Children = slices.Delete(slices.Clone(r.data.GetChildren()), index, index+1)
	r.data.LentToChildren = max(0, r.data.GetLentToChildren()-lent)
	r.data.Spent += spent
	r.data.Version++
	return true
}

// Append appends a turn and sets its number, its digest and the total of tokens
// spent. The server is the one that may hold engine memory for the program.
func (r *Record) Append(turn *wire.TurnRecord, server string) {
	turn.Turn = r.TurnCount() + 1
	turn.Spent = r.Spent()
	turn.Digest = turnDigest(r.Digest(), turn)
	r.data.Turns = append(r.data.Turns, turn)
	r.data.Version++
	r.addServer(server)
}

// End marks the program as ended.
func (r *Record) End() {
	r.data.Ended = true
	r.data.Version++
}

// EncodedSize returns the encoded size of the record in bytes.
func (r *Record) EncodedSize() int { return proto.Size(r.data) }

func (r *Record) addServer(server string) {
	if server == "" {
		return
	}
	if slices.Contains(r.data.GetServers(), server) {
		return
	}
	// Append to a copy, because wire forms returned by ToWire share the slice.
	r.data.Servers = append(append([]string{}, r.data.GetServers()...), server)
}

func (r *Record) lastTurn() *wire.TurnRecord {
	turns := r.data.GetTurns()
	if len(turns) == 0 {
		return nil
	}
	return turns[len(turns)-1]
}

// RequestDigest returns a digest of the content of a request. It distinguishes a
// repeated request from a different request with the same ticket.
func RequestDigest(parts ...[]byte) []byte {
	digest := sha256.New()
	for _, part := range parts {
		writeLengthPrefixed(digest, part)
	}
	return digest.Sum(nil)[:digestSize]
}

// turnDigest returns the digest of a turn. It includes the digest of the previous
// turn, so it identifies the whole history up to the turn.
func turnDigest(previousDigest []byte, turn *wire.TurnRecord) []byte {
	digest := sha256.New()
	writeLengthPrefixed(digest, previousDigest)
	writeLengthPrefixed(digest, turn.GetRequestDigest())
	writeLengthPrefixed(digest, turn.GetAnswer())
	writeLengthPrefixed(digest, turn.GetServiceBody())
	writeLengthPrefixed(digest, []byte(turn.GetFailure().GetCode()))
	return digest.Sum(nil)[:digestSize]
}

type byteWriter interface{ Write([]byte) (int, error) }

// writeLengthPrefixed writes a part with its length in front, so that different
// lists of parts can't have the same concatenation.
func writeLengthPrefixed(digest byteWriter, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(part)
}
