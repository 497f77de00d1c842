package turns

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"limpethall.dev/kernel/keeping"
	"limpethall.dev/kernel/wire"
)

const (
	// forwardPrefix is where a hall takes calls that it passes on to a keeper. The
	// keeper's address and the path of the call follow.
	forwardPrefix = "/keepers/"
	// callPrefix begins the path of each call at a keeper.
	callPrefix = "/twirp"
	// maxForwarded bounds a call, in bytes: a turn's input and output with room.
	maxForwarded = 16 << 20
)

// route is the way to a keeper: directly, or through another hall while this one
// is cut off from it.
type route struct {
	keeper string
	hall   string // Empty for directly.
}

// open returns a client of a keeper along the route.
func (r route) open(client *http.Client) wire.Keeper {
	if r.hall == "" {
		return wire.NewKeeperProtobufClient("http://"+r.keeper, client)
	}
	return wire.NewKeeperProtobufClient("http://"+r.hall, client, twirp.WithClientPathPrefix(forwardPrefix+r.keeper+callPrefix))
}

// ForwardPath is the path prefix of Forward.
func ForwardPath() string { return forwardPrefix }

// Forward passes a call of another hall on to a keeper that is listed. It tries
// once and only directly, so calls can't go round in circles.
func (c *Client) Forward(w http.ResponseWriter, r *http.Request) {
	address, path, found := strings.Cut(strings.TrimPrefix(r.URL.Path, forwardPrefix), "/")
	isKeeper := func(k keeping.Keeper) bool { return k.Address == address }
	if !found || !slices.ContainsFunc(c.keepers.List().All(), isKeeper) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxForwarded))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+"/"+path, bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	outgoing.GetBody = nil
	outgoing.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	response, err := c.http.Do(outgoing)
	if err != nil {
		c.logger.Info("call not forwarded", zap.String("keeper", address), zap.Error(err))
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		c.logger.Info("answer not forwarded whole", zap.String("keeper", address), zap.Error(err))
	}
}
