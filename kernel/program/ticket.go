// Package program holds the state of agent programs: their turns, history and
// budget, and the tickets by which callers prove how far they have come.
//
// A Record is the whole of one program. Each turn has a digest that covers the
// turn before, so a ticket of a few bytes tells a stale copy from a whole one.
// An Archive keeps copies of records for other halls.
//
// # Usage
//
//	record := program.New(id, workspace, parent, budget)
//	err := record.Check(ticket)
//	reserved, err := record.Reserve(promptTokens, maxTokens)
//	record.Append(turn)
//	text := program.SealTicket(book, record.Ticket(...))
package program

import (
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

// Ticket proves how far a program has come.
type Ticket struct {
	ticket *wire.Ticket
}

// Issuer names the hall that gives a ticket: its name, incarnation, and the
// number of its registration on the roster.
type Issuer struct {
	hall        string
	incarnation uint64
	epoch       uint64
}

// NewIssuer returns an issuer.
func NewIssuer(hall string, incarnation, epoch uint64) Issuer {
	return Issuer{hall: hall, incarnation: incarnation, epoch: epoch}
}

// Placement says how the program's next non-idempotent call finds its server:
// the roster by its digest, the servers that are passed over, and how often
// the turn was told not to have run. Every hall that holds the ticket places
// the call on the same server under the same identifier.
type Placement struct {
	roster   uint64
	excluded []string
	attempt  uint64
}

// NewPlacement returns a placement.
func NewPlacement(roster uint64, excluded []string, attempt uint64) Placement {
	return Placement{roster: roster, excluded: excluded, attempt: attempt}
}

// Roster returns the digest of the roster.
func (p Placement) Roster() uint64 { return p.roster }

// Excluded returns the servers that are passed over.
func (p Placement) Excluded() []string { return p.excluded }

// Attempt returns how often the next turn was told not to have run.
func (p Placement) Attempt() uint64 { return p.attempt }

// NewTicket returns the ticket for a record after its newest turn.
func NewTicket(record *Record, placement Placement, issuer Issuer) Ticket {
	return Ticket{ticket: &wire.Ticket{
		ProgramId: record.ID(), Turn: record.Turn(), Digest: record.Digest(), Spent: record.Spent(),
		Placement: placement.roster, Excluded: placement.excluded, Attempt: placement.attempt,
		Hall: issuer.hall, Incarnation: issuer.incarnation, Epoch: issuer.epoch,
		Workspace: record.Workspace(), ParentId: record.Parent(), Budget: record.Budget(),
	}}
}

// At returns the ticket as it stood after an earlier turn.
func (t Ticket) At(turn *wire.TurnRecord) Ticket {
	earlier := proto.CloneOf(t.ticket)
	earlier.Turn = turn.GetTurn()
	earlier.Digest = turn.GetDigest()
	earlier.Spent = turn.GetSpent()
	return Ticket{ticket: earlier}
}

// OpenTicket reads a sealed ticket. It reports false for one that was not
// issued by this system.
func OpenTicket(book *secret.Book, text string) (Ticket, bool) {
	payload, ok := book.Open(text)
	if !ok {
		return Ticket{}, false
	}
	read := &wire.Ticket{}
	if err := proto.Unmarshal(payload, read); err != nil {
		return Ticket{}, false
	}
	return Ticket{ticket: read}, true
}

// Seal returns the text for the caller.
func (t Ticket) Seal(book *secret.Book) string {
	payload, err := proto.Marshal(t.ticket)
	if err != nil {
		return ""
	}
	return book.Seal(payload)
}

// Program returns the program's identifier.
func (t Ticket) Program() string { return t.ticket.GetProgramId() }

// Workspace returns the workspace that owns the program.
func (t Ticket) Workspace() string { return t.ticket.GetWorkspace() }

// Fresh returns the record of a program that has no turns yet. All of it is in
// the ticket, so opening a program stores nothing anywhere.
func (t Ticket) Fresh() *Record {
	return New(t.ticket.GetProgramId(), t.ticket.GetWorkspace(), t.ticket.GetParentId(), t.ticket.GetBudget())
}

// Turn returns the number of finished turns.
func (t Ticket) Turn() uint64 { return t.ticket.GetTurn() }

// Digest returns the digest of the newest finished turn.
func (t Ticket) Digest() []byte { return t.ticket.GetDigest() }

// Spent returns the tokens spent so far.
func (t Ticket) Spent() int64 { return t.ticket.GetSpent() }

// Placement returns how the next non-idempotent call is placed.
func (t Ticket) Placement() Placement {
	return NewPlacement(t.ticket.GetPlacement(), t.ticket.GetExcluded(), t.ticket.GetAttempt())
}

// IssuedBy reports whether this very issuer gave the ticket.
func (t Ticket) IssuedBy(issuer Issuer) bool {
	return t.ticket.GetHall() == issuer.hall && t.ticket.GetIncarnation() == issuer.incarnation && t.ticket.GetEpoch() == issuer.epoch
}
