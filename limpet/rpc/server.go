// Package rpc serves a limpet's API to the halls: the call stream and the
// Limpet RPC service.
//
// # Usage
//
//	s := rpc.New(identity, scheduler, pins, follower, time.Now, logger)
//	s.Mount(listener, secrets)
package rpc

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/call"
	"limpethall.dev/limpet/pin"
	"limpethall.dev/limpet/scheduler"
)

// Identity identifies the backend server of a limpet, the limpet's incarnation
// and the configured models.
type Identity struct {
	Name        string
	Zone        string
	Incarnation uint64
	Models      []string
}

// Server implements the call stream and the Limpet RPC service.
type Server struct {
	identity  Identity
	scheduler *scheduler.Scheduler
	pins      *pin.Tracker
	follower  *configuration.Follower
	now       func() time.Time
	logger    *zap.Logger
}

// New returns a server. The follower installs the configuration snapshots that
// halls send.
func New(identity Identity, callScheduler *scheduler.Scheduler, pins *pin.Tracker, follower *configuration.Follower, now func() time.Time, logger *zap.Logger) *Server {
	return &Server{identity: identity, scheduler: callScheduler, pins: pins, follower: follower, now: now, logger: logger}
}

// Mount adds the routes to a listener. Only peers that know a shared secret
// have access.
func (s *Server) Mount(l *listener.Listener, secrets *secret.Keyring) {
	guard := peer.Guard(secrets, s.logger)
	peer.MountTwirp(l, guard, wire.NewLimpetServer(s))
	peer.MountStream(l, guard, peer.CallPath, s.serveCall)
}

func (s *Server) serveCall(ctx context.Context, dispatch *wire.Dispatch, sender *peer.Sender) {
	c, err := s.scheduler.Submit(dispatch)
	if err != nil {
		frame := call.FailureFrame(err)
		frame.CallId = dispatch.GetCallId()
		_ = sender.Send(frame)
		return
	}
	detach := c.Attach()
	defer func() { detach(s.now()) }()
	s.streamFrames(ctx, c, dispatch.GetOffset(), sender)
}

func (s *Server) streamFrames(ctx context.Context, c *call.Call, offset uint64, sender *peer.Sender) {
	for {
		frame, err := c.Read(ctx, offset)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				s.logger.Debug("reader detached", zap.String("call", c.ID()), zap.Error(err))
			}
			return
		}
		if end := frame.GetEnd(); end != nil {
			end = &wire.End{FinishReason: end.GetFinishReason(), Usage: end.GetUsage(), BodyBytes: end.GetBodyBytes(), Status: s.status()}
			frame = &wire.Frame{CallId: frame.GetCallId(), Offset: frame.GetOffset(), Body: &wire.Frame_End{End: end}}
		}
		if sender.Send(frame) != nil {
			return
		}
		offset++
	}
}

// Beat implements wire.Limpet.
func (s *Server) Beat(context.Context, *wire.BeatRequest) (*wire.LimpetStatus, error) {
	return s.status(), nil
}

// Install implements wire.Limpet.
func (s *Server) Install(_ context.Context, request *wire.InstallRequest) (*wire.LimpetStatus, error) {
	snapshot, err := table.Restore(request.GetSnapshot())
	if err != nil {
		return nil, err
	}
	s.follower.Install(snapshot)
	return s.status(), nil
}

// Settle implements wire.Limpet.
func (s *Server) Settle(_ context.Context, request *wire.SettleRequest) (*wire.SettleReply, error) {
	if s.scheduler.RefuseUnstarted(request.GetCallId()) {
		return &wire.SettleReply{State: wire.SettleReply_STATE_REFUSED_FOR_GOOD}, nil
	}
	return &wire.SettleReply{State: wire.SettleReply_STATE_PRESENT}, nil
}

// Cancel implements wire.Limpet.
func (s *Server) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.Empty, error) {
	s.scheduler.Cancel(request.GetCallId())
	return &wire.Empty{}, nil
}

// Release implements wire.Limpet.
func (s *Server) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.Empty, error) {
	s.pins.Unpin(request.GetProgramId(), s.now())
	return &wire.Empty{}, nil
}

func (s *Server) status() *wire.LimpetStatus {
	load := s.scheduler.Load()
	refusal := s.scheduler.Refusal()
	return &wire.LimpetStatus{
		Server: s.identity.Name, Zone: s.identity.Zone, Incarnation: s.identity.Incarnation,
		ConfigurationRevision: s.follower.Table().Revision(),
		Window:                load.Window, Running: load.Running, Queued: load.Queued, QueuedTokens: load.Cost,
		TokensPerSecond: load.Rate, Refusing: refusal != "", Refusal: refusal, Models: s.identity.Models,
	}
}
