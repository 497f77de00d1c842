// Package chat is the Engine plug-in for engines with a chat completions
// interface over HTTP and server-sent events.
//
// Beyond the usual fields a request carries cache_key, under which the engine
// keeps the prompt's prefix, and the header X-Request-Id, which the engine
// repeats in request_id of each chunk; a chunk of another request is never
// passed on. GET /v1/load reports the load, DELETE /v1/cache/KEY releases
// memory. GET /health tells in the header X-Cold-Ms for how many milliseconds
// the engine stays cold.
//
// # Usage
//
//	import _ "limpethall.dev/limpet/engine/chat"
package chat

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"limpethall.dev/kernel/wire"
	"limpethall.dev/limpet/engine"
)

const (
	loadTimeout  = time.Second
	maxErrorBody = 4096
	maxLine      = 4 << 20
	maxTail      = 1024
	requestID    = "X-Request-Id"
	coldFor      = "X-Cold-Ms"
)

func init() {
	engine.Engines.Register("chat", func(options engine.Options) (engine.Engine, error) {
		return New(options), nil
	})
}

// Engine is a client of one engine.
type Engine struct {
	base   string
	client *http.Client
}

// New returns a client.
func New(options engine.Options) *Engine {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, protocol, address string) (net.Conn, error) {
			connection, err := options.Network.DialContext(ctx, protocol, address)
			if err != nil {
				return nil, engine.NewUnreachableError(err)
			}
			return connection, nil
		},
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	return &Engine{base: "http://" + options.Address, client: &http.Client{Transport: transport}}
}

type chunk struct {
	RequestID string        `json:"request_id"`
	Choices   []chunkChoice `json:"choices"`
	Usage     *chunkUsage   `json:"usage"`
}

type chunkChoice struct {
	Delta        json.RawMessage `json:"delta"`
	FinishReason string          `json:"finish_reason"`
}

type chunkUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, callID string, call *wire.ModelCall, emit func(*wire.Delta)) (*wire.End, error) {
	body, err := requestBody(call)
	if err != nil {
		return nil, engine.NewRefusedError(http.StatusBadRequest, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestID, callID)
	response, err := e.client.Do(request)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
		return nil, engine.NewRefusedError(response.StatusCode, string(detail))
	}
	reading := answer{callID: callID, emit: emit}
	return reading.read(ctx, response.Body)
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var document struct {
		Started      string   `json:"started"`
		Running      int64    `json:"running"`
		CacheCleared int64    `json:"cacheCleared"`
		Pins         []string `json:"pins"`
		Models       []string `json:"models"`
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/v1/load", nil)
	if err != nil {
		return engine.Load{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return engine.Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return engine.Load{}, engine.NewRefusedError(response.StatusCode, "load report")
	}
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return engine.Load{}, err
	}
	return engine.Load(document), nil
}

// ColdFor implements engine.Engine.
func (e *Engine) ColdFor(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/health", nil)
	if err != nil {
		return 0, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text := response.Header.Get(coldFor)
	if text == "" {
		return 0, &engine.UntoldError{}
	}
	length, err := strconv.ParseInt(text, 10, 64)
	if err != nil || length < 0 {
		return 0, engine.NewRefusedError(response.StatusCode, coldFor+" "+strconv.Quote(text))
	}
	return time.Duration(length) * time.Millisecond, nil
}

// Release implements engine.Engine.
func (e *Engine) Release(ctx context.Context, cacheKey string) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.base+"/v1/cache/"+url.PathEscape(cacheKey), nil)
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return engine.NewRefusedError(response.StatusCode, "release of "+cacheKey)
	}
	return nil
}

// Order implements engine.Engine with POST /v1/orders; status 409 stands for
// an old fencing number.
func (e *Engine) Order(ctx context.Context, order engine.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return engine.NewStaleOrderError(order.Fence)
	default:
		return engine.NewRefusedError(response.StatusCode, string(order.Kind)+" of "+order.Model)
	}
}

// requestBody returns the engine's request: the caller's own options with the
// fields that the system decides set over them.
func requestBody(call *wire.ModelCall) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if len(call.GetOptions()) > 0 {
		if err := json.Unmarshal(call.GetOptions(), &fields); err != nil {
			return nil, err
		}
	}
	messages := make([]json.RawMessage, 0, len(call.GetMessages()))
	for _, message := range call.GetMessages() {
		messages = append(messages, message)
	}
	for name, value := range map[string]any{
		"model":          call.GetModel(),
		"messages":       messages,
		"max_tokens":     call.GetMaxTokens(),
		"stream":         true,
		"stream_options": map[string]bool{"include_usage": true},
		"cache_key":      call.GetCacheKey(),
	} {
		text, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		fields[name] = text
	}
	return json.Marshal(fields)
}

func sendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var unreachable *engine.UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable
	}
	return engine.NewDiedError(err)
}

// answer reads the chunks of one answer.
type answer struct {
	callID string
	emit   func(*wire.Delta)
	end    wire.End
}

func (a *answer) read(ctx context.Context, body io.Reader) (*wire.End, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLine)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			_, _ = io.Copy(io.Discard, io.LimitReader(body, maxTail)) // So that the connection can be used again.
			return a.finish()
		}
		if err := a.take(data); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := lines.Err(); err != nil {
		return nil, engine.NewDiedError(err)
	}
	return nil, engine.NewTruncatedError("the stream ended before its end mark")
}

func (a *answer) take(data []byte) error {
	var read chunk
	if err := json.Unmarshal(data, &read); err != nil {
		return engine.NewTruncatedError("malformed chunk")
	}
	if read.RequestID != "" && read.RequestID != a.callID {
		return engine.NewTruncatedError(fmt.Sprintf("a chunk of request %q came instead", read.RequestID))
	}
	for _, choice := range read.Choices {
		if len(choice.Delta) > len("{}") {
			a.emit(&wire.Delta{Json: choice.Delta, Tokens: tokensOf(choice.Delta)})
		}
		if choice.FinishReason != "" {
			a.end.FinishReason = choice.FinishReason
		}
	}
	if read.Usage != nil {
		a.end.Usage = &wire.Usage{
			PromptTokens: read.Usage.PromptTokens, CompletionTokens: read.Usage.CompletionTokens,
			CachedTokens: read.Usage.Details.CachedTokens,
		}
	}
	return nil
}

// tokensOf returns how many tokens a delta stands for. Engines send one for
// each token, and some without any, as for the role alone.
func tokensOf(delta []byte) int64 {
	if bytes.Contains(delta, []byte(`"content":""`)) && !bytes.Contains(delta, []byte(`"tool_calls"`)) {
		return 0
	}
	return 1
}

func (a *answer) finish() (*wire.End, error) {
	if a.end.FinishReason == "" {
		return nil, engine.NewTruncatedError("no finish reason")
	}
	return &a.end, nil
}
