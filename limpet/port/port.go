// Package port serves a gate to the halls: streams of calls and the unary
// interface of a limpet.
//
// # Usage
//
//	p := port.New(gate, claims, accepted, logger)
//	p.Mount(listener, book)
package port

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
	"limpethall.dev/limpet/gate"
	"limpethall.dev/limpet/pin"
)

// Identity names the backend server that a limpet stands before.
type Identity struct {
	Name        string
	Zone        string
	Incarnation uint64
	Models      []string
}

// Port is the limpet's face towards halls.
type Port struct {
	identity Identity
	gate     *gate.Gate
	claims   *pin.Claims
	follower *configuration.Follower
	now      func() time.Time
	logger   *zap.Logger
}

// New returns a port. follower holds the configuration that halls hand over.
func New(identity Identity, g *gate.Gate, claims *pin.Claims, follower *configuration.Follower, now func() time.Time, logger *zap.Logger) *Port {
	return &Port{identity: identity, gate: g, claims: claims, follower: follower, now: now, logger: logger}
}

// Mount adds the routes to a listener.
func (p *Port) Mount(l *listener.Listener, book *secret.Book) {
	guard := peer.Guard(book, p.logger)
	peer.MountTwirp(l, guard, wire.NewLimpetServer(p))
	peer.MountStream(l, guard, peer.CallPath, p.serveCall)
}

func (p *Port) serveCall(ctx context.Context, dispatch *wire.Dispatch, sender *peer.Sender) {
	submitted, err := p.gate.Submit(dispatch)
	if err != nil {
		frame := call.FailureFrame(err)
		frame.CallId = dispatch.GetCallId()
		_ = sender.Send(frame)
		return
	}
	detach := submitted.Attach()
	defer func() { detach(p.now()) }()
	p.forward(ctx, submitted, dispatch.GetOffset(), sender)
}

func (p *Port) forward(ctx context.Context, submitted *call.Call, offset uint64, sender *peer.Sender) {
	for {
		frame, err := submitted.Read(ctx, offset)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.logger.Debug("reader left", zap.String("call", submitted.ID()), zap.Error(err))
			}
			return
		}
		if end := frame.GetEnd(); end != nil {
			end = &wire.End{FinishReason: end.GetFinishReason(), Usage: end.GetUsage(), BodyBytes: end.GetBodyBytes(), Status: p.status()}
			frame = &wire.Frame{CallId: frame.GetCallId(), Offset: frame.GetOffset(), Body: &wire.Frame_End{End: end}}
		}
		if sender.Send(frame) != nil {
			return
		}
		offset++
	}
}

// Beat implements the Limpet service.
func (p *Port) Beat(context.Context, *wire.BeatRequest) (*wire.LimpetStatus, error) {
	return p.status(), nil
}

// Install implements the Limpet service.
func (p *Port) Install(_ context.Context, request *wire.InstallRequest) (*wire.LimpetStatus, error) {
	next, err := table.Restore(request.GetSnapshot())
	if err != nil {
		return nil, err
	}
	p.follower.Install(next)
	return p.status(), nil
}

// Settle implements the Limpet service.
func (p *Port) Settle(_ context.Context, request *wire.SettleRequest) (*wire.SettleReply, error) {
	if p.gate.Settle(request.GetCallId()) {
		return &wire.SettleReply{State: wire.SettleReply_STATE_REFUSED_FOR_GOOD}, nil
	}
	return &wire.SettleReply{State: wire.SettleReply_STATE_PRESENT}, nil
}

// Cancel implements the Limpet service.
func (p *Port) Cancel(_ context.Context, request *wire.CancelRequest) (*wire.Empty, error) {
	p.gate.Cancel(request.GetCallId())
	return &wire.Empty{}, nil
}

// Release implements the Limpet service.
func (p *Port) Release(_ context.Context, request *wire.ReleaseRequest) (*wire.Empty, error) {
	p.claims.Release(request.GetProgramId(), p.now())
	return &wire.Empty{}, nil
}

func (p *Port) status() *wire.LimpetStatus {
	load := p.gate.Load()
	refusal := p.gate.Refusal()
	return &wire.LimpetStatus{
		Server: p.identity.Name, Zone: p.identity.Zone, Incarnation: p.identity.Incarnation,
		ConfigurationRevision: p.follower.Table().Revision(),
		Window:                load.Window, Running: load.Running, Queued: load.Queued, QueuedTokens: load.Cost,
		TokensPerSecond: load.Rate, Refusing: refusal != "", Refusal: refusal, Models: p.identity.Models,
	}
}
