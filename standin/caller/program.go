package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"limpethall.dev/standin/engine"
)

// maxEventLineBytes limits one line of an event stream.
const maxEventLineBytes = 4 << 20

// HistoryMismatchError reports an answer that belongs to another history than
// the program's.
type HistoryMismatchError struct {
	program string
	turn    int
	got     string
	want    string
}

// Error names the program, the turn and both digests. The load report recognizes
// the error by this text.
func (e *HistoryMismatchError) Error() string {
	return fmt.Sprintf("program %s turn %d: answer is for history %q, want %q", e.program, e.turn, e.got, e.want)
}

// Program is one program with the state that its caller keeps.
type Program struct {
	client   *Client
	id       string
	ticket   string
	messages [][]byte // The history.
	turns    int
	retries  int
	refusals map[string]int64 // By error code.
	spent    int64
}

// Turn is the answer to one turn.
type Turn struct {
	content          string
	timeToFirstToken time.Duration
	completionTokens int64
	cachedTokens     int64
	promptTokens     int64
	copies           int64
	spentTokens      int64
	finishReason     string
}

// Content returns the text of the answer.
func (t Turn) Content() string { return t.content }

// TimeToFirstToken returns the time to the first token of a streamed turn, and
// zero for others.
func (t Turn) TimeToFirstToken() time.Duration { return t.timeToFirstToken }

// CompletionTokens returns the number of generated tokens.
func (t Turn) CompletionTokens() int64 { return t.completionTokens }

// Copies returns the number of other halls that hold a copy of the turn.
func (t Turn) Copies() int64 { return t.copies }

// Spent returns the number of tokens that the program has spent.
func (t Turn) Spent() int64 { return t.spentTokens }

// Finish returns the finish reason of the answer.
func (t Turn) Finish() string { return t.finishReason }

type programState struct {
	Program string `json:"program"`
	Ticket  string `json:"ticket"`
	Turn    uint64 `json:"turn"`
	Budget  int64  `json:"budget"`
	Spent   int64  `json:"spent"`
	Lent    int64  `json:"lentToChildren"`
	Ended   bool   `json:"ended"`
}

// Open opens a program with a token budget; zero means the workspace's budget.
func (c *Client) Open(ctx context.Context, budget int64) (*Program, error) {
	return c.open(ctx, "/v1/programs", map[string]any{"budget": budget})
}

func (c *Client) open(ctx context.Context, path string, body map[string]any) (*Program, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	_, answer, err := c.Do(ctx, http.MethodPost, path, nil, text)
	if err != nil {
		return nil, err
	}
	var state programState
	if err := json.Unmarshal(answer, &state); err != nil {
		return nil, err
	}
	return &Program{client: c, id: state.Program, ticket: state.Ticket, refusals: make(map[string]int64)}, nil
}

// ID returns the ID of the program.
func (p *Program) ID() string { return p.id }

// Ticket returns the latest ticket.
func (p *Program) Ticket() string { return p.ticket }

// SetTicket replaces the ticket, to simulate a caller that sends a wrong one.
func (p *Program) SetTicket(ticket string) { p.ticket = ticket }

// Turns returns the number of finished turns.
func (p *Program) Turns() int { return p.turns }

// Retries returns the number of retried requests.
func (p *Program) Retries() int { return p.retries }

// Refusals returns the number of retries by the error code that led to them;
// "noAnswer" stands for errors without an error answer.
func (p *Program) Refusals() map[string]int64 { return p.refusals }

// Child opens a child program with a part of the token budget.
func (p *Program) Child(ctx context.Context, budget int64) (*Program, error) {
	return p.client.open(ctx, "/v1/programs/"+p.id+"/children", map[string]any{"budget": budget, "ticket": p.ticket})
}

// End ends the program.
func (p *Program) End(ctx context.Context) error {
	header := http.Header{ticketHeader: []string{p.ticket}}
	_, _, err := p.client.Do(ctx, http.MethodDelete, "/v1/programs/"+p.id, header, nil)
	return err
}

