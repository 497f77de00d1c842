package table

import (
	"fmt"
	"strings"
	"time"

	"limpethall.dev/kernel/key"
)

// Edit is one part of a change. The types of this file are all there are.
type Edit interface {
	isEdit()
	// String describes the edit for a plan or a history.
	String() string
}

// PutRow adds or replaces a row.
type PutRow struct{ row Row }

// NewPutRow returns the edit.
func NewPutRow(row Row) PutRow { return PutRow{row: row} }

// Row returns the new row.
func (e PutRow) Row() Row { return e.row }

func (PutRow) isEdit() {}

// String describes the edit.
func (e PutRow) String() string {
	return fmt.Sprintf("set workspace %s: weight %d, rate %g/s, burst %d, budget %d tokens",
		e.row.workspace, e.row.weight, e.row.rate, e.row.burst, e.row.budget)
}

// RemoveRow removes a workspace and its keys.
type RemoveRow struct{ workspace string }

// NewRemoveRow returns the edit.
func NewRemoveRow(workspace string) RemoveRow { return RemoveRow{workspace: workspace} }

func (RemoveRow) isEdit() {}

// String describes the edit.
func (e RemoveRow) String() string { return "remove workspace " + e.workspace + " and its keys" }

// PutService adds or replaces a plain service.
type PutService struct{ service Service }

// NewPutService returns the edit.
func NewPutService(service Service) PutService { return PutService{service: service} }

func (PutService) isEdit() {}

// String describes the edit.
func (e PutService) String() string {
	return fmt.Sprintf("set service %s with %d routes", e.service.name, len(e.service.routes))
}

// RemoveService removes a plain service.
type RemoveService struct{ name string }

// NewRemoveService returns the edit.
func NewRemoveService(name string) RemoveService { return RemoveService{name: name} }

func (RemoveService) isEdit() {}

// String describes the edit.
func (e RemoveService) String() string { return "remove service " + e.name }

// PutAssignment adds or replaces the assignment of a server.
type PutAssignment struct{ assignment Assignment }

// NewPutAssignment returns the edit.
func NewPutAssignment(assignment Assignment) PutAssignment {
	return PutAssignment{assignment: assignment}
}

func (PutAssignment) isEdit() {}

// String describes the edit.
func (e PutAssignment) String() string {
	return fmt.Sprintf("assign models %s to server %s", strings.Join(e.assignment.models, ", "), e.assignment.server)
}

// RemoveAssignment leaves a server with the models that it holds.
type RemoveAssignment struct{ server string }

// NewRemoveAssignment returns the edit.
func NewRemoveAssignment(server string) RemoveAssignment { return RemoveAssignment{server: server} }

func (RemoveAssignment) isEdit() {}

// String describes the edit.
func (e RemoveAssignment) String() string { return "remove the assignment of server " + e.server }

// AddKey gives a workspace another key.
type AddKey struct{ key key.Key }

// NewAddKey returns the edit.
func NewAddKey(kept key.Key) AddKey { return AddKey{key: kept} }

func (AddKey) isEdit() {}

// String describes the edit.
func (e AddKey) String() string {
	return fmt.Sprintf("add key %s to workspace %s", e.key.ID(), e.key.Workspace())
}

// WithdrawKey ends a key.
type WithdrawKey struct{ id string }

// NewWithdrawKey returns the edit.
func NewWithdrawKey(id string) WithdrawKey { return WithdrawKey{id: id} }

func (WithdrawKey) isEdit() {}

// String describes the edit.
func (e WithdrawKey) String() string { return "withdraw key " + e.id }

// SetZone takes an availability zone out of service or back.
type SetZone struct {
	zone string
	out  bool
}

// NewSetZone returns the edit.
func NewSetZone(zone string, out bool) SetZone { return SetZone{zone: zone, out: out} }

func (SetZone) isEdit() {}

// String describes the edit.
func (e SetZone) String() string { return "take zone " + e.zone + direction(e.out) }

// SetServer takes a backend server out of service or back.
type SetServer struct {
	server string
	out    bool
}

// NewSetServer returns the edit.
func NewSetServer(server string, out bool) SetServer { return SetServer{server: server, out: out} }

func (SetServer) isEdit() {}

// String describes the edit.
func (e SetServer) String() string { return "take server " + e.server + direction(e.out) }

func direction(out bool) string {
	if out {
		return " out"
	}
	return " back"
}

// Change is a list of edits that makes the next revision.
type Change struct {
	revision uint64
	id       string
	author   string
	at       time.Time
	edits    []Edit
}

// NewChange returns a change. The id must be unique: a writer whose answer
// was lost looks for it.
func NewChange(revision uint64, id, author string, at time.Time, edits []Edit) Change {
	return Change{revision: revision, id: id, author: author, at: at, edits: edits}
}

// Revision returns the revision that the change makes.
func (c Change) Revision() uint64 { return c.revision }

// ID returns the unique identifier.
func (c Change) ID() string { return c.id }

// Author returns who made the change.
func (c Change) Author() string { return c.author }

// At returns when the change was made, by the author's clock.
func (c Change) At() time.Time { return c.at }

// Edits returns the parts of the change.
func (c Change) Edits() []Edit { return c.edits }
