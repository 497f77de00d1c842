package dispatch

import (
	"context"

	"go.uber.org/zap"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

// CallAtMostOnce runs a call that must run at most once, on the limpet chosen for
// it. The limpet never starts a call ID twice, so any hall may call
// CallAtMostOnce again for the same call.
//
// CallAtMostOnce reports outcome NotRun only if the limpet confirms it. If this
// hall sent nothing and the limpet can't be asked, CallAtMostOnce returns an
// *UnsentError with code serverFailed and outcome Unknown: another hall may have
// sent the call. The caller can report NotRun if it knows that none did.
func (d *Dispatcher) CallAtMostOnce(ctx context.Context, requestID string, limpet host.Member, call *wire.Dispatch, emit Emit) (Result, error) {
	d.logger.Info("place", zap.String("request", requestID), zap.String("program", call.GetProgramId()), zap.String("call", call.GetCallId()),
		zap.String("server", limpet.Name()), zap.Uint64("incarnation", limpet.Incarnation()), zap.String("reason", "rendezvous of the call's identifier"))
	end, err := d.runOnLimpet(ctx, limpet, call, emit)
	if err == nil {
		return Result{server: limpet.Name(), end: end}, nil
	}
	callFailure := failure.From(err)
	if callFailure.Code() == failure.CodeServerFailed || callFailure.Code() == failure.CodeServerLeaving || callFailure.Code() == failure.CodeQueueFull {
		return Result{server: limpet.Name()}, d.confirmNotRun(ctx, limpet, call, callFailure)
	}
	return Result{server: limpet.Name()}, err
}

// confirmNotRun asks the limpet to refuse the call permanently, so that a failure
// reported as NotRun stays correct if the call arrives at the limpet again.
func (d *Dispatcher) confirmNotRun(ctx context.Context, limpet host.Member, call *wire.Dispatch, callFailure *failure.Error) error {
	refusedPermanently, err := d.Settle(ctx, limpet, call.GetCallId())
	switch {
	case err != nil && callFailure.Outcome() == failure.NotRun && callFailure.Code() == failure.CodeServerFailed:
		return &UnsentError{failure: callFailure.WithOutcome(failure.Unknown)}
	case err != nil:
		return failure.New(failure.CodeStreamBroken, failure.Unknown, "server %s can't be asked whether the call ran", limpet.Name())
	case refusedPermanently:
		return callFailure.WithOutcome(failure.NotRun)
	case callFailure.Outcome() == failure.NotRun:
		return callFailure // The limpet recorded that it did not reach the service.
	default:
		return callFailure.WithOutcome(failure.Unknown)
	}
}

// Settle asks the limpet to refuse the call permanently and reports whether it
// does: it can't if the call has started. An error means that the limpet did not
// answer.
func (d *Dispatcher) Settle(ctx context.Context, limpet host.Member, callID string) (bool, error) {
	reply, err := d.client.Limpet(limpet.Address()).Settle(ctx, &wire.SettleRequest{CallId: callID})
	if err != nil {
		return false, err
	}
	return reply.GetState() == wire.SettleReply_STATE_REFUSED_FOR_GOOD, nil
}

// UnsentError reports a call that this hall did not send, or that the limpet
// reported as not run, while the limpet can't be asked whether another hall sent it.
type UnsentError struct{ failure *failure.Error }

// Error implements error.
func (e *UnsentError) Error() string { return e.failure.Error() }

// Unwrap returns the failure, whose outcome is Unknown.
func (e *UnsentError) Unwrap() error { return e.failure }

// Attach reads the response of a call that the limpet already has.
func (d *Dispatcher) Attach(ctx context.Context, limpet host.Member, call *wire.Dispatch, emit Emit) (Result, error) {
	end, err := d.runOnLimpet(ctx, limpet, call, emit)
	return Result{server: limpet.Name(), end: end}, err
}
