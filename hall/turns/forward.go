package turns

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/wire"
)

const (
	// forwardPrefix is the path prefix of calls that a hall forwards to a keeper. It
	// is followed by the keeper's address and the path of the call.
	forwardPrefix = "/keepers/"
	// maxForwardedBytes limits the size of a forwarded call. It leaves room beyond
	// the input and output of a turn.
	maxForwardedBytes = 16 << 20
	// copyBytes is the memory for passing on a response.
	copyBytes = 32 << 10
)

// keeperRoute is how a keeper is called: directly, or through another hall while
// this hall can't reach it.
type keeperRoute struct {
	keeper endpoint
	hall   endpoint // Zero for direct calls.
}

// endpoint is a process and its address.
type endpoint struct{ name, address string }

func newRoute(keeper replication.Keeper, hall endpoint) keeperRoute {
	return keeperRoute{keeper: endpoint{name: keeper.Name, address: keeper.Address}, hall: hall}
}

// newCaller returns a caller of the keeper that uses the route.
func (r keeperRoute) newCaller(client *http.Client) *caller {
	if r.hall == (endpoint{}) {
		return &caller{client: recipient.NewClient(client, host.KindKeeper, r.keeper.name), url: "http://" + r.keeper.address + wire.KeeperPathPrefix}
	}
	forwarding := recipient.NewClient(client, host.KindHall, r.hall.name).ForwardingTo(host.KindKeeper, r.keeper.name)
	return &caller{client: forwarding, url: "http://" + r.hall.address + forwardPrefix + r.keeper.address + wire.KeeperPathPrefix}
}

// ForwardPathPrefix is the path prefix of Forward.
func ForwardPathPrefix() string { return forwardPrefix }

// Forward is the HTTP handler that forwards a call of another hall to a listed
// keeper. It makes one attempt and calls the keeper directly, so that calls are
// never forwarded in a loop.
func (c *Client) Forward(w http.ResponseWriter, r *http.Request) {
	address, path, found := strings.Cut(strings.TrimPrefix(r.URL.Path, forwardPrefix), "/")
	hasAddress := func(k replication.Keeper) bool { return k.Address == address }
	if !found || !slices.ContainsFunc(c.keepers.List().All(), hasAddress) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(callTimeout)) // Fails only if the connection is closed.
	account := c.memory.Open(buffer.PriorityRunning)
	defer account.Release()
	body, err := account.Read(r.Body, r.ContentLength, maxForwardedBytes)
	if err == nil {
		err = account.Take(copyBytes)
	}
	if err != nil {
		c.logger.Info("cannot read a call to forward", zap.String("keeper", address), zap.Int64("length", r.ContentLength), zap.Error(err))
		w.Header().Set("Connection", "close")
		w.WriteHeader(buffer.Status(err))
		return
	}
	_ = control.SetReadDeadline(time.Time{})
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+"/"+path, bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outgoing.GetBody = nil
	recipient.Forward(outgoing, r)
	outgoing.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	response, err := c.httpClient.Do(outgoing)
	if err != nil {
		c.logger.Info("forwarding a call to a keeper failed", zap.String("keeper", address), zap.Error(err))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		c.logger.Info("forwarding a keeper's response failed", zap.String("keeper", address), zap.Error(err))
		panic(http.ErrAbortHandler) // The other hall must not take it for whole.
	}
}
