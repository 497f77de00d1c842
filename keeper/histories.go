package keeper

import (
	"context"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/ledger"
	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/wire"
)

// historyField is the number of the field of wire.BeginTurnReply that holds the history.
const historyField = 3

// protobufType is the content type of encoded messages.
const protobufType = "application/protobuf"

// historyHandler answers the calls of Begin and Find. Their history is read from disk while it
// is written to the caller. next answers all other calls.
func (k *Keeper) historyHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		method, isCall := strings.CutPrefix(r.URL.Path, wire.KeeperPathPrefix)
		isEncoded := r.Method == http.MethodPost && r.Header.Get("Content-Type") == protobufType
		switch {
		case isCall && isEncoded && method == "Begin":
			k.answer(w, r, &beginCall{})
		case isCall && isEncoded && method == "Find":
			k.answer(w, r, &findCall{})
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// historyCall is a call whose reply ends with a history.
type historyCall interface {
	// message returns the message to which the call is decoded.
	message() proto.Message
	// execute returns the verdict, the encoded reply up to the history, and the history, nil for
	// none.
	execute(ctx context.Context, k *Keeper) (verdict string, prefix []byte, history *ledger.History, err error)
}

type beginCall struct{ request wire.BeginTurnRequest }

func (c *beginCall) message() proto.Message { return &c.request }

func (c *beginCall) execute(ctx context.Context, k *Keeper) (string, []byte, *ledger.History, error) {
	reply, history, err := k.begin(ctx, &c.request)
	if err != nil {
		return "", nil, nil, err
	}
	prefix, err := proto.Marshal(reply)
	if history != nil {
		prefix = protowire.AppendTag(prefix, historyField, protowire.BytesType)
		prefix = protowire.AppendVarint(prefix, uint64(history.Size()))
	}
	return reply.GetVerdict().String(), prefix, history, err
}

type findCall struct{ request wire.FindTurnRequest }

func (c *findCall) message() proto.Message { return &c.request }

func (c *findCall) execute(ctx context.Context, k *Keeper) (string, []byte, *ledger.History, error) {
	history := k.ledger.History(c.request.GetTurn(), c.request.GetWorkspace())
	err := buffer.FromContext(ctx).Take(history.Memory())
	return history.Verdict().String(), nil, history, callError(err)
}

func (k *Keeper) answer(w http.ResponseWriter, r *http.Request, call historyCall) {
	started := time.Now()
	method := strings.ToLower(path.Base(r.URL.Path))
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = proto.Unmarshal(data, call.message())
	}
	if err != nil {
		_ = twirp.WriteError(w, twirp.NewError(twirp.Malformed, err.Error())) // The caller is gone if this fails.
		return
	}
	verdict, prefix, history, err := call.execute(r.Context(), k)
	reply := &historyWriter{ResponseWriter: w, prefix: prefix}
	if err == nil {
		err = reply.write(history)
	}
	k.instruments.record(r.Context(), method, verdict, started, err)
	switch {
	case err == nil:
	case reply.started:
		k.logger.Info("history broken off", zap.String("call", method), zap.Error(err))
		panic(http.ErrAbortHandler) // As the caller has got a part of the reply.
	default:
		_ = twirp.WriteError(w, err) // The caller is gone if this fails.
	}
}

// historyWriter writes the head of a response, and the prefix of the reply, before the history.
type historyWriter struct {
	http.ResponseWriter
	prefix  []byte
	started bool
}

func (w *historyWriter) write(history *ledger.History) error {
	size := len(w.prefix)
	if history != nil {
		size += history.Size()
	}
	w.Header().Set("Content-Type", protobufType)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	if history == nil {
		_, err := w.Write(nil)
		return err
	}
	err := history.Write(w)
	if err != nil && !w.started {
		w.Header().Del("Content-Length")
	}
	return err
}

// Write implements io.Writer.
func (w *historyWriter) Write(data []byte) (int, error) {
	if !w.started {
		w.started = true
		if _, err := w.ResponseWriter.Write(w.prefix); err != nil {
			return 0, err
		}
	}
	return w.ResponseWriter.Write(data)
}
