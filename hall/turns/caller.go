package turns

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/recipient"
	"limpethall.dev/kernel/wire"
)

const (
	// maxReplyBytes limits a reply with a history.
	maxReplyBytes = 64 << 20
	// maxSmallReplyBytes limits a reply without one, and the text of an error.
	maxSmallReplyBytes = 1 << 20
	// decodedParts is how much memory a decoded message takes for each of its bytes, without
	// the parts of a history.
	decodedParts = 6
	// partBytes is the memory for the reference to one part of a history.
	partBytes = 24
)

// Numbers of fields that are encoded or decoded without a copy of their content.
const (
	beginHistoryField protowire.Number = 3 // BeginTurnReply.history
	findPartsField    protowire.Number = 3 // FindTurnReply.parts
	finishTurnField   protowire.Number = 2 // FinishTurnRequest.turn
	turnInputField    protowire.Number = 5 // Turn.input
	turnOutputField   protowire.Number = 6 // Turn.output
)

// StatusError reports that a call was answered with a status and no error of a keeper.
type StatusError struct{ status int }

// Error states the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("keeper call answered with status %d", e.status)
}

// caller calls one keeper. Unlike the generated client it counts a reply before it reads it,
// keeps one copy, of which the parts of a history are slices, and sends a request from parts.
type caller struct {
	client *recipient.Client
	url    string // To which the name of the method is appended.
}

// begin calls the method Begin.
func (c *caller) begin(ctx context.Context, request *wire.BeginTurnRequest) (*wire.BeginTurnReply, error) {
	reply := &wire.BeginTurnReply{}
	parts, err := c.callWithHistory(ctx, "Begin", request, reply, beginHistoryField, findPartsField)
	if len(parts) > 0 {
		reply.History.Parts = parts
	}
	return reply, err
}

// find calls the method Find.
func (c *caller) find(ctx context.Context, request *wire.FindTurnRequest) (*wire.FindTurnReply, error) {
	reply := &wire.FindTurnReply{}
	var err error
	reply.Parts, err = c.callWithHistory(ctx, "Find", request, reply, findPartsField)
	return reply, err
}

// finish calls the method Finish with an encoded request.
func (c *caller) finish(ctx context.Context, encoded net.Buffers) error {
	raw, err := c.call(ctx, "Finish", encoded, maxSmallReplyBytes)
	buffer.FromContext(ctx).Return(int64(len(raw)))
	return err
}

// callWithHistory calls a method and decodes its reply, except for the parts of the history in
// the given field, which it returns.
func (c *caller) callWithHistory(ctx context.Context, method string, request, reply proto.Message, path ...protowire.Number) ([][]byte, error) {
	encoded, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	raw, err := c.call(ctx, method, net.Buffers{encoded}, maxReplyBytes)
	if err != nil {
		return nil, err
	}
	account := buffer.FromContext(ctx)
	rest, parts, err := cutParts(raw, path...)
	if err == nil {
		err = account.Take(int64(len(rest)*decodedParts + len(parts)*partBytes))
	}
	if err == nil {
		err = proto.Unmarshal(rest, reply)
	}
	if err != nil || len(parts) == 0 {
		account.Return(int64(len(raw)))
		return nil, err
	}
	return parts, nil
}

// call sends an encoded request and returns the encoded reply, which the account of the
// context has taken. The error is a twirp.Error if the keeper replied with one, a
// *buffer.FullError if this hall has no memory for the reply, a *StatusError, or that of the
// connection.
func (c *caller) call(ctx context.Context, method string, encoded net.Buffers, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+method, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/protobuf")
	request.ContentLength = 0
	for _, part := range encoded {
		request.ContentLength += int64(len(part))
	}
	if request.ContentLength > 0 {
		request.GetBody = func() (io.ReadCloser, error) {
			remaining := slices.Clone(encoded)
			return io.NopCloser(&remaining), nil
		}
		request.Body, _ = request.GetBody() // It never fails.
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errorOf(response)
	}
	return readReply(buffer.FromContext(ctx), response, maxBytes)
}

// readReply reads a reply into memory of the account. Nothing is read of a reply that finds no
// memory.
func readReply(account *buffer.Account, response *http.Response, maxBytes int64) ([]byte, error) {
	if response.ContentLength < 0 || response.ContentLength > maxBytes {
		return account.Read(response.Body, response.ContentLength, maxBytes)
	}
	if err := account.Take(response.ContentLength); err != nil {
		return nil, err
	}
	raw := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, raw); err != nil {
		account.Return(response.ContentLength)
		return nil, err
	}
	return raw, nil
}

// errorOf returns the error of a response that holds no reply.
func errorOf(response *http.Response) error {
	var reported struct {
		Code twirp.ErrorCode `json:"code"`
		Text string          `json:"msg"`
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxSmallReplyBytes))
	if err := decoder.Decode(&reported); err != nil || !twirp.IsValidErrorCode(reported.Code) {
		return &StatusError{status: response.StatusCode}
	}
	return twirp.NewError(reported.Code, reported.Text)
}

// cutParts returns the values of the repeated field with the given path, which are slices of
// the message, and the message without them.
func cutParts(message []byte, path ...protowire.Number) (rest []byte, parts [][]byte, err error) {
	for len(message) > 0 {
		number, kind, tagLength := protowire.ConsumeTag(message)
		if tagLength < 0 {
			return nil, nil, protowire.ParseError(tagLength)
		}
		length := protowire.ConsumeFieldValue(number, kind, message[tagLength:])
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		field := message[:tagLength+length]
		message = message[len(field):]
		if number != path[0] || kind != protowire.BytesType {
			rest = append(rest, field...)
			continue
		}
		value, _ := protowire.ConsumeBytes(field[tagLength:])
		if len(path) == 1 {
			parts = append(parts, value[:len(value):len(value)])
			continue
		}
		innerRest, innerParts, err := cutParts(value, path[1:]...)
		if err != nil {
			return nil, nil, err
		}
		rest = protowire.AppendBytes(protowire.AppendTag(rest, number, kind), innerRest)
		parts = append(parts, innerParts...)
	}
	return rest, parts, nil
}

// encodeFinish encodes a request whose turn lacks its input and output. These are referred to,
// so that the calls to all keepers share them.
func encodeFinish(request *wire.FinishTurnRequest, input, output []byte) (net.Buffers, error) {
	turn := request.GetTurn()
	encoded, err := proto.Marshal(&wire.FinishTurnRequest{Reservation: request.GetReservation(), Others: request.GetOthers(), Event: request.GetEvent()})
	if err != nil || turn == nil {
		return net.Buffers{encoded}, err
	}
	head, err := proto.Marshal(turn)
	if err != nil {
		return nil, err
	}
	head = appendLength(head, turnInputField, len(input))
	middle := appendLength(nil, turnOutputField, len(output))
	encoded = appendLength(encoded, finishTurnField, len(head)+len(input)+len(middle)+len(output))
	return net.Buffers{append(encoded, head...), input, middle, output}, nil
}

// appendLength appends the tag and the length of a field whose bytes follow.
func appendLength(encoded []byte, number protowire.Number, length int) []byte {
	return protowire.AppendVarint(protowire.AppendTag(encoded, number, protowire.BytesType), uint64(length))
}
