package buffer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
)

const (
	// messageCopies is how often the message of a call is in memory while it is decoded: as
	// the server reads it from the body, and decoded.
	messageCopies = 2
	// callBytes is the memory of a call beside its message.
	callBytes = 16 << 10
)

// HandlerOptions configure a handler of calls.
type HandlerOptions struct {
	// MaxBytes limits the body of a call.
	MaxBytes int64
	// Timeout bounds the time in which the body must arrive, and then the time in which the
	// caller must take the reply.
	Timeout time.Duration
	// Priority returns the priority of a call.
	Priority func(*http.Request) Priority
	Logger   *zap.Logger
}

// Handler returns a handler that reads the body before it calls next with an account in the
// context. The account keeps the memory of the decoded message, and what next takes, until the
// reply is written. A call that finds no memory is refused with CallError.
func (b *Budget) Handler(next http.Handler, options HandlerOptions) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(options.Timeout)) // Fails only if the connection is closed.
		account := b.Open(options.Priority(r))
		defer account.Release()
		data, err := account.Read(r.Body, r.ContentLength, options.MaxBytes)
		if err == nil {
			err = account.Take(messageCopies*int64(len(data)) + callBytes)
		}
		if err != nil {
			options.Logger.Info("cannot read a call", zap.String("path", r.URL.Path), zap.Int64("length", r.ContentLength), zap.Error(err))
			w.Header().Set("Connection", "close")
			refuse(w, err)
			return
		}
		_ = control.SetReadDeadline(time.Time{})
		r = r.WithContext(NewContext(r.Context(), account))
		r.Body = &message{data: data, account: account}
		reply := &replyWriter{ResponseWriter: w, control: control, timeout: options.Timeout}
		next.ServeHTTP(reply, r)
		_ = control.SetWriteDeadline(time.Time{}) // For the next call on the connection.
	})
}

// CallError returns the error with which a call is refused that found no memory. Other errors
// are returned unchanged.
func CallError(err error) error {
	var full *FullError
	if errors.As(err, &full) {
		return twirp.NewError(twirp.Unavailable, full.Error())
	}
	return err
}

// Status returns the HTTP status for an error of Read.
func Status(err error) int {
	var full *FullError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &full):
		return http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

func refuse(w http.ResponseWriter, err error) {
	var refusal twirp.Error
	if errors.As(CallError(err), &refusal) {
		_ = twirp.WriteError(w, refusal) // The caller is gone if this fails.
		return
	}
	w.WriteHeader(Status(err))
}

// message is the body of a call. Its memory is returned once it is read.
type message struct {
	data    []byte
	read    int
	account *Account
}

// Read implements io.Reader.
func (m *message) Read(buffer []byte) (int, error) {
	if m.read == len(m.data) {
		m.account.Return(int64(len(m.data)))
		m.data, m.read = nil, 0
		return 0, io.EOF
	}
	count := copy(buffer, m.data[m.read:])
	m.read += count
	return count, nil
}

// Close implements io.Closer.
func (m *message) Close() error { return nil }

// replyWriter bounds the time in which the reply must be taken, from its first byte.
type replyWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	started bool
}

// Write implements io.Writer.
func (w *replyWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.started = true
		_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout)) // Fails only if the connection is closed.
	}
	return w.ResponseWriter.Write(data)
}
