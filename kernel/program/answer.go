package program

import (
	"encoding/json"
	"strings"

	"limpethall.dev/kernel/wire"
)

// Answer assembles the message of a model from the deltas of its stream.
type Answer struct {
	role      string
	content   strings.Builder
	toolCalls []toolCall
	tokens    int64
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function toolFunction `json:"function"`
}

type toolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

type deltaJSON struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
}

type messageJSON struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// NewAnswer returns an empty answer with the role "assistant".
func NewAnswer() *Answer {
	return &Answer{role: "assistant"}
}

// Add appends a delta. Of a delta with malformed JSON, only the tokens are
// counted.
func (a *Answer) Add(delta *wire.Delta) {
	a.tokens += delta.GetTokens()
	var decoded deltaJSON
	if err := json.Unmarshal(delta.GetJson(), &decoded); err != nil {
		return
	}
	if decoded.Role != "" {
		a.role = decoded.Role
	}
	a.content.WriteString(decoded.Content)
	for _, fragment := range decoded.ToolCalls {
		a.addToolCall(fragment)
	}
}

// Tokens returns the number of generated tokens.
func (a *Answer) Tokens() int64 { return a.tokens }

// Content returns the text received so far.
func (a *Answer) Content() string { return a.content.String() }

// Message returns the message as JSON.
func (a *Answer) Message() []byte {
	encoded, err := json.Marshal(messageJSON{Role: a.role, Content: a.content.String(), ToolCalls: a.toolCalls})
	if err != nil {
		return nil
	}
	return encoded
}

// addToolCall merges a fragment of a tool call into the tool call with the same
// index.
func (a *Answer) addToolCall(fragment toolCall) {
	for index := range a.toolCalls {
		existing := &a.toolCalls[index]
		if existing.Index != fragment.Index {
			continue
		}
		existing.Function.Name += fragment.Function.Name
		existing.Function.Arguments += fragment.Function.Arguments
		return
	}
	a.toolCalls = append(a.toolCalls, fragment)
}
