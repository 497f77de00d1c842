// Package table holds the configuration that operators accept: the rows of the
// workspaces, their keys, the plain services, and what is out of service.
//
// A Table is immutable. It is changed by applying a Change, a list of edits
// with the next revision; every process that applies the same changes holds
// the same table and the same digest.
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

// RevisionError reports a change that does not follow the table's revision.
type RevisionError struct {
	have   uint64
	change uint64
}

// Error names both revisions.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.change, e.have)
}

// Table is the accepted configuration at one revision.
type Table struct {
	revision   uint64
	rows       map[string]Row
	services   map[string]Service
	assigned   map[string]Assignment
	keys       map[string]key.Key
	zonesOut   map[string]bool
	serversOut map[string]bool
}

// New returns the empty table of revision zero.
func New() *Table {
	return &Table{
		rows:       make(map[string]Row),
		services:   make(map[string]Service),
		assigned:   make(map[string]Assignment),
		keys:       make(map[string]key.Key),
		zonesOut:   make(map[string]bool),
		serversOut: make(map[string]bool),
	}
}

// Revision returns the number of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// Row returns the row of a workspace.
func (t *Table) Row(workspace string) (Row, bool) {
	row, found := t.rows[workspace]
	return row, found
}

// Rows returns all rows in order of workspace.
func (t *Table) Rows() []Row {
	return sortedValues(t.rows)
}

// Service returns a plain service.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// Services returns all plain services in order of name.
func (t *Table) Services() []Service {
	return sortedValues(t.services)
}

// Assignment returns which models a server is to hold, if that is declared.
func (t *Table) Assignment(server string) (Assignment, bool) {
	assignment, found := t.assigned[server]
	return assignment, found
}

// Assignments returns all assignments in order of server.
func (t *Table) Assignments() []Assignment {
	return sortedValues(t.assigned)
}

// Key returns the kept part of a key.
func (t *Table) Key(id string) (key.Key, bool) {
	kept, found := t.keys[id]
	return kept, found
}

// Keys returns all keys in order of identifier.
func (t *Table) Keys() []key.Key {
	return sortedValues(t.keys)
}

// ZoneOut reports whether an availability zone is out of service.
func (t *Table) ZoneOut(zone string) bool { return t.zonesOut[zone] }

// ServerOut reports whether a backend server is out of service.
func (t *Table) ServerOut(server string) bool { return t.serversOut[server] }

// ZonesOut returns the zones that are out, in order.
func (t *Table) ZonesOut() []string { return slices.Sorted(maps.Keys(t.zonesOut)) }

// ServersOut returns the backend servers that are out, in order.
func (t *Table) ServersOut() []string { return slices.Sorted(maps.Keys(t.serversOut)) }

// Apply returns the table after the change, or a *RevisionError if the change
// is not the next one, or a *ProblemsError if an edit is not valid.
func (t *Table) Apply(change Change) (*Table, error) {
	if change.revision != t.revision+1 {
		return nil, &RevisionError{have: t.revision, change: change.revision}
	}
	next := t.clone()
	next.revision = change.revision
	for _, edit := range change.edits {
		if err := next.edit(edit); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// Digest returns the hexadecimal SHA-256 of the snapshot.
func (t *Table) Digest() string {
	text, err := t.Snapshot()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Snapshot returns the whole table as JSON with sorted keys.
func (t *Table) Snapshot() ([]byte, error) {
	return json.Marshal(t.document())
}

// Difference returns the edits that turn the rows, services and assignments of
// t into the declared ones. Keys, zones and servers are left as they are,
// except that the keys of a removed workspace are withdrawn.
func (t *Table) Difference(rows []Row, services []Service, assignments []Assignment) []Edit {
	var edits []Edit
	wanted := make(map[string]bool)
	for _, row := range rows {
		wanted[row.workspace] = true
		if current, found := t.rows[row.workspace]; !found || !current.Equal(row) {
			edits = append(edits, PutRow{row: row})
		}
	}
	for _, row := range t.Rows() {
		if !wanted[row.workspace] {
			edits = append(edits, RemoveRow{workspace: row.workspace})
		}
	}
	edits = append(edits, t.serviceDifference(services)...)
	return append(edits, t.assignmentDifference(assignments)...)
}

func (t *Table) assignmentDifference(assignments []Assignment) []Edit {
	var edits []Edit
	wanted := make(map[string]bool)
	for _, assignment := range assignments {
		wanted[assignment.server] = true
		if current, found := t.assigned[assignment.server]; !found || !current.Equal(assignment) {
			edits = append(edits, PutAssignment{assignment: assignment})
		}
	}
	for _, assignment := range t.Assignments() {
		if !wanted[assignment.server] {
			edits = append(edits, RemoveAssignment{server: assignment.server})
		}
	}
	return edits
}

func (t *Table) serviceDifference(services []Service) []Edit {
	var edits []Edit
	wanted := make(map[string]bool)
	for _, service := range services {
		wanted[service.name] = true
		if current, found := t.services[service.name]; !found || !current.Equal(service) {
			edits = append(edits, PutService{service: service})
		}
	}
	for _, service := range t.Services() {
		if !wanted[service.name] {
			edits = append(edits, RemoveService{name: service.name})
		}
	}
	return edits
}

func (t *Table) clone() *Table {
	return &Table{
		revision:   t.revision,
		rows:       maps.Clone(t.rows),
		services:   maps.Clone(t.services),
		assigned:   maps.Clone(t.assigned),
		keys:       maps.Clone(t.keys),
		zonesOut:   maps.Clone(t.zonesOut),
		serversOut: maps.Clone(t.serversOut),
	}
}

// edit applies one edit in place; t is a clone that nobody else sees yet.
func (t *Table) edit(edit Edit) error {
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
		t.assigned[e.assignment.server] = e.assignment
	case RemoveAssignment:
		delete(t.assigned, e.server)
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
