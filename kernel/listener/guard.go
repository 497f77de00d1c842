package listener

import (
	"context"
	"errors"
	"io"

	"github.com/cloudwego/hertz/pkg/common/config"
	hertz "github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"go.uber.org/zap"

	"limpethall.dev/kernel/task"
)

// guardedTransporter serves each connection in a guarded goroutine. Hertz's own transporter
// doesn't, so that a panic of a handler would end the process.
type guardedTransporter struct {
	hertz.Transporter
	logger *zap.Logger
}

func newTransporter(logger *zap.Logger) func(options *config.Options) hertz.Transporter {
	return func(options *config.Options) hertz.Transporter {
		return guardedTransporter{Transporter: standard.NewTransporter(options), logger: logger}
	}
}

// ListenAndServe implements network.Transporter of Hertz. A connection whose handler panics is
// closed, as a part of its response may have been sent.
func (t guardedTransporter) ListenAndServe(serve hertz.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		err := task.Guard(t.logger, "connection", func() error { return serve(ctx, conn) })
		var panicked *task.PanicError
		if closer, ok := conn.(io.Closer); ok && errors.As(err, &panicked) {
			_ = closer.Close() // The peer may have closed it.
		}
		return err
	})
}
