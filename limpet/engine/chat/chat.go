// Package chat is the Engine plug-in for engines with a chat completions API
// over HTTP and server-sent events.
//
// In addition to the standard fields, a request carries cache_key, under which
// the engine caches the prompt prefix, and the header X-Request-Id, which the
// engine echoes as request_id in each chunk. A chunk with another request_id
// fails the call and is never forwarded. GET /v1/load returns the load report,
// DELETE /v1/cache/KEY releases pinned memory, and POST /v1/orders loads or
// unloads a model. GET /health returns in the header X-Cold-Ms for how many
// milliseconds the engine remains cold.
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
	// controlTimeout bounds each request for the load report, for the remaining
	// cold time and to release memory.
	controlTimeout    = time.Second
	maxErrorBodyBytes = 4096
	maxLineBytes      = 4 << 20
	// maxTrailingBytes bounds what is read after the end marker of a stream.
	maxTrailingBytes    = 1024
	requestIDHeader     = "X-Request-Id"
	coldRemainingHeader = "X-Cold-Ms"
)

func init() {
	engine.Engines.Register("chat", func(options engine.Options) (engine.Engine, error) {
		return New(options), nil
	})
}

// Engine is an HTTP client of one engine.
type Engine struct {
	baseURL string
	client  *http.Client
}

// New returns a client for the engine at options.Address.
func New(options engine.Options) *Engine {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := options.Network.DialContext(ctx, network, address)
			if err != nil {
				return nil, engine.NewUnreachableError(err)
			}
			return connection, nil
		},
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	}
	return &Engine{baseURL: "http://" + options.Address, client: &http.Client{Transport: transport}}
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
		return nil, engine.NewStatusError(http.StatusBadRequest, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // Prevents the transport from resending the request.
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestIDHeader, callID)
	response, err := e.client.Do(request)
	if err != nil {
		return nil, classifySendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return nil, engine.NewStatusError(response.StatusCode, string(detail))
	}
	reader := streamReader{callID: callID, emit: emit}
	return reader.read(ctx, response.Body)
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var report struct {
		Started      string   `json:"started"`
		Running      int64    `json:"running"`
		CacheCleared int64    `json:"cacheCleared"`
		Pins         []string `json:"pins"`
		Models       []string `json:"models"`
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/v1/load", nil)
	if err != nil {
		return engine.LoadReport{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return engine.LoadReport{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return engine.LoadReport{}, engine.NewStatusError(response.StatusCode, "load report")
	}
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return engine.LoadReport{}, err
	}
	return engine.LoadReport(report), nil
}

// ColdRemaining implements engine.Engine.
func (e *Engine) ColdRemaining(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.baseURL+"/health", nil)
	if err != nil {
		return 0, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	value := response.Header.Get(coldRemainingHeader)
	if value == "" {
		return 0, &engine.ColdUnsupportedError{}
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 0 {
		return 0, engine.NewStatusError(response.StatusCode, coldRemainingHeader+" "+strconv.Quote(value))
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// Release implements engine.Engine.
func (e *Engine) Release(ctx context.Context, cacheKey string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, e.baseURL+"/v1/cache/"+url.PathEscape(cacheKey), nil)
	if err != nil {
		return err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return engine.NewStatusError(response.StatusCode, "release of "+cacheKey)
	}
	return nil
}

// Execute implements engine.Engine with POST /v1/orders. Status 409 reports an
// outdated fencing token.
func (e *Engine) Execute(ctx context.Context, command engine.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil // Prevents the transport from resending the request.
	response, err := e.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return engine.NewStaleFencingTokenError(command.FencingToken)
	default:
		return engine.NewStatusError(response.StatusCode, string(command.Kind)+" of "+command.Model)
	}
}

// requestBody returns the engine request. Fields set by the system override
// the options of the caller.
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
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

func classifySendError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var unreachable *engine.UnreachableError
	if errors.As(err, &unreachable) {
		return unreachable
	}
	return engine.NewConnectionLostError(err)
}

// streamReader parses the event stream of one response.
type streamReader struct {
	callID string
	emit   func(*wire.Delta)
	end    wire.End
}

func (r *streamReader) read(ctx context.Context, body io.Reader) (*wire.End, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), maxLineBytes)
	for scanner.Scan() {
		data, found := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			_, _ = io.Copy(io.Discard, io.LimitReader(body, maxTrailingBytes)) // Drains the body so that the connection can be reused.
			return r.finalEnd()
		}
		if err := r.handleChunk(data); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := scanner.Err(); err != nil {
		return nil, engine.NewConnectionLostError(err)
	}
	return nil, engine.NewTruncatedError("stream ended without the [DONE] marker")
}

func (r *streamReader) handleChunk(data []byte) error {
	var parsed chunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return engine.NewTruncatedError("malformed chunk")
	}
	if parsed.RequestID != "" && parsed.RequestID != r.callID {
		return engine.NewTruncatedError(fmt.Sprintf("received a chunk of request %q", parsed.RequestID))
	}
	for _, choice := range parsed.Choices {
		if len(choice.Delta) > len("{}") {
			r.emit(&wire.Delta{Json: choice.Delta, Tokens: tokenCount(choice.Delta)})
		}
		if choice.FinishReason != "" {
			r.end.FinishReason = choice.FinishReason
		}
	}
	if parsed.Usage != nil {
		r.end.Usage = &wire.Usage{
			PromptTokens: parsed.Usage.PromptTokens, CompletionTokens: parsed.Usage.CompletionTokens,
			CachedTokens: parsed.Usage.Details.CachedTokens,
		}
	}
	return nil
}

// tokenCount returns the number of tokens in a delta. Engines send one delta
// for each token and others without a token, such as the one with only the
// role.
func tokenCount(delta []byte) int64 {
	if bytes.Contains(delta, []byte(`"content":""`)) && !bytes.Contains(delta, []byte(`"tool_calls"`)) {
		return 0
	}
	return 1
}

func (r *streamReader) finalEnd() (*wire.End, error) {
	if r.end.FinishReason == "" {
		return nil, engine.NewTruncatedError("missing finish reason")
	}
	return &r.end, nil
}
