package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/kernel/backend"
)

// Request is a caller's request, as the protocol's adapter decoded it.
type Request struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	Host   string
	// Path is what routes are matched with; Target is path and query as sent.
	Path   string
	Target string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty for none.
	Key      string
	Received time.Time
	// Wait is how long the caller waits, zero if not stated.
	Wait time.Duration
	// Program names the program, empty for a request outside of any.
	Program string
	// Budget is the program's token budget, zero for none.
	Budget int64
	// MaxTokens is the most that this request may produce.
	MaxTokens int64
	// Previous is the turn that this one continues, empty for none.
	Previous string
}

// Outgoing is a request as a backend server gets it.
type Outgoing struct {
	Request   *Request
	Workspace string
	Body      []byte
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// ResumeAfter is the last event that was passed on, empty to begin at the
	// start.
	ResumeAfter string
	// MaxConnections bounds the connections to the server; zero means none.
	MaxConnections int
}

// Answer is what a backend server answered.
type Answer struct {
	Status int
	// Header holds the headers that are passed on.
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, negative if not stated.
	Length int64
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Load is what the server told of its load, nil for nothing.
	Load *balance.Load
	// Close ends the exchange.
	Close func()
}

// Backend sends requests to backend servers. An error of Send is a
// *connection.UnsentError or a *connection.BrokenError.
type Backend interface {
	Send(ctx context.Context, server backend.Server, outgoing Outgoing) (*Answer, error)
	// Answers reports whether the server takes connections.
	Answers(ctx context.Context, server backend.Server) bool
}
