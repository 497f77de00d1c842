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

// Guard returns a handler that refuses and logs requests which do not come
// from one of the project's own processes.
func Guard(book *secret.Book, logger *zap.Logger) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		header := string(c.GetHeader("Authorization"))
		if !book.Authorized(header, string(c.Method()), string(c.Path()), time.Now()) {
			logger.Warn("peer request refused", zap.String("path", string(c.Path())), zap.String("from", c.RemoteAddr().String()))
			c.AbortWithMsg("this route is for the system's own processes\n", http.StatusUnauthorized)
			return
		}
		c.Next(ctx)
	}
}

// MountTwirp serves a generated Twirp server on a listener.
func MountTwirp(l *listener.Listener, guard app.HandlerFunc, server interface {
	http.Handler
	PathPrefix() string
},
) {
	prefix := strings.TrimSuffix(server.PathPrefix(), "/")
	l.Router().POST(prefix+"/:method", guard, adaptor.HertzHandler(server))
}

// MountStream serves a stream: serve gets the request and writes the answer's
// frames. Between them heartbeats are sent.
func MountStream[T any, M interface {
	*T
	proto.Message
}](l *listener.Listener, guard app.HandlerFunc, path string, serve func(ctx context.Context, request M, sender *Sender),
) {
	l.Router().POST(path, guard, func(ctx context.Context, c *app.RequestContext) {
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

// Sender writes frames to one stream. It is safe for concurrent use.
type Sender struct {
	mutex   sync.Mutex
	writer  *wire.FrameWriter
	body    network.ExtWriter
	stopped chan struct{}
	failed  error
}

func newSender(c *app.RequestContext) *Sender {
	c.SetContentType(wire.StreamContentType)
	body := resp.NewChunkedBodyWriter(&c.Response, c.GetWriter())
	c.Response.HijackWriter(body)
	sender := &Sender{body: body, stopped: make(chan struct{})}
	sender.writer = wire.NewFrameWriter(body, c.Flush)
	go sender.beat()
	return sender
}

// Send writes one frame at once. After a failure it keeps returning it.
func (s *Sender) Send(frame *wire.Frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed == nil {
		s.failed = s.writer.Write(frame)
	}
	return s.failed
}

func (s *Sender) beat() {
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

// close stops the heartbeats before the handler returns and the connection
// is used again.
func (s *Sender) close() {
	close(s.stopped)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed == nil {
		s.failed = http.ErrBodyNotAllowed
	}
}