// turnAnswer is the answer to a turn or one event of a streamed answer.
type turnAnswer struct {
	Choices []struct {
		Message      json.RawMessage `json:"message"`
		Delta        json.RawMessage `json:"delta"`
		FinishReason *string         `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Program *struct {
		Ticket string `json:"ticket"`
		Copies int64  `json:"copies"`
		Spent  int64  `json:"spent"`
	} `json:"program"`
	Error *Error `json:"error"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Turn sends one user message and returns the answer. It retries with the same
// ticket unless the error is final, until the context ends.
func (p *Program) Turn(ctx context.Context, model, content string, stream bool) (Turn, error) {
	for {
		turn, err := p.TurnOnce(ctx, model, content, stream)
		if err == nil || !p.shouldRetry(ctx, err) {
			return turn, err
		}
	}
}

// TurnOnce is like Turn, but does not retry.
func (p *Program) TurnOnce(ctx context.Context, model, content string, stream bool) (Turn, error) {
	text, err := json.Marshal(message{Role: "user", Content: content})
	if err != nil {
		return Turn{}, err
	}
	body, err := json.Marshal(map[string]any{"model": model, "messages": []json.RawMessage{text}, "stream": stream, "ticket": p.ticket, "max_tokens": 4096})
	if err != nil {
		return Turn{}, err
	}
	began := time.Now()
	var turn Turn
	path := "/v1/programs/" + p.id + "/turns"
	if stream {
		turn, err = p.requestStreamed(ctx, path, body, began)
	} else {
		turn, err = p.requestComplete(ctx, path, body)
	}
	if err != nil {
		return turn, err
	}
	return turn, p.appendToHistory(text, turn)
}

// appendToHistory checks that the answer belongs to the history and then appends
// the question and the answer to it.
func (p *Program) appendToHistory(question []byte, turn Turn) error {
	conversation := append(p.messages, question)
	want := engine.Digest(conversation)
	got, _, _ := strings.Cut(turn.content, " ")
	if got != want {
		return &HistoryMismatchError{program: p.id, turn: p.turns + 1, got: got, want: want}
	}
	text, err := json.Marshal(message{Role: "assistant", Content: turn.content})
	if err != nil {
		return err
	}
	p.messages = append(conversation, text)
	p.turns++
	p.spent = turn.spentTokens
	return nil
}

func (p *Program) requestComplete(ctx context.Context, path string, body []byte) (Turn, error) {
	_, answer, err := p.client.Do(ctx, http.MethodPost, path, nil, body)
	if err != nil {
		return Turn{}, err
	}
	var decoded turnAnswer
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return Turn{}, err
	}
	var turn Turn
	var reply message
	if len(decoded.Choices) > 0 {
		if err := json.Unmarshal(decoded.Choices[0].Message, &reply); err != nil {
			return Turn{}, err
		}
	}
	turn.content = reply.Content
	p.applyMetadata(&turn, decoded)
	return turn, nil
}

func (p *Program) requestStreamed(ctx context.Context, path string, body []byte, began time.Time) (Turn, error) {
	response, err := p.client.send(ctx, http.MethodPost, path, nil, body)
	if err != nil {
		return Turn{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var turn Turn
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventLineBytes)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return turn, nil
		}
		if turn.timeToFirstToken == 0 {
			turn.timeToFirstToken = time.Since(began)
		}
		if err := p.applyEvent(&turn, data); err != nil {
			return turn, err
		}
	}
	return turn, &Error{Status: http.StatusOK, Code: "streamCut", Outcome: "unknown", Message: "the stream ended without the [DONE] event"}
}

// applyEvent adds one event of a streamed answer to the turn.
func (p *Program) applyEvent(turn *Turn, data []byte) error {
	var decoded turnAnswer
	if err := json.Unmarshal(data, &decoded); err != nil {
		return err
	}
	if decoded.Error != nil {
		decoded.Error.Status = http.StatusOK
		return decoded.Error
	}
	var delta message
	if len(decoded.Choices) > 0 && len(decoded.Choices[0].Delta) > 0 {
		if err := json.Unmarshal(decoded.Choices[0].Delta, &delta); err != nil {
			return err
		}
	}
	turn.content += delta.Content
	p.applyMetadata(turn, decoded)
	return nil
}

// applyMetadata copies usage, finish reason and program state from an answer to
// the turn, and the new ticket to the program.
func (p *Program) applyMetadata(turn *Turn, decoded turnAnswer) {
	if decoded.Usage != nil {
		turn.completionTokens = decoded.Usage.CompletionTokens
		turn.promptTokens = decoded.Usage.PromptTokens
		turn.cachedTokens = decoded.Usage.Details.CachedTokens
	}
	if len(decoded.Choices) > 0 && decoded.Choices[0].FinishReason != nil {
		turn.finishReason = *decoded.Choices[0].FinishReason
	}
	if decoded.Program != nil {
		p.ticket = decoded.Program.Ticket
		turn.copies = decoded.Program.Copies
		turn.spentTokens = decoded.Program.Spent
	}
}

// Tool calls a plain service as the next step of the program and returns the
// answer. It retries like Turn.
func (p *Program) Tool(ctx context.Context, service, path string, body []byte) ([]byte, error) {
	for {
		answer, err := p.ToolOnce(ctx, service, path, body)
		if err == nil {
			return answer, nil
		}
		if !p.shouldRetry(ctx, err) {
			return nil, err
		}
	}
}

// ToolOnce is like Tool, but does not retry.
func (p *Program) ToolOnce(ctx context.Context, service, path string, body []byte) ([]byte, error) {
	header := http.Header{programHeader: []string{p.id}, ticketHeader: []string{p.ticket}}
	answerHeader, answer, err := p.client.Do(ctx, http.MethodPost, "/v1/services/"+service+path, header, body)
	var answerError *Error
	if errors.As(err, &answerError) && answerError.Ticket != "" {
		p.ticket = answerError.Ticket
	}
	if err != nil {
		return nil, err
	}
	p.ticket = answerHeader.Get(ticketHeader)
	return answer, nil
}

// errorCode returns the code of an error answer, or "noAnswer".
func errorCode(err error) string {
	var answerError *Error
	if errors.As(err, &answerError) {
		return answerError.Code
	}
	return "noAnswer"
}

// shouldRetry reports whether the same request may be retried, after waiting as
// long as the answer says. A request with an unknown outcome may be retried,
// because the ticket prevents it from running twice, unless the answer is final:
// then it carries a new ticket to continue with.
func (p *Program) shouldRetry(ctx context.Context, err error) bool {
	delay := 50 * time.Millisecond
	var answerError *Error
	if errors.As(err, &answerError) {
		delay = answerError.RetryDelay()
		switch answerError.Code {
		case "badRequest", "unauthorized", "forbidden", "notFound", "programEnded", "historyLost", "budgetSpent", "staleTicket", "suspectBlocked", "unknownModel", "tooLarge", "keyWithdrawn":
			return false
		}
		if answerError.Outcome != "notRun" && answerError.Ticket != "" {
			return false
		}
	}
	var mismatch *HistoryMismatchError
	if errors.As(err, &mismatch) {
		return false
	}
	p.retries++
	p.refusals[errorCode(err)]++
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
