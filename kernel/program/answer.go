package program

import (
	"encoding/json"
	"strings"

	"limpethall.dev/kernel/wire"
)

// Answer assembles a model's message from the deltas of its stream.
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

type deltaDocument struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
}

type messageDocument struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// NewAnswer returns an empty answer of the assistant.
func NewAnswer() *Answer {
	return &Answer{role: "assistant"}
}

// Add takes in one delta. A delta that can't be read adds its tokens alone.
func (a *Answer) Add(delta *wire.Delta) {
	a.tokens += delta.GetTokens()
	var document deltaDocument
	if err := json.Unmarshal(delta.GetJson(), &document); err != nil {
		return
	}
	if document.Role != "" {
		a.role = document.Role
	}
	a.content.WriteString(document.Content)
	for _, part := range document.ToolCalls {
		a.addToolCall(part)
	}
}

// Tokens returns how many tokens were generated.
func (a *Answer) Tokens() int64 { return a.tokens }

// Content returns the text so far.
func (a *Answer) Content() string { return a.content.String() }

// Message returns the whole message as JSON.
func (a *Answer) Message() []byte {
	text, err := json.Marshal(messageDocument{Role: a.role, Content: a.content.String(), ToolCalls: a.toolCalls})
	if err != nil {
		return nil
	}
	return text
}

// addToolCall joins the parts of a tool call, which come under one index.
func (a *Answer) addToolCall(part toolCall) {
	for index := range a.toolCalls {
		known := &a.toolCalls[index]
		if known.Index != part.Index {
			continue
		}
		known.Function.Name += part.Function.Name
		known.Function.Arguments += part.Function.Arguments
		return
	}
	a.toolCalls = append(a.toolCalls, part)
}
