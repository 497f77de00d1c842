// Package table defines the configuration that operators manage: the limits and
// keys of workspaces, plain services, model assignments, and the zones and
// servers that are out of service.
//
// A Table is immutable. Applying a Change, a list of edits for the next
// revision, returns a new table. Processes that apply the same changes obtain
// the same table with the same digest.
//
// # Usage
//
//	declaration, err := table.ParseTOML(text)
//	edits := declaration.Edits(current)
//	next, err := current.Apply(table.NewChange(current.Revision()+1, id, author, at, edits))
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"limpethall.dev/kernel/key"
)

// RevisionError reports a change whose revision is not the successor of the
// table's revision.
type RevisionError struct {
	current uint64
	change  uint64
}

// Error returns a message with both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.change, e.current)
}

// Table is the configuration at one revision.
type Table struct {
	revision    uint64
	rows        map[string]Row
	services    map[string]Service
	assignments map[string]Assignment
	keys        map[string]key.Key
	zonesOut    map[string]bool
	serversOut  map[string]bool
}

// New returns the empty table at revision zero.
func New() *Table {
	return &Table{
		rows:        make(map[string]Row),
		services:    make(map[string]Service),
		assignments: make(map[string]Assignment),
		keys:        make(map[string]key.Key),
		zonesOut:    make(map[string]bool),
		serversOut:  make(map[string]bool),
	}
}

// Revision returns the revision of the last change applied.
func (t *Table) Revision() uint64 { return t.revision }

// Row returns the row of a workspace.
func (t *Table) Row(workspace string) (Row, bool) {
	row, found := t.rows[workspace]
	return row, found
}

// Rows returns all rows sorted by workspace.
func (t *Table) Rows() []Row {
	return sortedValues(t.rows)
}

// Service returns the plain service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Services returns all plain services sorted by name.
func (t *Table) Services() []Service {
	return sortedValues(t.services)
}

// Assignment returns the model assignment of a backend server, if it has one.
func (t *Table) Assignment(server string) (Assignment, bool) {
	assignment, found := t.assignments[server]
	return assignment, found
}

// Assignments returns all model assignments sorted by server.
func (t *Table) Assignments() []Assignment {
	return sortedValues(t.assignments)
}

// Key returns the stored part of the key with the given ID.
func (t *Table) Key(id string) (key.Key, bool) {
	k, found := t.keys[id]
	return k, found
}

// Keys returns all keys sorted by ID.
func (t *Table) Keys() []key.Key {
	return sortedValues(t.keys)
}

// ZoneOut reports whether an availability zone is out of service.
func (t *Table) ZoneOut(zone string) bool { return t.zonesOut[zone] }

// ServerOut reports whether a backend server is out of service.
func (t *Table) ServerOut(server string) bool { return t.serversOut[server] }

// ZonesOut returns the availability zones that are out of service, sorted.
func (t *Table) ZonesOut() []string { return slices.Sorted(maps.Keys(t.zonesOut)) }

// ServersOut returns the backend servers that are out of service, sorted.
func (t *Table) ServersOut() []string { return slices.Sorted(maps.Keys(t.serversOut)) }

