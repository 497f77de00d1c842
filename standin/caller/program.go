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

// maxLine bounds one line of an event stream in bytes.
const maxLine = 4 << 20

// MixedError reports an answer that belongs to another history.
type MixedError struct {
	program string
	turn    int
	got     string
	want    string
}

// Error shows both digests.
func (e *MixedError) Error() string {
	return fmt.Sprintf("program %s turn %d: answer is for history %q, want %q", e.program, e.turn, e.got, e.want)
}

// Program is one program as its caller sees it.
type Program struct {
	client   *Client
	id       string
	ticket   string
	messages [][]byte
	turns    int
	// Retries counts requests that were sent again.
	retries  int
	refusals map[string]int64
	spent    int64
}

// Turn is the answer to one turn.
type Turn struct {
	content string
	first   time.Duration
	tokens  int64
	cached  int64
	prompt  int64
	copies  int64
	spent   int64
	finish  string
}

// Content returns the text of the answer.
func (t Turn) Content() string { return t.content }

// First returns the time to the first token, for streamed turns.
func (t Turn) First() time.Duration { return t.first }

// Tokens returns how many tokens were generated.
func (t Turn) Tokens() int64 { return t.tokens }

// Copies returns how many other halls hold the turn.
func (t Turn) Copies() int64 { return t.copies }

// Spent returns the tokens the program has spent.
func (t Turn) Spent() int64 { return t.spent }

// Finish returns why the answer ended.
func (t Turn) Finish() string { return t.finish }

type programState struct {
	Program string `json:"program"`
	Ticket  string `json:"ticket"`
	Turn    uint64 `json:"turn"`
	Budget  int64  `json:"budget"`
	Spent   int64  `json:"spent"`
	Lent    int64  `json:"lentToChildren"`
	Ended   bool   `json:"ended"`
}

// Open opens a program; budget zero takes the workspace's.
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

// ID returns the program's identifier.
func (p *Program) ID() string { return p.id }

// Ticket returns the newest ticket.
func (p *Program) Ticket() string { return p.ticket }

// SetTicket replaces the ticket, as a careless caller might.
func (p *Program) SetTicket(ticket string) { p.ticket = ticket }

// Turns returns how many turns are finished.
func (p *Program) Turns() int { return p.turns }

// Retries returns how many requests were sent again.
func (p *Program) Retries() int { return p.retries }

// Refusals returns how often a request was sent again, by the code of the
// answer before.
func (p *Program) Refusals() map[string]int64 { return p.refusals }

// Child opens a sub-agent with a part of the budget.
func (p *Program) Child(ctx context.Context, budget int64) (*Program, error) {
	return p.client.open(ctx, "/v1/programs/"+p.id+"/children", map[string]any{"budget": budget, "ticket": p.ticket})
}

// End ends the program.
func (p *Program) End(ctx context.Context) error {
	header := http.Header{ticketHeader: []string{p.ticket}}
	_, _, err := p.client.Do(ctx, http.MethodDelete, "/v1/programs/"+p.id, header, nil)
	return err
}

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

// Turn sends one user message and returns the answer, trying again with the
// same ticket while that may help and the context lasts.
func (p *Program) Turn(ctx context.Context, model, content string, stream bool) (Turn, error) {
	for {
		turn, err := p.TurnOnce(ctx, model, content, stream)
		if err == nil || !p.shouldRetry(ctx, err) {
			return turn, err
		}
	}
}

// TurnOnce is Turn without retries.
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
		turn, err = p.stream(ctx, path, body, began)
	} else {
		turn, err = p.whole(ctx, path, body)
	}
	if err != nil {
		return turn, err
	}
	return turn, p.accept(text, turn)
}

// accept checks the answer against the history and keeps both.
func (p *Program) accept(question []byte, turn Turn) error {
	asked := append(p.messages, question)
	want := engine.Digest(asked)
	got, _, _ := strings.Cut(turn.content, " ")
	if got != want {
		return &MixedError{program: p.id, turn: p.turns + 1, got: got, want: want}
	}
	text, err := json.Marshal(message{Role: "assistant", Content: turn.content})
	if err != nil {
		return err
	}
	p.messages = append(asked, text)
	p.turns++
	p.spent = turn.spent
	return nil
}

