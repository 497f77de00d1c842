package peer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

// Guard returns middleware that rejects and logs requests that are not signed by a
// process of this project.
func Guard(secrets *secret.Keyring, logger *zap.Logger) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		header := string(c.GetHeader("Authorization"))
		if !secrets.VerifyAuthorization(header, string(c.Method()), string(c.Path()), time.Now()) {
			logger.Warn("peer request refused", zap.String("path", string(c.Path())), zap.String("from", c.RemoteAddr().String()))
			c.AbortWithMsg("this route is for the system's own processes\n", http.StatusUnauthorized)
			return
		}
		c.Next(ctx)
	}
}

// MountTwirp adds the routes of a generated Twirp server to a listener.
func MountTwirp(l *listener.Listener, authenticate app.HandlerFunc, server interface {
	http.Handler
	PathPrefix() string
},
) {
	prefix := strings.TrimSuffix(server.PathPrefix(), "/")
	l.Router().POST(prefix+"/:method", authenticate, adaptor.HertzHandler(server))
}

// MountStream adds a streaming route to a listener. serve handles a request and sends
// the frames of the response; heartbeats are sent in addition until it returns.
func MountStream[T any, M interface {
	*T
	proto.Message
}](l *listener.Listener, authenticate app.HandlerFunc, path string, serve func(ctx context.Context, request M, sender *Sender),
) {
	l.Router().POST(path, authenticate, func(ctx context.Context, c *app.RequestContext) {
		request := M(new(T))
		if err := proto.Unmarshal(c.Request.Body(), request); err != nil {
			c.AbortWithMsg("malformed request\n", http.StatusBadRequest)
			return
		}
		sender := newSender(c)
		defer sender.close()
		serve(ctx, request, sender)
	})
}

// Sender sends the frames of a response. It is safe for concurrent use.
type Sender struct {
	mutex    sync.Mutex
	writer   *wire.FrameWriter
	body     network.ExtWriter
	stopped  chan struct{}
	writeErr error
}

func newSender(c *app.RequestContext) *Sender {
	c.SetContentType(wire.StreamContentType)
	body := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(body)
	sender := &Sender{body: body, stopped: make(chan struct{})}
	sender.writer = wire.NewFrameWriter(body, c.Flush)
	go sender.sendHeartbeats()
	return sender
}

// Send writes a frame and flushes it. After a failed write, all later calls return
// the same error.
func (s *Sender) Send(frame *wire.Frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writeErr == nil {
		s.writeErr = s.writer.Write(frame)
	}
	return s.writeErr
}

func (s *Sender) sendHeartbeats() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			if s.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}}) != nil {
				return
			}
		}
	}
}

// close stops the heartbeats and makes later calls of Send fail. It must be called
// before the handler returns, because the connection is reused afterwards.
func (s *Sender) close() {
	close(s.stopped)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.writeErr == nil {
		s.writeErr = http.ErrBodyNotAllowed
	}
}
