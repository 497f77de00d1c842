package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const (
	defaultAnswerTokens = 16
	bytesPerToken       = 4
)

var answerLengthPattern = regexp.MustCompile(`answer=(\d+)`)

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	CacheKey  string            `json:"cache_key"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type completionChunk struct {
	RequestID string        `json:"request_id"`
	Object    string        `json:"object"`
	Choices   []chunkChoice `json:"choices"`
	Usage     *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Delta        message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type chunkUsage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

type loadReport struct {
	createdAt time.Time

	Started      string   `json:"started"`
	Running      int64    `json:"running"`
	CacheCleared int64    `json:"cacheCleared"`
	Pins         []string `json:"pins"`
	Models       []string `json:"models"`
}

// Digest returns a digest of a conversation, which is the first word of the
// answer to it. Messages are JSON objects, of which only role and content are
// hashed.
func Digest(messages [][]byte) string {
	hash := xxhash.New()
	for _, raw := range messages {
		var decoded message
		_ = json.Unmarshal(raw, &decoded)
		_, _ = hash.WriteString(decoded.Role + "\x00" + decoded.Content + "\x00")
	}
	return fmt.Sprintf("h%016x", hash.Sum64())
}

func (e *Engine) handleCompletion(ctx context.Context, c *app.RequestContext) {
	var request completionRequest
	if err := json.Unmarshal(c.Request.Body(), &request); err != nil || len(request.Messages) == 0 {
		c.String(http.StatusBadRequest, "malformed completion request or no messages")
		return
	}
	defer e.countRequest()()
	g := &generation{engine: e, request: request, requestID: string(c.GetHeader("X-Request-Id")), fault: e.currentFault()}
	if g.isPoisoned() {
		e.Die()
	}
	if !g.prefill(ctx) {
		closeConnection(c)
		return
	}
	g.generate(ctx, c)
}

// countRequest counts a request, and whether it exceeds the limit of a cold
// engine, and returns the function to call when the request ends. Requests that
// arrived while the engine was warm don't count towards that limit, because
// they can't be withdrawn.
func (e *Engine) countRequest() (done func()) {
	running := e.running.Add(1)
	var runningCold int64
	cold := e.isCold()
	if cold {
		runningCold = e.runningCold.Add(1)
	}
	e.updateStats(func(stats *Stats) {
		stats.Requests++
		stats.MostRunning = max(stats.MostRunning, running)
		if runningCold > e.options.ColdBound {
			stats.OverColdBound++
		}
	})
	return func() {
		e.running.Add(-1)
		if cold {
			e.runningCold.Add(-1)
		}
	}
}

func (e *Engine) currentFault() Fault {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fault
}

// generation is one request in the batch.
type generation struct {
	engine       *Engine
	request      completionRequest
	requestID    string
	fault        Fault
	promptTokens int64
	cachedTokens int64
}

func (g *generation) isPoisoned() bool {
	last := g.request.Messages[len(g.request.Messages)-1]
	return strings.Contains(string(last), "poison")
}

// wait returns false if the connection breaks before length has passed, for
// example because the engine crashed.
func (g *generation) wait(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// prefill waits as long as it takes to compute the uncached part of the prompt,
// and returns false if the connection breaks before that.
func (g *generation) prefill(ctx context.Context) bool {
	digests, sizes := prefixDigests(g.request.Messages)
	var wasted int64
	g.promptTokens, g.cachedTokens, wasted = g.engine.cache.lookupAndInsert(digests, sizes, g.request.CacheKey)
	g.engine.updateStats(func(stats *Stats) {
		stats.PromptTokens += g.promptTokens
		stats.CachedTokens += g.cachedTokens
		stats.WastedTokens += wasted
	})
	length := time.Duration(float64(g.promptTokens-g.cachedTokens) / g.engine.options.PrefillRate * float64(time.Second))
	return g.wait(ctx, length)
}

func (g *generation) generate(ctx context.Context, c *app.RequestContext) {
	words := g.answerWords()
	reason := "stop"
	if int64(len(words)) > g.request.MaxTokens && g.request.MaxTokens > 0 && g.fault != FaultNoLimit {
		words = words[:g.request.MaxTokens]
		reason = "length"
	}
	events := sse.NewWriter(c)
	for index, word := range words {
		if !g.wait(ctx, g.engine.stepLength()) {
			g.engine.updateStats(func(stats *Stats) { stats.Canceled++ })
			closeConnection(c)
			return
		}
		if g.hangsAt(index, len(words)) {
			g.wait(ctx, time.Hour)
			closeConnection(c)
			return
		}
		if g.fault == FaultTruncate && index == len(words)/2 {
			return
		}
		if err := events.WriteEvent("", "", g.encodeChunk(chunkChoice{Delta: message{Role: "assistant", Content: word}}, nil)); err != nil {
			return
		}
		g.engine.updateStats(func(stats *Stats) { stats.Generated++ })
	}
	usage := &chunkUsage{PromptTokens: g.promptTokens, CompletionTokens: int64(len(words)), Details: usageDetails{CachedTokens: g.cachedTokens}}
	_ = events.WriteEvent("", "", g.encodeChunk(chunkChoice{FinishReason: &reason}, usage))
	_ = events.WriteEvent("", "", []byte("[DONE]"))
	g.cacheAnswer(strings.Join(words, ""))
}

func (g *generation) hangsAt(index, length int) bool {
	return g.fault == FaultHang && index == length/2
}

// cacheAnswer caches the conversation including the answer, because the next
// prompt starts with both.
func (g *generation) cacheAnswer(answer string) {
	text, err := json.Marshal(message{Role: "assistant", Content: answer})
	if err != nil {
		return
	}
	digests, sizes := prefixDigests(append(g.request.Messages, text))
	g.engine.cache.insert(digests, sizes, g.request.CacheKey)
}

func (g *generation) encodeChunk(choice chunkChoice, usage *chunkUsage) []byte {
	requestID := g.requestID
	if g.fault == FaultWrongRequestID {
		requestID = "another-request"
	}
	text, err := json.Marshal(completionChunk{RequestID: requestID, Object: "chat.completion.chunk", Choices: []chunkChoice{choice}, Usage: usage})
	if err != nil {
		return nil
	}
	return text
}

func (g *generation) answerWords() []string {
	messages := make([][]byte, 0, len(g.request.Messages))
	for _, raw := range g.request.Messages {
		messages = append(messages, raw)
	}
	length := defaultAnswerTokens
	if match := answerLengthPattern.FindSubmatch(messages[len(messages)-1]); match != nil {
		length, _ = strconv.Atoi(string(match[1]))
	}
	words := []string{Digest(messages)}
	for number := 1; number < length; number++ {
		words = append(words, fmt.Sprintf(" w%d", number))
	}
	return words
}

// prefixDigests returns, for each message, the digest of the conversation up to
// and including it, and the number of tokens that the message adds.
func prefixDigests(messages []json.RawMessage) (digests []uint64, sizes []int64) {
	hash := xxhash.New()
	for _, raw := range messages {
		var decoded message
		_ = json.Unmarshal(raw, &decoded)
		_, _ = hash.WriteString(decoded.Role + "\x00" + decoded.Content + "\x00")
		digests = append(digests, hash.Sum64())
		sizes = append(sizes, int64(len(decoded.Content)/bytesPerToken+1))
	}
	return digests, sizes
}

// handleLoad adds a report of the current load and answers with the newest
// report that is at least Options.ReportLag old, or else with the oldest.
func (e *Engine) handleLoad(_ context.Context, c *app.RequestContext) {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reports = append(e.reports, loadReport{createdAt: now, Started: e.instanceID, Running: e.running.Load(), CacheCleared: e.cacheClears, Pins: e.cache.pinned(), Models: slices.Clone(e.models)})
	delayed := e.reports[0]
	for len(e.reports) > 1 && now.Sub(e.reports[1].createdAt) >= e.options.ReportLag {
		e.reports = e.reports[1:]
		delayed = e.reports[0]
	}
	c.JSON(http.StatusOK, delayed)
}

// handleHealth answers with how long the engine stays cold; unlike the load
// report, the answer is not delayed.
func (e *Engine) handleHealth(_ context.Context, c *app.RequestContext) {
	c.Header("X-Cold-Ms", strconv.FormatInt(e.coldRemaining().Milliseconds(), 10))
	c.Status(http.StatusOK)
}

func (e *Engine) handleRelease(_ context.Context, c *app.RequestContext) {
	e.cache.unpin(c.Param("key"))
	c.Status(http.StatusOK)
}

// closeConnection closes the connection without completing the answer.
func closeConnection(c *app.RequestContext) {
	_ = c.GetConn().Close()
	c.Abort()
}
