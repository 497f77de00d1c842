package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	client "limpethall.dev/limpet/engine"
)

// Weights is the weight store as engines see it: it counts the loads that run
// at once.
type Weights struct {
	mutex   sync.Mutex
	running int
	most    int
}

// Most returns the most loads that ran at once.
func (w *Weights) Most() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.most
}

func (w *Weights) change(by int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running += by
	w.most = max(w.most, w.running)
}

// Models returns what the engine holds.
func (e *Engine) Models() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.models)
}

// Fence returns the highest fencing number seen.
func (e *Engine) Fence() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fence
}

func (e *Engine) order(_ context.Context, c *app.RequestContext) {
	var order client.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !e.admit(order.Fence) {
		c.Status(http.StatusConflict)
		return
	}
	if order.Kind == client.OrderLoad {
		e.options.Weights.change(1)
		time.Sleep(e.options.LoadLength)
		e.options.Weights.change(-1)
	}
	e.hold(order)
	c.Status(http.StatusOK)
}

// admit takes in a fencing number and reports whether its order is obeyed.
func (e *Engine) admit(fence uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.Fencing && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

func (e *Engine) hold(order client.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.models = slices.DeleteFunc(slices.Clone(e.models), func(model string) bool { return model == order.Model })
	if order.Kind == client.OrderLoad {
		e.models = append(e.models, order.Model)
	}
}
