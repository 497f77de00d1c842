package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/wire"
)

// reservedFields are not passed to the engine as options of the caller, because
// the system sets or interprets them.
var reservedFields = []string{"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "ticket", "n", "cache_key"}

var allowedRoles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true, "tool": true}

func badRequest(format string, args ...any) *failure.Error {
	return failure.New(failure.CodeBadRequest, failure.NotRun, format, args...)
}

// readJSON decodes the request body into target. An empty body leaves target
// unchanged.
func readJSON(c *app.RequestContext, target any) error {
	body := c.Request.Body()
	if len(body) == 0 {
		return nil
	}
	if err := json.Unmarshal(body, target); err != nil {
		return badRequest("the body is not valid JSON for this route: %v", err)
	}
	return nil
}

// readModelCall reads and validates the body of a chat completion or a turn. It
// also returns the call that is sent to the engine.
func readModelCall(c *app.RequestContext, r request) (modelRequest, *wire.ModelCall, error) {
	var body modelRequest
	if len(c.Request.Body()) == 0 {
		return body, nil, badRequest("the body is missing: send JSON with model and messages")
	}
	if err := readJSON(c, &body); err != nil {
		return body, nil, err
	}
	if err := validateModelRequest(body, r); err != nil {
		return body, nil, err
	}
	options, err := engineOptions(c.Request.Body())
	if err != nil {
		return body, nil, err
	}
	call := &wire.ModelCall{Model: body.Model, MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens), Options: options}
	for _, message := range body.Messages {
		call.Messages = append(call.Messages, message)
	}
	return body, call, nil
}

func validateModelRequest(body modelRequest, r request) error {
	switch {
	case body.Model == "":
		return badRequest("model is missing: GET /v1/models lists the available models")
	case !r.limits.Allows(body.Model):
		return failure.New(failure.CodeUnknownModel, failure.NotRun, "model %q is not available to workspace %q: GET /v1/models lists the available models", body.Model, r.workspace)
	case len(body.Messages) == 0:
		return badRequest("messages is empty: send at least one message")
	case body.MaxTokens < 0 || body.MaxCompletionTokens < 0:
		return badRequest("max_tokens must not be negative")
	case body.N > 1:
		return badRequest("n must be 1: more than one choice is not supported")
	}
	for index, message := range body.Messages {
		var parsed messageRole
		if err := json.Unmarshal(message, &parsed); err != nil || !allowedRoles[parsed.Role] {
			return badRequest("messages[%d] must be an object with a role of system, developer, user, assistant or tool", index)
		}
	}
	return nil
}

// engineOptions returns the fields of the body that are not reserved, or nil if
// there are none.
func engineOptions(body []byte) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, badRequest("the body is not a JSON object: %v", err)
	}
	for _, name := range reservedFields {
		delete(fields, name)
	}
	if len(fields) == 0 {
		return nil, nil
	}
	return json.Marshal(fields)
}

// forwardedHeaders are the only request headers that are sent to a plain service.
// They exclude keys, cookies and any other header that may carry a secret.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match",
	"If-Modified-Since", "If-Unmodified-Since", "Range", "User-Agent",
}

func serviceHeaders(c *app.RequestContext) []*wire.Header {
	var headers []*wire.Header
	for _, name := range forwardedHeaders {
		if value := c.GetHeader(name); len(value) > 0 {
			headers = append(headers, &wire.Header{Name: name, Value: string(value)})
		}
	}
	return headers
}

func writeJSON(c *app.RequestContext, response any) error {
	c.JSON(http.StatusOK, response)
	return nil
}
