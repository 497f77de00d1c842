package table

import (
	"fmt"
	"strings"
	"time"

	"limpethall.dev/kernel/key"
)

// Edit is a single modification of a table. Only the types in this file
// implement it.
type Edit interface {
	isEdit()
	// String returns the description shown in plans and in the history.
	String() string
}

// PutRow is an edit that adds or replaces the row of a workspace.
type PutRow struct{ row Row }

// NewPutRow returns an edit that sets row.
func NewPutRow(row Row) PutRow { return PutRow{row: row} }

// Row returns the new row.
func (e PutRow) Row() Row { return e.row }

func (PutRow) isEdit() {}

// String implements Edit.
func (e PutRow) String() string {
	return fmt.Sprintf("set workspace %s: weight %d, rate %g/s, burst %d, budget %d tokens",
		e.row.workspace, e.row.weight, e.row.rate, e.row.burst, e.row.budget)
}

// RemoveRow is an edit that removes a workspace and its keys.
type RemoveRow struct{ workspace string }

// NewRemoveRow returns an edit that removes the workspace.
func NewRemoveRow(workspace string) RemoveRow { return RemoveRow{workspace: workspace} }

func (RemoveRow) isEdit() {}

// String implements Edit.
func (e RemoveRow) String() string { return "remove workspace " + e.workspace + " and its keys" }

// PutService is an edit that adds or replaces a plain service.
type PutService struct{ service Service }

// NewPutService returns an edit that sets service.
func NewPutService(service Service) PutService { return PutService{service: service} }

func (PutService) isEdit() {}

// String implements Edit.
func (e PutService) String() string {
	return fmt.Sprintf("set service %s with %d routes", e.service.name, len(e.service.routes))
}

// RemoveService is an edit that removes a plain service.
type RemoveService struct{ name string }

// NewRemoveService returns an edit that removes the service with that name.
func NewRemoveService(name string) RemoveService { return RemoveService{name: name} }

func (RemoveService) isEdit() {}

// String implements Edit.
func (e RemoveService) String() string { return "remove service " + e.name }

// PutAssignment is an edit that adds or replaces the model assignment of a
// backend server.
type PutAssignment struct{ assignment Assignment }

// NewPutAssignment returns an edit that sets assignment.
func NewPutAssignment(assignment Assignment) PutAssignment {
	return PutAssignment{assignment: assignment}
}

func (PutAssignment) isEdit() {}

// String implements Edit.
func (e PutAssignment) String() string {
	return fmt.Sprintf("assign models %s to server %s", strings.Join(e.assignment.models, ", "), e.assignment.server)
}

// RemoveAssignment is an edit that removes the assignment of a backend server,
// which then keeps its currently loaded models.
type RemoveAssignment struct{ server string }

// NewRemoveAssignment returns an edit that removes the assignment of server.
func NewRemoveAssignment(server string) RemoveAssignment { return RemoveAssignment{server: server} }

func (RemoveAssignment) isEdit() {}

// String implements Edit.
func (e RemoveAssignment) String() string { return "remove the assignment of server " + e.server }

// AddKey is an edit that adds a key to its workspace.
type AddKey struct{ key key.Key }

// NewAddKey returns an edit that adds the key.
func NewAddKey(added key.Key) AddKey { return AddKey{key: added} }

func (AddKey) isEdit() {}

// String implements Edit.
func (e AddKey) String() string {
	return fmt.Sprintf("add key %s to workspace %s", e.key.ID(), e.key.Workspace())
}

// WithdrawKey is an edit that revokes a key.
type WithdrawKey struct{ id string }

// NewWithdrawKey returns an edit that revokes the key with that ID.
func NewWithdrawKey(id string) WithdrawKey { return WithdrawKey{id: id} }

func (WithdrawKey) isEdit() {}

// String implements Edit.
func (e WithdrawKey) String() string { return "withdraw key " + e.id }

// SetZone is an edit that takes an availability zone out of service or puts it
// back into service.
type SetZone struct {
	zone string
	out  bool
}

// NewSetZone returns an edit that takes the zone out of service if out is
// true and puts it back otherwise.
func NewSetZone(zone string, out bool) SetZone { return SetZone{zone: zone, out: out} }

func (SetZone) isEdit() {}

// String implements Edit.
func (e SetZone) String() string { return "take zone " + e.zone + directionSuffix(e.out) }

// SetServer is an edit that takes a backend server out of service or puts it
// back into service.
type SetServer struct {
	server string
	out    bool
}

// NewSetServer returns an edit that takes the server out of service if out
// is true and puts it back otherwise.
func NewSetServer(server string, out bool) SetServer { return SetServer{server: server, out: out} }

func (SetServer) isEdit() {}

// String implements Edit.
func (e SetServer) String() string { return "take server " + e.server + directionSuffix(e.out) }

func directionSuffix(out bool) string {
	if out {
		return " out"
	}
	return " back"
}

// Change is a list of edits that are applied together as one revision.
type Change struct {
	revision uint64
	id       string
	author   string
	at       time.Time
	edits    []Edit
}

// NewChange returns a change. The ID must be unique: a writer that got no
// response searches for it to find out whether its change was accepted.
func NewChange(revision uint64, id, author string, at time.Time, edits []Edit) Change {
	return Change{revision: revision, id: id, author: author, at: at, edits: edits}
}

// Revision returns the revision that the change produces.
func (c Change) Revision() uint64 { return c.revision }

// ID returns the unique ID of the change.
func (c Change) ID() string { return c.id }

// Author returns the name of the person or program that made the change.
func (c Change) Author() string { return c.author }

// At returns the time of the change according to the author's clock.
func (c Change) At() time.Time { return c.at }

// Edits returns the edits in the order in which they are applied.
func (c Change) Edits() []Edit { return c.edits }
