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

// HighestFencingToken returns the highest fencing token that the engine has accepted.
func (e *Engine) HighestFencingToken() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.highestToken
}

func (e *Engine) handleCommand(_ context.Context, c *app.RequestContext) {
	var command client.Command
	if err := json.Unmarshal(c.Request.Body(), &command); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	if !e.acceptFencingToken(command.FencingToken) {
		c.Status(http.StatusConflict)
		return
	}
	if command.Kind == client.CommandLoad {
		e.options.Weights.addRunning(1)
		time.Sleep(e.options.LoadLength)
		e.options.Weights.addRunning(-1)
	}
	e.updateModels(command)
	c.Status(http.StatusOK)
}

// acceptFencingToken reports whether a command with this fencing token may be carried
// out, and if so records the token.
func (e *Engine) acceptFencingToken(token uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.Fencing && token < e.highestToken {
		return false
	}
	e.highestToken = max(e.highestToken, token)
	return true
}

func (e *Engine) updateModels(command client.Command) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.models = slices.DeleteFunc(slices.Clone(e.models), func(model string) bool { return model == command.Model })
	if command.Kind == client.CommandLoad {
		e.models = append(e.models, command.Model)
	}
}
