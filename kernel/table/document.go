package table

import (
	"encoding/json"
	"fmt"
	"time"

	"limpethall.dev/kernel/key"
)

// The document types define the stored JSON format of tables and changes and,
// for some of them, the TOML format of table files. They are separate from the
// exported types so that either can change without the other.

type rowDocument struct {
	Workspace string   `json:"workspace" toml:"workspace"`
	Weight    int64    `json:"weight" toml:"weight"`
	Rate      float64  `json:"rate" toml:"rate"`
	Burst     int64    `json:"burst" toml:"burst"`
	Budget    int64    `json:"budget" toml:"budget"`
	Models    []string `json:"models,omitempty" toml:"models"`
}

type routeDocument struct {
	Method     string `json:"method,omitempty" toml:"method"`
	Path       string `json:"path" toml:"path"`
	Idempotent bool   `json:"idempotent,omitempty" toml:"idempotent"`
	Open       bool   `json:"open,omitempty" toml:"open"`
}

type serviceDocument struct {
	Name   string          `json:"name" toml:"name"`
	Routes []routeDocument `json:"routes,omitempty" toml:"route"`
}

type assignmentDocument struct {
	Server string   `json:"server" toml:"name"`
	Models []string `json:"models" toml:"models"`
}

type keyDocument struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Salt      string `json:"salt"`
	Hash      string `json:"hash"`
}

type tableDocument struct {
	Revision    uint64               `json:"revision"`
	Rows        []rowDocument        `json:"rows"`
	Services    []serviceDocument    `json:"services,omitempty"`
	Assignments []assignmentDocument `json:"assigned,omitempty"`
	Keys        []keyDocument        `json:"keys,omitempty"`
	ZonesOut    []string             `json:"zonesOut,omitempty"`
	ServersOut  []string             `json:"serversOut,omitempty"`
}

type serviceStateDocument struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// editDocument is a union of all edit types. Exactly one field is set.
type editDocument struct {
	PutRow           *rowDocument          `json:"putRow,omitempty"`
	RemoveRow        string                `json:"removeRow,omitempty"`
	PutService       *serviceDocument      `json:"putService,omitempty"`
	RemoveService    string                `json:"removeService,omitempty"`
	PutAssignment    *assignmentDocument   `json:"putAssignment,omitempty"`
	RemoveAssignment string                `json:"removeAssignment,omitempty"`
	AddKey           *keyDocument          `json:"addKey,omitempty"`
	WithdrawKey      string                `json:"withdrawKey,omitempty"`
	SetZone          *serviceStateDocument `json:"setZone,omitempty"`
	SetServer        *serviceStateDocument `json:"setServer,omitempty"`
}

type changeDocument struct {
	Revision uint64         `json:"revision"`
	ID       string         `json:"id"`
	Author   string         `json:"author"`
	At       time.Time      `json:"at"`
	Edits    []editDocument `json:"edits"`
}

// Restore returns the table encoded in a snapshot.
func Restore(snapshot []byte) (*Table, error) {
	var document tableDocument
	if err := json.Unmarshal(snapshot, &document); err != nil {
		return nil, fmt.Errorf("read table snapshot: %w", err)
	}
	restored := New()
	restored.revision = document.Revision
	for _, row := range document.Rows {
		restored.rows[row.Workspace] = row.toRow()
	}
	for _, service := range document.Services {
		restored.services[service.Name] = service.toService()
	}
	for _, assignment := range document.Assignments {
		restored.assignments[assignment.Server] = assignment.toAssignment()
	}
	for _, stored := range document.Keys {
		restored.keys[stored.ID] = stored.toKey()
	}
	for _, zone := range document.ZonesOut {
		restored.zonesOut[zone] = true
	}
	for _, server := range document.ServersOut {
		restored.serversOut[server] = true
	}
	return restored, nil
}

// MarshalJSON implements json.Marshaler. It returns the stored format.
func (c Change) MarshalJSON() ([]byte, error) {
	document := changeDocument{Revision: c.revision, ID: c.id, Author: c.author, At: c.at}
	for _, edit := range c.edits {
		document.Edits = append(document.Edits, newEditDocument(edit))
	}
	return json.Marshal(document)
}

// UnmarshalJSON implements json.Unmarshaler. It reads the stored format.
func (c *Change) UnmarshalJSON(data []byte) error {
	var document changeDocument
	if err := json.Unmarshal(data, &document); err != nil {
		return err
	}
	*c = NewChange(document.Revision, document.ID, document.Author, document.At, nil)
	for _, edit := range document.Edits {
		decoded, err := edit.toEdit()
		if err != nil {
			return err
		}
		c.edits = append(c.edits, decoded)
	}
	return nil
}