func (p *Program) whole(ctx context.Context, path string, body []byte) (Turn, error) {
	_, answer, err := p.client.Do(ctx, http.MethodPost, path, nil, body)
	if err != nil {
		return Turn{}, err
	}
	var read turnAnswer
	if err := json.Unmarshal(answer, &read); err != nil {
		return Turn{}, err
	}
	var turn Turn
	var content message
	if len(read.Choices) > 0 {
		if err := json.Unmarshal(read.Choices[0].Message, &content); err != nil {
			return Turn{}, err
		}
	}
	turn.content = content.Content
	p.take(&turn, read)
	return turn, nil
}

func (p *Program) stream(ctx context.Context, path string, body []byte, began time.Time) (Turn, error) {
	response, err := p.client.send(ctx, http.MethodPost, path, nil, body)
	if err != nil {
		return Turn{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var turn Turn
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return turn, nil
		}
		if turn.first == 0 {
			turn.first = time.Since(began)
		}
		if err := p.event(&turn, data); err != nil {
			return turn, err
		}
	}
	return turn, &Error{Status: http.StatusOK, Code: "streamCut", Outcome: "unknown", Message: "the stream ended without its end mark"}
}

// event takes in one event of a stream.
func (p *Program) event(turn *Turn, data []byte) error {
	var read turnAnswer
	if err := json.Unmarshal(data, &read); err != nil {
		return err
	}
	if read.Error != nil {
		read.Error.Status = http.StatusOK
		return read.Error
	}
	var delta message
	if len(read.Choices) > 0 && len(read.Choices[0].Delta) > 0 {
		if err := json.Unmarshal(read.Choices[0].Delta, &delta); err != nil {
			return err
		}
	}
	turn.content += delta.Content
	p.take(turn, read)
	return nil
}

func (p *Program) take(turn *Turn, read turnAnswer) {
	if read.Usage != nil {
		turn.tokens = read.Usage.CompletionTokens
		turn.prompt = read.Usage.PromptTokens
		turn.cached = read.Usage.Details.CachedTokens
	}
	if len(read.Choices) > 0 && read.Choices[0].FinishReason != nil {
		turn.finish = *read.Choices[0].FinishReason
	}
	if read.Program != nil {
		p.ticket = read.Program.Ticket
		turn.copies = read.Program.Copies
		turn.spent = read.Program.Spent
	}
}

// Tool calls a plain service in the program's order and returns its answer,
// trying again while that may help.
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

// ToolOnce is Tool without retries.
func (p *Program) ToolOnce(ctx context.Context, service, path string, body []byte) ([]byte, error) {
	header := http.Header{programHeader: []string{p.id}, ticketHeader: []string{p.ticket}}
	answered, answer, err := p.client.Do(ctx, http.MethodPost, "/v1/services/"+service+path, header, body)
	var failed *Error
	if errors.As(err, &failed) && failed.Ticket != "" {
		p.ticket = failed.Ticket
	}
	if err != nil {
		return nil, err
	}
	p.ticket = answered.Get(ticketHeader)
	return answer, nil
}

func codeOf(err error) string {
	var answered *Error
	if errors.As(err, &answered) {
		return answered.Code
	}
	return "noAnswer"
}

// shouldRetry waits as the answer says and reports whether the same request
// may be sent again. A request whose outcome is unknown may, because the
// ticket keeps it from running twice, unless the answer is final: then it
// carries a fresh ticket to go on with.
func (p *Program) shouldRetry(ctx context.Context, err error) bool {
	wait := 50 * time.Millisecond
	var answered *Error
	if errors.As(err, &answered) {
		wait = answered.Hint()
		switch answered.Code {
		case "badRequest", "unauthorized", "forbidden", "notFound", "programEnded", "historyLost", "budgetSpent", "staleTicket", "suspectBlocked", "unknownModel", "tooLarge", "keyWithdrawn":
			return false
		}
		if answered.Outcome != "notRun" && answered.Ticket != "" {
			return false
		}
	}
	var mixed *MixedError
	if errors.As(err, &mixed) {
		return false
	}
	p.retries++
	p.refusals[codeOf(err)]++
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
