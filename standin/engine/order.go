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

// Weights simulates the store that engines load model weights from: it counts
// the concurrent loads.
type Weights struct {
	mutex   sync.Mutex
	running int
	highest int
}

// Most returns the highest number of concurrent loads so far.
func (w *Weights) Most() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.highest
}

func (w *Weights) addRunning(delta int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running += delta
	w.highest = max(w.highest, w.running)
}

// Models returns the names of the loaded models.
func (e *Engine) Models() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.models)
}

// Fence returns the highest fencing number that the engine has accepted.
func (e *Engine) Fence() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.highestFence
}

func (e *Engine) handleOrder(_ context.Context, c *app.RequestContext) {
	var order client.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !e.acceptFence(order.Fence) {
		c.Status(http.StatusConflict)
		return
	}
	if order.Kind == client.OrderLoad {
		e.options.Weights.addRunning(1)
		time.Sleep(e.options.LoadLength)
		e.options.Weights.addRunning(-1)
	}
	e.updateModels(order)
	c.Status(http.StatusOK)
}

// acceptFence reports whether an order with this fencing number may be carried
// out, and if so records the number.
func (e *Engine) acceptFence(fence uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.Fencing && fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	return true
}

func (e *Engine) updateModels(order client.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.models = slices.DeleteFunc(slices.Clone(e.models), func(model string) bool { return model == order.Model })
	if order.Kind == client.OrderLoad {
		e.models = append(e.models, order.Model)
	}
}
