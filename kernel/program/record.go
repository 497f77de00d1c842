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

// digestBytes is the length of a turn's digest.
const digestBytes = 16

// Position tells how a ticket relates to a record.
type Position int

// The positions of a ticket.
const (
	// PositionNext asks for the turn after the newest one.
	PositionNext Position = iota
	// PositionRepeat asks again for the newest turn.
	PositionRepeat
	// PositionBehind is older than the newest turn's predecessor.
	PositionBehind
	// PositionAhead proves turns that the record lacks.
	PositionAhead
	// PositionForeign belongs to another history.
	PositionForeign
)

// Record is the whole state of one program. It is not safe for concurrent use.
type Record struct {
	record   *wire.ProgramRecord
	reserved int64
}

// New returns a program without turns. Budget is in tokens.
func New(id, workspace, parent string, budget int64) *Record {
	return &Record{record: &wire.ProgramRecord{ProgramId: id, Workspace: workspace, ParentId: parent, Budget: budget}}
}

// FromWire returns the record of a stored form, which it takes over.
func FromWire(stored *wire.ProgramRecord) *Record {
	return &Record{record: stored}
}

// ToWire returns the stored form of the turns from the given one on. It
// shares the turns with the record; these are never changed.
func (r *Record) ToWire(from uint64) *wire.ProgramRecord {
	part := &wire.ProgramRecord{
		ProgramId: r.record.GetProgramId(), Workspace: r.record.GetWorkspace(), ParentId: r.record.GetParentId(),
		Budget: r.record.GetBudget(), LentToChildren: r.record.GetLentToChildren(), Ended: r.record.GetEnded(),
		Servers: r.record.GetServers(), Version: r.record.GetVersion(), FirstTurn: from, Spent: r.record.GetSpent(),
		Children: r.record.GetChildren(),
	}
	for _, turn := range r.record.GetTurns() {
		if turn.GetTurn() >= from {
			part.Turns = append(part.Turns, turn)
		}
	}
	return part
}

// ID returns the identifier.
func (r *Record) ID() string { return r.record.GetProgramId() }

// Workspace returns the workspace that owns the program.
func (r *Record) Workspace() string { return r.record.GetWorkspace() }

// Parent returns the parent's identifier, empty for none.
func (r *Record) Parent() string { return r.record.GetParentId() }

// Budget returns the tokens that the program and its children may spend.
func (r *Record) Budget() int64 { return r.record.GetBudget() }

// Spent returns the tokens spent, those of ended children included.
func (r *Record) Spent() int64 { return r.record.GetSpent() }

// Lent returns the tokens set aside for running children.
func (r *Record) Lent() int64 { return r.record.GetLentToChildren() }

// Ended reports whether the program is over.
func (r *Record) Ended() bool { return r.record.GetEnded() }

// Version grows with every change of the record, turns or not.
func (r *Record) Version() int64 { return r.record.GetVersion() }

// Servers returns the backend servers that may hold memory for the program.
func (r *Record) Servers() []string { return r.record.GetServers() }

// Turn returns the number of finished turns.
func (r *Record) Turn() uint64 {
	return uint64(len(r.record.GetTurns()))
}

// Digest returns the digest of the newest turn, empty before the first.
func (r *Record) Digest() []byte {
	return r.last().GetDigest()
}

// DigestAt returns the digest of a turn, empty for turn zero.
func (r *Record) DigestAt(turn uint64) []byte {
	if turn == 0 || turn > r.Turn() {
		return nil
	}
	return r.record.GetTurns()[turn-1].GetDigest()
}

// TurnAfter returns the turn that follows the given number, nil if there is
// none.
func (r *Record) TurnAfter(turn uint64) *wire.TurnRecord {
	if turn >= r.Turn() {
		return nil
	}
	return r.record.GetTurns()[turn]
}

// Last returns the newest turn, nil before the first.
func (r *Record) Last() *wire.TurnRecord { return r.last() }

// Messages returns the history in order: what was asked and answered.
func (r *Record) Messages() [][]byte {
	var messages [][]byte
	for _, turn := range r.record.GetTurns() {
		messages = append(messages, turn.GetMessages()...)
		if len(turn.GetAnswer()) > 0 {
			messages = append(messages, turn.GetAnswer())
		}
	}
	return messages
}

// Locate tells how a ticket relates to the record.
func (r *Record) Locate(ticket Ticket) Position {
	switch {
	case ticket.Turn() > r.Turn():
		return PositionAhead
	case !bytes.Equal(ticket.Digest(), r.DigestAt(ticket.Turn())):
		return PositionForeign
	case ticket.Turn() == r.Turn():
		return PositionNext
	case ticket.Turn()+1 == r.Turn():
		return PositionRepeat
	default:
		return PositionBehind
	}
}

