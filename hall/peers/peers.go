// Package peers is the internal API of a hall, for other halls and for operators.
//
// # Usage
//
//	server := peers.New(dependencies)
//	server.Mount(listener, secrets)
package peers

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/fleet"
	"limpethall.dev/hall/home"
	"limpethall.dev/hall/neighbor"
	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Follower  *configuration.Follower
	Neighbors *neighbor.Neighbors
	Limiter   *ratelimit.Limiter
	Fleet     *fleet.Fleet
	Home      *home.Home
	Replicas  *program.ReplicaStore
	Active    func() int64
	Logger    *zap.Logger
	Now       func() time.Time
}

// Server serves the unary and streaming calls of the internal API.
type Server struct {
	Dependencies
}

// New returns a server.
func New(dependencies Dependencies) *Server {
	return &Server{Dependencies: dependencies}
}

// Mount adds the routes to a listener. They reject requests without the shared
// secret.
func (s *Server) Mount(l *listener.Listener, secrets *secret.Keyring) {
	guard := peer.Guard(secrets, s.Logger)
	peer.MountTwirp(l, guard, wire.NewHallServer(s))
	peer.MountStream(l, guard, peer.TurnPath, s.serveTurn)
}

// serveTurn runs a call of a program that another hall forwarded to this one. A
// failure is sent as the last frame.
func (s *Server) serveTurn(ctx context.Context, turn *wire.TurnRequest, sender *peer.Sender) {
	send := func(frame *wire.Frame) error {
		frame.CallId = turn.GetRequestId()
		return sender.Send(frame)
	}
	if err := s.Home.Run(ctx, turn, send); err != nil {
		_ = send(&wire.Frame{Body: &wire.Frame_Failure{Failure: failure.From(err).ToWire()}})
	}
}

// Exchange implements the Hall service.
func (s *Server) Exchange(_ context.Context, status *wire.HallStatus) (*wire.HallStatus, error) {
	return s.Neighbors.HandleHeartbeat(status), nil
}

// FetchConfiguration implements the Hall service.
func (s *Server) FetchConfiguration(_ context.Context, request *wire.FetchConfigurationRequest) (*wire.FetchConfigurationReply, error) {
	current := s.Follower.Table()
	reply := &wire.FetchConfigurationReply{Revision: current.Revision()}
	if current.Revision() <= request.GetHaveRevision() {
		return reply, nil
	}
	snapshot, err := current.Snapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// Lend implements the Hall service.
func (s *Server) Lend(_ context.Context, request *wire.LendRequest) (*wire.LendReply, error) {
	return s.Limiter.Lend(request), nil
}

// StoreRecord implements the Hall service.
func (s *Server) StoreRecord(_ context.Context, request *wire.StoreRecordRequest) (*wire.StoreRecordReply, error) {
	return &wire.StoreRecordReply{Result: s.Replicas.Store(request.GetRecord(), request.GetPreviousDigest(), s.Now())}, nil
}

// FetchRecord implements the Hall service.
func (s *Server) FetchRecord(_ context.Context, request *wire.FetchRecordRequest) (*wire.FetchRecordReply, error) {
	return &wire.FetchRecordReply{Record: s.Home.FetchRecord(request.GetProgramId())}, nil
}

// ReturnBudget implements the Hall service.
func (s *Server) ReturnBudget(ctx context.Context, request *wire.ReturnBudgetRequest) (*wire.Empty, error) {
	if err := s.Home.ReturnBudget(ctx, request); err != nil {
		return nil, failure.ToTwirp(err)
	}
	return &wire.Empty{}, nil
}

// OpenChild implements the Hall service.
func (s *Server) OpenChild(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	return twirpResult(s.Home.OpenChild(ctx, request))
}

// EndProgram implements the Hall service.
func (s *Server) EndProgram(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	return twirpResult(s.Home.End(ctx, request))
}

// DescribeProgram implements the Hall service.
func (s *Server) DescribeProgram(ctx context.Context, request *wire.ProgramRequest) (*wire.ProgramState, error) {
	return twirpResult(s.Home.Describe(ctx, request))
}

// Describe implements the Hall service.
func (s *Server) Describe(context.Context, *wire.Empty) (*wire.HallDescription, error) {
	now := s.Now()
	description := &wire.HallDescription{
		Status: s.Neighbors.Status(now), Programs: int64(s.Home.Len()), ActiveCalls: s.Active(),
		ShareParts: s.Limiter.ShareParts(), Limpets: s.Fleet.Statuses(), Halls: s.Neighbors.Statuses(now),
	}
	for _, row := range s.Follower.Table().Rows() {
		tokens, rate := s.Limiter.Tokens(row.Workspace())
		description.Shares = append(description.Shares, &wire.ShareStatus{Workspace: row.Workspace(), Rate: rate, Tokens: tokens})
	}
	return description, nil
}

// twirpResult converts the error of a call into a twirp error.
func twirpResult(state *wire.ProgramState, err error) (*wire.ProgramState, error) {
	if err != nil {
		return nil, failure.ToTwirp(err)
	}
	return state, nil
}
