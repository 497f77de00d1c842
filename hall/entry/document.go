package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// The types of this file are the JSON documents of the public API.

type errorResponse struct {
	Error errorDocument `json:"error"`
}

type errorDocument struct {
	Code       string `json:"code"`
	Message    string `json:"message"`
	Outcome    string `json:"outcome"`
	RetryAfter int64  `json:"retryAfterMilliseconds,omitempty"`
	RequestID  string `json:"requestId,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
}

func newErrorDocument(apiErr *failure.Error, requestID string) errorDocument {
	return errorDocument{
		Code: string(apiErr.Code()), Message: apiErr.Message(), Outcome: apiErr.Outcome().String(),
		RetryAfter: apiErr.RetryAfter().Milliseconds(), RequestID: requestID, Ticket: apiErr.Ticket(),
	}
}

// retryAfterSeconds formats the value of a Retry-After header, rounded up to
// whole seconds.
func retryAfterSeconds(delay time.Duration) string {
	return strconv.FormatInt(int64((delay+time.Second-1)/time.Second), 10)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// modelRequest holds the fields of a chat completion or a turn that the system
// reads. All other fields are passed to the engine unchanged.
type modelRequest struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int64             `json:"max_tokens"`
	MaxCompletionTokens int64             `json:"max_completion_tokens"`
	N                   int               `json:"n"`
	Ticket              string            `json:"ticket"`
}

// messageRole holds the only field of a message that is validated.
type messageRole struct {
	Role string `json:"role"`
}

type programRequest struct {
	Budget int64  `json:"budget"`
	Ticket string `json:"ticket"`
}

type programResponse struct {
	Program  string `json:"program"`
	Parent   string `json:"parent,omitempty"`
	Ticket   string `json:"ticket"`
	Turn     uint64 `json:"turn"`
	Budget   int64  `json:"budget"`
	Spent    int64  `json:"spent"`
	Lent     int64  `json:"lentToChildren,omitempty"`
	Messages int64  `json:"messages"`
	Ended    bool   `json:"ended"`
}

func newProgramResponse(state *wire.ProgramState) programResponse {
	return programResponse{
		Program: state.GetProgramId(), Parent: state.GetParentId(), Ticket: state.GetTicket(), Turn: state.GetTurn(),
		Budget: state.GetBudget(), Spent: state.GetSpent(), Lent: state.GetLentToChildren(),
		Messages: state.GetMessages(), Ended: state.GetEnded(),
	}
}

type completion struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
	Program *turnDocument `json:"program,omitempty"`
}

type choice struct {
	Index        int             `json:"index"`
	Message      json.RawMessage `json:"message,omitempty"`
	Delta        json.RawMessage `json:"delta,omitempty"`
	FinishReason *string         `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64        `json:"prompt_tokens"`
	CompletionTokens int64        `json:"completion_tokens"`
	TotalTokens      int64        `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// turnDocument is the state of a program after a turn.
type turnDocument struct {
	ID       string `json:"id"`
	Ticket   string `json:"ticket"`
	Turn     uint64 `json:"turn"`
	Copies   int64  `json:"copies"`
	Spent    int64  `json:"spent"`
	Budget   int64  `json:"budget"`
	Repeated bool   `json:"repeated,omitempty"`
}

func newUsage(reported *wire.Usage) *usage {
	if reported == nil {
		return nil
	}
	return &usage{
		PromptTokens: reported.GetPromptTokens(), CompletionTokens: reported.GetCompletionTokens(),
		TotalTokens: reported.GetPromptTokens() + reported.GetCompletionTokens(), Details: usageDetails{CachedTokens: reported.GetCachedTokens()},
	}
}

// newTurnDocument returns nil for a call that belongs to no program.
func newTurnDocument(programID string, end *wire.TurnEnd) *turnDocument {
	if programID == "" {
		return nil
	}
	return &turnDocument{
		ID: programID, Ticket: end.GetTicket(), Turn: end.GetTurn(), Copies: end.GetCopies(),
		Spent: end.GetSpent(), Budget: end.GetBudget(), Repeated: end.GetRepeated(),
	}
}