func (t *Table) toDocument() tableDocument {
	document := tableDocument{Revision: t.revision, ZonesOut: t.ZonesOut(), ServersOut: t.ServersOut()}
	for _, row := range t.Rows() {
		document.Rows = append(document.Rows, newRowDocument(row))
	}
	for _, service := range t.Services() {
		document.Services = append(document.Services, newServiceDocument(service))
	}
	for _, assignment := range t.Assignments() {
		document.Assignments = append(document.Assignments, newAssignmentDocument(assignment))
	}
	for _, k := range t.Keys() {
		document.Keys = append(document.Keys, newKeyDocument(k))
	}
	return document
}

func newRowDocument(r Row) rowDocument {
	return rowDocument{Workspace: r.workspace, Weight: r.weight, Rate: r.rate, Burst: r.burst, Budget: r.budget, Models: r.models}
}

func (d rowDocument) toRow() Row {
	return NewRow(d.Workspace, d.Weight, d.Rate, d.Burst, d.Budget, d.Models)
}

func newServiceDocument(s Service) serviceDocument {
	document := serviceDocument{Name: s.name}
	for _, r := range s.routes {
		document.Routes = append(document.Routes, routeDocument{Method: r.method, Path: r.path, Idempotent: r.idempotent, Open: r.open})
	}
	return document
}

func (d serviceDocument) toService() Service {
	var routes []Route
	for _, r := range d.Routes {
		routes = append(routes, NewRoute(r.Method, r.Path, r.Idempotent, r.Open))
	}
	return NewService(d.Name, routes)
}

func newAssignmentDocument(a Assignment) assignmentDocument {
	return assignmentDocument{Server: a.server, Models: a.models}
}

func (d assignmentDocument) toAssignment() Assignment {
	return NewAssignment(d.Server, d.Models)
}

func newKeyDocument(k key.Key) keyDocument {
	return keyDocument{ID: k.ID(), Workspace: k.Workspace(), Salt: k.Salt(), Hash: k.Hash()}
}

func (d keyDocument) toKey() key.Key {
	return key.Restore(d.ID, d.Workspace, d.Salt, d.Hash)
}

func newEditDocument(edit Edit) editDocument {
	var document editDocument
	switch e := edit.(type) {
	case PutRow:
		row := newRowDocument(e.row)
		document.PutRow = &row
	case RemoveRow:
		document.RemoveRow = e.workspace
	case PutService:
		service := newServiceDocument(e.service)
		document.PutService = &service
	case RemoveService:
		document.RemoveService = e.name
	case PutAssignment:
		assignment := newAssignmentDocument(e.assignment)
		document.PutAssignment = &assignment
	case RemoveAssignment:
		document.RemoveAssignment = e.server
	case AddKey:
		k := newKeyDocument(e.key)
		document.AddKey = &k
	case WithdrawKey:
		document.WithdrawKey = e.id
	case SetZone:
		document.SetZone = &serviceStateDocument{Name: e.zone, Out: e.out}
	case SetServer:
		document.SetServer = &serviceStateDocument{Name: e.server, Out: e.out}
	}
	return document
}

func (d editDocument) toEdit() (Edit, error) {
	switch {
	case d.PutRow != nil:
		return PutRow{row: d.PutRow.toRow()}, nil
	case d.RemoveRow != "":
		return RemoveRow{workspace: d.RemoveRow}, nil
	case d.PutService != nil:
		return PutService{service: d.PutService.toService()}, nil
	case d.RemoveService != "":
		return RemoveService{name: d.RemoveService}, nil
	case d.PutAssignment != nil:
		return PutAssignment{assignment: d.PutAssignment.toAssignment()}, nil
	case d.RemoveAssignment != "":
		return RemoveAssignment{server: d.RemoveAssignment}, nil
	case d.AddKey != nil:
		return AddKey{key: d.AddKey.toKey()}, nil
	case d.WithdrawKey != "":
		return WithdrawKey{id: d.WithdrawKey}, nil
	case d.SetZone != nil:
		return SetZone{zone: d.SetZone.Name, out: d.SetZone.Out}, nil
	case d.SetServer != nil:
		return SetServer{server: d.SetServer.Name, out: d.SetServer.Out}, nil
	default:
		return nil, fmt.Errorf("change contains an edit of a type that this version does not support: upgrade this process")
	}
}
