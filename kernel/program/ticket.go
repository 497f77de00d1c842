// Package program implements the state of agent programs: their turns, history
// and budget, and the tickets with which callers prove which turn they have
// reached.
//
// A Record is the complete state of a program. The digest of each turn includes
// the digest of the previous turn, so a ticket of a few bytes is sufficient to
// detect a stale replica. A ReplicaStore stores replicas of records for other
// halls.
//
// # Usage
//
//	record := program.New(id, workspace, parentID, budget)
//	position := record.Compare(ticket)
//	grantedTokens, err := record.Reserve(promptTokens, maxTokens)
//	record.Settle(promptTokens+grantedTokens, usedTokens)
//	record.Append(turn, server)
//	sealed := program.NewTicket(record, placement, issuer).Seal(keyring)
package program

import (
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

// Ticket identifies the last turn of a program that its holder knows. Callers
// receive it sealed and present it with the next call.
type Ticket struct {
	data *wire.Ticket
}

// Issuer identifies the hall that issues a ticket by its name, its incarnation and
// its registration epoch on the roster.
type Issuer struct {
	hall        string
	incarnation uint64
	epoch       uint64
}

// NewIssuer returns an issuer.
func NewIssuer(hall string, incarnation, epoch uint64) Issuer {
	return Issuer{hall: hall, incarnation: incarnation, epoch: epoch}
}

// Placement determines the server of the program's next non-idempotent call: the
// digest of the roster, the excluded servers, and the number of attempts of the
// turn that were reported as not run. With the same ticket, every hall places the
// call on the same server under the same identifier.
type Placement struct {
	roster   uint64
	excluded []string
	attempt  uint64
}

// NewPlacement returns a placement.
func NewPlacement(roster uint64, excluded []string, attempt uint64) Placement {
	return Placement{roster: roster, excluded: excluded, attempt: attempt}
}

// RosterDigest returns the digest of the roster.
func (p Placement) RosterDigest() uint64 { return p.roster }

// Excluded returns the excluded servers.
func (p Placement) Excluded() []string { return p.excluded }

// Attempt returns the number of attempts of the next turn that were reported as
// not run.
func (p Placement) Attempt() uint64 { return p.attempt }

// NewTicket returns the ticket for the call after the last turn of a record.
func NewTicket(record *Record, placement Placement, issuer Issuer) Ticket {
	return Ticket{data: &wire.Ticket{
		ProgramId: record.ID(), Turn: record.TurnCount(), Digest: record.Digest(), Spent: record.Spent(),
		Placement: placement.roster, Excluded: placement.excluded, Attempt: placement.attempt,
		Hall: issuer.hall, Incarnation: issuer.incarnation, Epoch: issuer.epoch,
		Workspace: record.Workspace(), ParentId: record.ParentID(), Budget: record.Budget(),
	}}
}

// AfterTurn returns the ticket for the call after the given turn of the same
// program.
func (t Ticket) AfterTurn(turn *wire.TurnRecord) Ticket {
	earlier := proto.CloneOf(t.data)
	earlier.Turn = turn.GetTurn()
	earlier.Digest = turn.GetDigest()
	earlier.Spent = turn.GetSpent()
	return Ticket{data: earlier}
}

// OpenTicket verifies and decodes a sealed ticket. It returns false if the ticket
// was not issued by this system.
func OpenTicket(keyring *secret.Keyring, sealed string) (Ticket, bool) {
	payload, ok := keyring.Verify(sealed)
	if !ok {
		return Ticket{}, false
	}
	decoded := &wire.Ticket{}
	if err := proto.Unmarshal(payload, decoded); err != nil {
		return Ticket{}, false
	}
	return Ticket{data: decoded}, true
}

// Seal returns the encoded and sealed ticket for the caller.
func (t Ticket) Seal(keyring *secret.Keyring) string {
	payload, err := proto.Marshal(t.data)
	if err != nil {
		return ""
	}
	return keyring.Sign(payload)
}

// Program returns the program's identifier.
func (t Ticket) Program() string { return t.data.GetProgramId() }

// Workspace returns the workspace that owns the program.
func (t Ticket) Workspace() string { return t.data.GetWorkspace() }

// NewRecord returns the record of a program that has no turns yet. The ticket
// contains the complete state of such a program, so opening a program stores
// nothing.
func (t Ticket) NewRecord() *Record {
	return New(t.data.GetProgramId(), t.data.GetWorkspace(), t.data.GetParentId(), t.data.GetBudget())
}

// Turn returns the number of finished turns.
func (t Ticket) Turn() uint64 { return t.data.GetTurn() }

// Digest returns the digest of the last finished turn.
func (t Ticket) Digest() []byte { return t.data.GetDigest() }

// Spent returns the tokens spent up to that turn.
func (t Ticket) Spent() int64 { return t.data.GetSpent() }

// Placement returns the placement of the next non-idempotent call.
func (t Ticket) Placement() Placement {
	return NewPlacement(t.data.GetPlacement(), t.data.GetExcluded(), t.data.GetAttempt())
}

// IssuedBy reports whether the ticket was issued by the issuer in the same
// incarnation and registration epoch.
func (t Ticket) IssuedBy(issuer Issuer) bool {
	return t.data.GetHall() == issuer.hall && t.data.GetIncarnation() == issuer.incarnation && t.data.GetEpoch() == issuer.epoch
}
