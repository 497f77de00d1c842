package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// engineFields are removed from what goes to the engine as the caller's
// options, because the system decides them.
var engineFields = []string{"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "ticket", "n", "cache_key"}

var knownRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true}

func badRequest(format string, args ...any) *failure.Error {
	return failure.New(failure.CodeBadRequest, failure.NotRun, format, args...)
}

// readJSON reads a body. An empty one leaves the target as it is.
func readJSON(c *app.RequestContext, target any) error {
	body := c.Request.Body()
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, target); err != nil {
		return badRequest("the body is not the JSON that this route expects: %v", err)
	}
	return nil
}

// readCall reads and checks a chat completion or a turn.
func readCall(c *app.RequestContext, r request) (callRequest, *wire.ModelCall, error) {
	var call callRequest
	if len(c.Request.Body()) == 0 {
		return call, nil, badRequest("the body is missing: send JSON with model and messages")
	}
	if err := readJSON(c, &call); err != nil {
		return call, nil, err
	}
	if err := checkCall(call, r); err != nil {
		return call, nil, err
	}
	options, err := engineOptions(c.Request.Body())
	if err != nil {
		return call, nil, err
	}
	model := &wire.ModelCall{Model: call.Model, MaxTokens: max(call.MaxTokens, call.MaxCompletionTokens), Options: options}
	for _, message := range call.Messages {
		model.Messages = append(model.Messages, message)
	}
	return call, model, nil
}

func checkCall(call callRequest, r request) error {
	switch {
	case call.Model == "":
		return badRequest("model is missing: GET /v1/models lists them")
	case !r.row.Allows(call.Model):
		return failure.New(failure.CodeUnknownModel, failure.NotRun, "model %q is not one that workspace %q may use: GET /v1/models lists them", call.Model, r.workspace)
	case len(call.Messages) == 0:
		return badRequest("messages is empty: send at least one")
	case call.MaxTokens < 0 || call.MaxCompletionTokens < 0:
		return badRequest("max_tokens must not be negative")
	case call.N > 1:
		return badRequest("n must be 1: more than one choice is not supported")
	}
	for index, message := range call.Messages {
		var head messageHead
		if err := json.Unmarshal(message, &head); err != nil || !knownRoles[head.Role] {
			return badRequest("messages[%d] must be an object with a role of system, developer, user, assistant or tool", index)
		}
	}
	return nil
}

// engineOptions returns the caller's fields that the system does not decide.
func engineOptions(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the body is not a JSON object: %v", err)
	}
	for _, name := range engineFields {
		delete(fields, name)
	}
	if len(fields) == 0 {
		return nil, nil
	}
	return json.Marshal(fields)
}

// passedHeaders are the only headers of a caller that reach a plain service.
// Keys, cookies and whatever else may carry a secret are not among them.
var passedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Range", "User-Agent",
}

func serviceHeaders(c *app.RequestContext) []*wire.Header {
	var headers []*wire.Header
	for _, name := range passedHeaders {
		if value := c.GetHeader(name); len(value) > 0 {
			headers = append(headers, &wire.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

func writeJSON(c *app.RequestContext, answer any) error {
	c.JSON(http.StatusOK, answer)
	return nil
}
