package dispatch

import (
	"context"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

// Once runs a call that must not be repeated on the one limpet it is placed
// on. The limpet never starts one identifier twice, so Once may be called
// again for the same call by any hall.
//
// Outcome NotRun is only told on the limpet's word. Where the limpet can't be
// reached at all, the failure has code serverFailed and outcome Unknown with
// Unsent true; the caller may know that nothing was sent before either.
func (d *Dispatcher) Once(ctx context.Context, requestID string, limpet host.Member, call *wire.Dispatch, emit Emit) (Result, error) {
	d.logger.Info("place", zap.String("request", requestID), zap.String("program", call.GetProgramId()), zap.String("call", call.GetCallId()),
		zap.String("server", limpet.Name()), zap.Uint64("incarnation", limpet.Incarnation()), zap.String("reason", "rendezvous of the call's identifier"))
	end, err := d.follow(ctx, limpet, call, emit)
	if err == nil {
		return Result{server: limpet.Name(), end: end}, nil
	}
	known := failure.From(err)
	if known.Code() == failure.CodeServerFailed || known.Code() == failure.CodeServerLeaving || known.Code() == failure.CodeQueueFull {
		return Result{server: limpet.Name()}, d.confirm(ctx, limpet, call, known)
	}
	return Result{server: limpet.Name()}, err
}

// confirm asks the limpet to refuse the call for good, so that a refusal
// stays true.
func (d *Dispatcher) confirm(ctx context.Context, limpet host.Member, call *wire.Dispatch, refused *failure.Error) error {
	settled, err := d.Settle(ctx, limpet, call.GetCallId())
	switch {
	case err != nil && refused.Outcome() == failure.NotRun && refused.Code() == failure.CodeServerFailed:
		return &UnsentError{failure: refused.WithOutcome(failure.Unknown)}
	case err != nil:
		return failure.New(failure.CodeStreamBroken, failure.Unknown, "server %s can't say now whether the call ran", limpet.Name())
	case settled:
		return refused.WithOutcome(failure.NotRun)
	case refused.Outcome() == failure.NotRun:
		return refused // The service itself was not reached; the limpet's record says so.
	default:
		return refused.WithOutcome(failure.Unknown)
	}
}

// Settle reports whether the limpet now refuses the call for good. An error
// means that it could not be asked.
func (d *Dispatcher) Settle(ctx context.Context, limpet host.Member, callID string) (bool, error) {
	reply, err := d.client.Limpet(limpet.Address()).Settle(ctx, &wire.SettleRequest{CallId: callID})
	if err != nil {
		return false, err
	}
	return reply.GetState() == wire.SettleReply_STATE_REFUSED_FOR_GOOD, nil
}

// UnsentError reports a call of which this hall sent no byte, while the limpet
// can't say whether another hall did.
type UnsentError struct{ failure *failure.Error }

// Error returns the failure's text.
func (e *UnsentError) Error() string { return e.failure.Error() }

// Unwrap returns the failure, whose outcome is Unknown.
func (e *UnsentError) Unwrap() error { return e.failure }

// Attach reads the answer of a call that the limpet knows.
func (d *Dispatcher) Attach(ctx context.Context, limpet host.Member, call *wire.Dispatch, emit Emit) (Result, error) {
	end, err := d.follow(ctx, limpet, call, emit)
	return Result{server: limpet.Name(), end: end}, err
}
