package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/serverlimit"
	"limpethall.dev/kernel/backend"
)

// Request is a caller's request, decoded by the adapter of its protocol.
type Request struct {
	// ID identifies this attempt of the caller; a retry has an ID of its own.
	ID     string
	Method string
	Host   string
	// Path is matched against the routes. Target is the path and query as sent.
	Path   string
	Target string
	// Header holds the headers to forward.
	Header http.Header
	Body   []byte
	// APIKey is the caller's API key, empty for none.
	APIKey   string
	Received time.Time
	// Timeout is how long the caller waits for the response, zero if not stated.
	Timeout time.Duration
	// Program is the ID of the program, empty for a request outside of any.
	Program string
	// Session identifies one line of turns of the program, empty if not stated.
	Session string
	// Budget is the program's token budget, zero for none.
	Budget int64
	// MaxTokens is the most tokens that the request may produce.
	MaxTokens int64
	// PreviousTurn is the ID of the turn that this one continues, empty for none.
	PreviousTurn string
	// Resumes is the ID of the attempt that brought the first event of the stream that
	// the caller takes up, empty if it takes up none.
	Resumes string
	// LastEventID is the ID of the last event that the caller has, empty for none.
	LastEventID string
	// Prompt lists the parts of the prompt that the caller names, in order.
	Prompt []balance.PromptPart
	// Object is equal for requests that concern the same object, empty if not stated.
	Object string
	// ProgramTime is the time left until the program should be finished, negative if that
	// time has passed. It is not known unless HasProgramTime is set.
	ProgramTime    time.Duration
	HasProgramTime bool
	// LengthHint is the caller's estimate of the tokens that the request produces, zero if
	// not stated.
	LengthHint int64
	// MalformedHints is the number of hints to routing that could not be read.
	MalformedHints int
}

// BackendRequest is a request as it is sent to a backend server.
type BackendRequest struct {
	Request   *Request
	Workspace string
	// Body holds the parts of the body: the history that the request continues, and its own
	// body. They must not be changed.
	Body net.Buffers
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// ResumeAfter is the ID of the last event that the caller has, empty to start
	// at the beginning.
	ResumeAfter string
	// FromStart is set if the stream is to start at the beginning, whatever event the caller
	// names.
	FromStart bool
	// MaxConnections limits the connections to the server; zero means no limit.
	MaxConnections int
}

// Response is the response of a backend server.
type Response struct {
	Status int
	// Header holds the headers to relay.
	Header http.Header
	Body   io.Reader
	// Length is the content length, negative if not stated.
	Length int64
	// NotRun is set if the server has not run the request and will not run it.
	NotRun bool
	// Load is the load that the server reported, nil if it reported none.
	Load *balance.Load
	// Limit is what the response says about the limit of its server.
	Limit serverlimit.Statement
	// Leaving is set if the response says that its server is about to leave.
	Leaving bool
	// Close ends the exchange and releases its connection.
	Close func()
}

// Backend sends requests to backend servers. An error of Send is a
// *connection.UnsentError or a *connection.IncompleteResponseError.
type Backend interface {
	Send(ctx context.Context, server backend.Server, backendRequest BackendRequest) (*Response, error)
	// AcceptsConnections reports whether the server accepts connections.
	AcceptsConnections(ctx context.Context, server backend.Server) bool
}
