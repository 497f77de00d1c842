package table

import (
	"encoding/json"
	"fmt"
	"time"

	"limpethall.dev/kernel/key"
)

// The types of this file are the stored form of a table. They stand apart
// from the types above so that either can change without the other.

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
	Revision   uint64               `json:"revision"`
	Rows       []rowDocument        `json:"rows"`
	Services   []serviceDocument    `json:"services,omitempty"`
	Assigned   []assignmentDocument `json:"assigned,omitempty"`
	Keys       []keyDocument        `json:"keys,omitempty"`
	ZonesOut   []string             `json:"zonesOut,omitempty"`
	ServersOut []string             `json:"serversOut,omitempty"`
}

type memberDocument struct {
	Name string `json:"name"`
	Out  bool   `json:"out"`
}

// editDocument holds exactly one edit; the others are nil.
type editDocument struct {
	PutRow           *rowDocument        `json:"putRow,omitempty"`
	RemoveRow        string              `json:"removeRow,omitempty"`
	PutService       *serviceDocument    `json:"putService,omitempty"`
	RemoveService    string              `json:"removeService,omitempty"`
	PutAssignment    *assignmentDocument `json:"putAssignment,omitempty"`
	RemoveAssignment string              `json:"removeAssignment,omitempty"`
	AddKey           *keyDocument        `json:"addKey,omitempty"`
	WithdrawKey      string              `json:"withdrawKey,omitempty"`
	SetZone          *memberDocument     `json:"setZone,omitempty"`
	SetServer        *memberDocument     `json:"setServer,omitempty"`
}

type changeDocument struct {
	Revision uint64         `json:"revision"`
	ID       string         `json:"id"`
	Author   string         `json:"author"`
	At       time.Time      `json:"at"`
	Edits    []editDocument `json:"edits"`
}

// Restore returns the table of a snapshot.
func Restore(snapshot []byte) (*Table, error) {
	var document tableDocument
	if err := json.Unmarshal(snapshot, &document); err != nil {
		return nil, fmt.Errorf("read table snapshot: %w", err)
	}
	restored := New()
	restored.revision = document.Revision
	for _, row := range document.Rows {
		restored.rows[row.Workspace] = row.row()
	}
	for _, service := range document.Services {
		restored.services[service.Name] = service.service()
	}
	for _, assignment := range document.Assigned {
		restored.assigned[assignment.Server] = assignment.assignment()
	}
	for _, kept := range document.Keys {
		restored.keys[kept.ID] = kept.key()
	}
	for _, zone := range document.ZonesOut {
		restored.zonesOut[zone] = true
	}
	for _, server := range document.ServersOut {
		restored.serversOut[server] = true
	}
	return restored, nil
}

// MarshalJSON writes the change in its stored form.
func (c Change) MarshalJSON() ([]byte, error) {
	document := changeDocument{Revision: c.revision, ID: c.id, Author: c.author, At: c.at}
	for _, edit := range c.edits {
		document.Edits = append(document.Edits, documentOfEdit(edit))
	}
	return json.Marshal(document)
}

// UnmarshalJSON reads the change from its stored form.
func (c *Change) UnmarshalJSON(text []byte) error {
	var document changeDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	*c = NewChange(document.Revision, document.ID, document.Author, document.At, nil)
	for _, edit := range document.Edits {
		read, err := edit.edit()
		if err != nil {
			return err
		}
		c.edits = append(c.edits, read)
	}
	return nil
}

func (t *Table) document() tableDocument {
	document := tableDocument{Revision: t.revision, ZonesOut: t.ZonesOut(), ServersOut: t.ServersOut()}
	for _, row := range t.Rows() {
		document.Rows = append(document.Rows, documentOfRow(row))
	}
	for _, service := range t.Services() {
		document.Services = append(document.Services, documentOfService(service))
	}
	for _, assignment := range t.Assignments() {
		document.Assigned = append(document.Assigned, documentOfAssignment(assignment))
	}
	for _, kept := range t.Keys() {
		document.Keys = append(document.Keys, documentOfKey(kept))
	}
	return document
}

func documentOfRow(r Row) rowDocument {
	return rowDocument{Workspace: r.workspace, Weight: r.weight, Rate: r.rate, Burst: r.burst, Budget: r.budget, Models: r.models}
}

func (d rowDocument) row() Row {
	return NewRow(d.Workspace, d.Weight, d.Rate, d.Burst, d.Budget, d.Models)
}

func documentOfService(s Service) serviceDocument {
	document := serviceDocument{Name: s.name}
	for _, r := range s.routes {
		document.Routes = append(document.Routes, routeDocument{Method: r.method, Path: r.path, Idempotent: r.idempotent, Open: r.open})
	}
	return document
}

func (d serviceDocument) service() Service {
	var routes []Route
	for _, r := range d.Routes {
		routes = append(routes, NewRoute(r.Method, r.Path, r.Idempotent, r.Open))
	}
	return NewService(d.Name, routes)
}

func documentOfAssignment(a Assignment) assignmentDocument {
	return assignmentDocument{Server: a.server, Models: a.models}
}

func (d assignmentDocument) assignment() Assignment {
	return NewAssignment(d.Server, d.Models)
}

func documentOfKey(k key.Key) keyDocument {
	return keyDocument{ID: k.ID(), Workspace: k.Workspace(), Salt: k.Salt(), Hash: k.Hash()}
}

func (d keyDocument) key() key.Key {
	return key.Restore(d.ID, d.Workspace, d.Salt, d.Hash)
}

func documentOfEdit(edit Edit) editDocument {
	var document editDocument
	switch e := edit.(type) {
	case PutRow:
		row := documentOfRow(e.row)
		document.PutRow = &row
	case RemoveRow:
		document.RemoveRow = e.workspace
	case PutService:
		service := documentOfService(e.service)
		document.PutService = &service
	case RemoveService:
		document.RemoveService = e.name
	case PutAssignment:
		assignment := documentOfAssignment(e.assignment)
		document.PutAssignment = &assignment
	case RemoveAssignment:
		document.RemoveAssignment = e.server
	case AddKey:
		kept := documentOfKey(e.key)
		document.AddKey = &kept
	case WithdrawKey:
		document.WithdrawKey = e.id
	case SetZone:
		document.SetZone = &memberDocument{Name: e.zone, Out: e.out}
	case SetServer:
		document.SetServer = &memberDocument{Name: e.server, Out: e.out}
	}
	return document
}

func (d editDocument) edit() (Edit, error) {
	switch {
	case d.PutRow != nil:
		return PutRow{row: d.PutRow.row()}, nil
	case d.RemoveRow != "":
		return RemoveRow{workspace: d.RemoveRow}, nil
	case d.PutService != nil:
		return PutService{service: d.PutService.service()}, nil
	case d.RemoveService != "":
		return RemoveService{name: d.RemoveService}, nil
	case d.PutAssignment != nil:
		return PutAssignment{assignment: d.PutAssignment.assignment()}, nil
	case d.RemoveAssignment != "":
		return RemoveAssignment{server: d.RemoveAssignment}, nil
	case d.AddKey != nil:
		return AddKey{key: d.AddKey.key()}, nil
	case d.WithdrawKey != "":
		return WithdrawKey{id: d.WithdrawKey}, nil
	case d.SetZone != nil:
		return SetZone{zone: d.SetZone.Name, out: d.SetZone.Out}, nil
	case d.SetServer != nil:
		return SetServer{server: d.SetServer.Name, out: d.SetServer.Out}, nil
	default:
		return nil, fmt.Errorf("change holds an edit of a kind that this version does not know: upgrade this process")
	}
}