// Extends reports whether the record contains all turns of the other one.
func (r *Record) Extends(other *Record) bool {
	return r.Turn() >= other.Turn() && bytes.Equal(r.DigestAt(other.Turn()), other.Digest())
}

// Remaining returns the tokens that are neither spent, reserved nor lent.
func (r *Record) Remaining() int64 {
	return r.Budget() - r.Spent() - r.reserved - r.Lent()
}

// Reserve sets aside the prompt and up to maxTokens of answer. It returns how
// many tokens the answer may have, at least one, or a budgetSpent failure.
func (r *Record) Reserve(promptTokens, maxTokens int64) (int64, error) {
	if r.Ended() {
		return 0, failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended: open another one", r.ID())
	}
	left := r.Remaining() - promptTokens
	if left < 1 {
		return 0, failure.New(failure.CodeBudgetSpent, failure.NotRun,
			"program %s has %d of %d tokens left and this call needs %d for its prompt alone", r.ID(), r.Remaining(), r.Budget(), promptTokens)
	}
	granted := min(maxTokens, left)
	r.reserved += promptTokens + granted
	return granted, nil
}

// Settle replaces a reservation by what was used.
func (r *Record) Settle(reserved, used int64) {
	r.reserved -= reserved
	r.record.Spent += used
}

// Lend sets tokens aside for a child.
func (r *Record) Lend(child string, tokens int64) error {
	if r.Ended() {
		return failure.New(failure.CodeProgramEnded, failure.NotRun, "program %s has ended: it can't have a child", r.ID())
	}
	if tokens < 1 || tokens > r.Remaining() {
		return failure.New(failure.CodeBudgetSpent, failure.NotRun, "program %s has %d tokens left, the child asks for %d", r.ID(), r.Remaining(), tokens)
	}
	r.record.LentToChildren += tokens
	r.record.Children = append(append([]string{}, r.record.GetChildren()...), child)
	r.record.Version++
	return nil
}

// Return takes back what was lent to a child and counts what it spent. It
// reports false, changing nothing, if the child has returned its loan before.
func (r *Record) Return(child string, lent, spent int64) bool {
	index := slices.Index(r.record.GetChildren(), child)
	if index < 0 {
		return false
	}
	r.record.Children = slices.Delete(slices.Clone(r.record.GetChildren()), index, index+1)
	r.record.LentToChildren = max(0, r.record.GetLentToChildren()-lent)
	r.record.Spent += spent
	r.record.Version++
	return true
}

// Append adds the next turn. It sets the turn's number, digest and total
// spent.
func (r *Record) Append(turn *wire.TurnRecord, server string) {
	turn.Turn = r.Turn() + 1
	turn.Spent = r.Spent()
	turn.Digest = digestOf(r.Digest(), turn)
	r.record.Turns = append(r.record.Turns, turn)
	r.record.Version++
	r.addServer(server)
}

// End marks the program as over.
func (r *Record) End() {
	r.record.Ended = true
	r.record.Version++
}

// Bytes returns the size of the stored form.
func (r *Record) Bytes() int { return proto.Size(r.record) }

func (r *Record) addServer(server string) {
	if server == "" {
		return
	}
	if slices.Contains(r.record.GetServers(), server) {
		return
	}
	// A new slice, since ToWire shares the old one.
	r.record.Servers = append(append([]string{}, r.record.GetServers()...), server)
}

func (r *Record) last() *wire.TurnRecord {
	turns := r.record.GetTurns()
	if len(turns) == 0 {
		return nil
	}
	return turns[len(turns)-1]
}

// RequestDigest returns the digest of what a turn asks, by which a repetition
// is told from a different request with the same ticket.
func RequestDigest(parts ...[]byte) []byte {
	digest := sha256.New()
	for _, part := range parts {
		writePart(digest, part)
	}
	return digest.Sum(nil)[:digestBytes]
}

func digestOf(previous []byte, turn *wire.TurnRecord) []byte {
	digest := sha256.New()
	writePart(digest, previous)
	writePart(digest, turn.GetRequestDigest())
	writePart(digest, turn.GetAnswer())
	writePart(digest, turn.GetServiceBody())
	writePart(digest, []byte(turn.GetFailure().GetCode()))
	return digest.Sum(nil)[:digestBytes]
}

type writer interface{ Write([]byte) (int, error) }

// writePart writes a length before each part, so that parts can't be shifted
// against each other.
func writePart(digest writer, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(part)
}