// Apply returns a new table with the change applied. It returns a *RevisionError
// if the change is not for the next revision and a *ProblemsError if an edit is
// invalid.
func (t *Table) Apply(change Change) (*Table, error) {
	if change.revision != t.revision+1 {
		return nil, &RevisionError{current: t.revision, change: change.revision}
	}
	next := t.clone()
	next.revision = change.revision
	for _, edit := range change.edits {
		if err := next.applyEdit(edit); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// Digest returns the SHA-256 hash of the snapshot in hexadecimal.
func (t *Table) Digest() string {
	snapshot, err := t.Snapshot()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(snapshot)
	return hex.EncodeToString(sum[:])
}

// Snapshot encodes the table as JSON. Lists are sorted, so equal tables have
// equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	return json.Marshal(t.toDocument())
}

// Diff returns the edits that replace the rows, services and assignments of t by
// the given ones. Keys and the zones and servers out of service are unaffected,
// except that removing a workspace also removes its keys.
func (t *Table) Diff(rows []Row, services []Service, assignments []Assignment) []Edit {
	var edits []Edit
	declared := make(map[string]bool)
	for _, row := range rows {
		declared[row.workspace] = true
		if current, found := t.rows[row.workspace]; !found || !current.Equal(row) {
			edits = append(edits, PutRow{row: row})
		}
	}
	for _, row := range t.Rows() {
		if !declared[row.workspace] {
			edits = append(edits, RemoveRow{workspace: row.workspace})
		}
	}
	edits = append(edits, t.diffServices(services)...)
	return append(edits, t.diffAssignments(assignments)...)
}

func (t *Table) diffAssignments(assignments []Assignment) []Edit {
	var edits []Edit
	declared := make(map[string]bool)
	for _, assignment := range assignments {
		declared[assignment.server] = true
		if current, found := t.assignments[assignment.server]; !found || !current.Equal(assignment) {
			edits = append(edits, PutAssignment{assignment: assignment})
		}
	}
	for _, assignment := range t.Assignments() {
		if !declared[assignment.server] {
			edits = append(edits, RemoveAssignment{server: assignment.server})
		}
	}
	return edits
}

func (t *Table) diffServices(services []Service) []Edit {
	var edits []Edit
	declared := make(map[string]bool)
	for _, service := range services {
		declared[service.name] = true
		if current, found := t.services[service.name]; !found || !current.Equal(service) {
			edits = append(edits, PutService{service: service})
		}
	}
	for _, service := range t.Services() {
		if !declared[service.name] {
			edits = append(edits, RemoveService{name: service.name})
		}
	}
	return edits
}

func (t *Table) clone() *Table {
	return &Table{
		revision:    t.revision,
		rows:        maps.Clone(t.rows),
		services:    maps.Clone(t.services),
		assignments: maps.Clone(t.assignments),
		keys:        maps.Clone(t.keys),
		zonesOut:    maps.Clone(t.zonesOut),
		serversOut:  maps.Clone(t.serversOut),
	}
}

// applyEdit applies one edit in place. t must be a clone that is not yet visible
// to other goroutines.
func (t *Table) applyEdit(edit Edit) error {
	switch e := edit.(type) {
	case PutRow:
		if problems := e.row.Problems(); len(problems) > 0 {
			return NewProblemsError(problems)
		}
		t.rows[e.row.workspace] = e.row
	case RemoveRow:
		delete(t.rows, e.workspace)
		maps.DeleteFunc(t.keys, func(_ string, k key.Key) bool { return k.Workspace() == e.workspace })
	case PutService:
		t.services[e.service.name] = e.service
	case RemoveService:
		delete(t.services, e.name)
	case PutAssignment:
		t.assignments[e.assignment.server] = e.assignment
	case RemoveAssignment:
		delete(t.assignments, e.server)
	case AddKey:
		if _, found := t.rows[e.key.Workspace()]; !found {
			return NewProblemsError([]Problem{NewProblem("key", fmt.Sprintf("workspace %q does not exist", e.key.Workspace()))})
		}
		t.keys[e.key.ID()] = e.key
	case WithdrawKey:
		if _, found := t.keys[e.id]; !found {
			return NewProblemsError([]Problem{NewProblem("key", fmt.Sprintf("key %q does not exist", e.id))})
		}
		delete(t.keys, e.id)
	case SetZone:
		setMember(t.zonesOut, e.zone, e.out)
	case SetServer:
		setMember(t.serversOut, e.server, e.out)
	}
	return nil
}

func setMember(set map[string]bool, name string, member bool) {
	if member {
		set[name] = true
		return
	}
	delete(set, name)
}

func sortedValues[V any](values map[string]V) []V {
	sorted := make([]V, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[name])
	}
	return sorted
}
