package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/call"
)

// event is what the goroutine of Run takes from its ring. The types of this
// file are all there are.
type event interface{ isEvent() }

// arrival is a new call.
type arrival struct{ call *call.Call }

// completion is the end of a running call. Latency is the time for each
// generated token, zero if unknown.
type completion struct {
	call    *call.Call
	cost    int64
	actual  int64
	latency time.Duration
}

// removal takes a call out of the queue.
type removal struct{ id string }

// coldness tells that the server has turned cold.
type coldness struct{ reason string }

// look is the server's answer to the question whether it is cold.
type look struct {
	cold time.Duration
	err  error
}

func (arrival) isEvent()    {}
func (completion) isEvent() {}
func (removal) isEvent()    {}
func (coldness) isEvent()   {}
func (look) isEvent()       {}

func (g *Gate) handle(next event) {
	switch e := next.(type) {
	case arrival:
		g.arrive(e.call)
	case completion:
		g.complete(e)
	case removal:
		g.waiting.Remove(e.id)
	case coldness:
		g.turnCold(e.reason)
	case look:
		g.takeLook(e)
	}
}

// turnCold sets the window back. The log says so once, not at each failed
// report of a server that stays away.
func (g *Gate) turnCold(reason string) {
	now := g.now()
	if !g.bound.Cold(now) {
		g.logger.Info("server taken to be cold", zap.String("reason", reason))
	}
	g.bound.Reset(now)
}

func (g *Gate) arrive(arrived *call.Call) {
	dispatch := arrived.Dispatch()
	item := queue.NewItem(arrived.ID(), dispatch.GetWorkspace(), dispatch.GetProgramId(),
		dispatch.GetWeight(), g.estimate(dispatch), dispatch.GetServiceSoFar(), arrived.Began())
	if refused, ok := g.waiting.Push(item); !ok {
		if known, found := g.calls.Find(refused.ID()); found {
			g.refuseFull(known)
		}
	}
}

// estimate returns the expected cost of a call in generated tokens.
func (g *Gate) estimate(dispatch *wire.Dispatch) int64 {
	model := dispatch.GetModel()
	if model == nil {
		return 1
	}
	answer := min(float64(model.GetMaxTokens()), g.answer)
	return model.GetPromptTokens()/promptDiscount + int64(answer)
}

func (g *Gate) complete(done completion) {
	delete(g.running, done.call.ID())
	if g.alone == done.call {
		g.alone = nil
	}
	dispatch := done.call.Dispatch()
	g.waiting.Charge(dispatch.GetWorkspace(), dispatch.GetWeight(), done.actual-done.cost)
	g.served += float64(done.actual)
	if done.latency > 0 {
		g.answer += rateSmoothing * (float64(done.actual) - g.answer)
		if g.bound.Observe(g.now(), done.latency) {
			g.logger.Info("server taken to be cold", zap.String("reason", "latency jumped"))
		}
	}
}

// startReady starts calls while the window has room. A call that must run
// alone waits for the others to end and holds all back until it has.
func (g *Gate) startReady(ctx context.Context) {
	defer g.lookAgain(ctx)
	for g.alone == nil && len(g.running) < g.bound.Size(g.now()) && !g.sight.spent() {
		item, found := g.waiting.Pop(g.now())
		if !found {
			return
		}
		next, known := g.calls.Find(item.ID())
		if !known {
			continue
		}
		if next.Dispatch().GetAlone() && len(g.running) > 0 {
			g.holdAlone(next, item)
			return
		}
		if next.Dispatch().GetAlone() {
			g.alone = next
		}
		g.start(ctx, next, item.Cost())
	}
	if g.alone != nil && len(g.running) == 0 && !g.sight.spent() {
		g.start(ctx, g.alone, g.estimate(g.alone.Dispatch()))
	}
}

// holdAlone keeps a call that must run alone until the last running one has
// ended; startReady then starts it.
func (g *Gate) holdAlone(next *call.Call, item queue.Item) {
	g.alone = next
	g.logger.Info("suspect waits to run alone", zap.String("call", item.ID()))
}

func (g *Gate) start(ctx context.Context, next *call.Call, cost int64) {
	ctx, cancel := context.WithCancel(ctx)
	if !next.Start(cancel) {
		cancel()
		if g.alone == next {
			g.alone = nil
		}
		return
	}
	g.running[next.ID()] = next
	g.sight.started()
	go g.run(ctx, cancel, next, cost)
}
