package ledger

import (
	"errors"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/kernel/wire"
)

const (
	// partsField is the number of the field of wire.FindTurnReply that holds the parts.
	partsField = 3
	// linkBytes is the memory of one link of a chain.
	linkBytes = 160
)

// errChanged reports that a turn was stored twice at once, with different contents.
var errChanged = errors.New("the turn was stored again meanwhile")

// History is the history of a turn. Its turns are read from disk one at a time, as they are
// written to the caller, so that a history uses the memory of its largest turn.
type History struct {
	ledger  *Ledger
	chain   []link // Newest first.
	missing string
	verdict wire.FindVerdict
}

// History returns the history up to and including a turn of the workspace. If an earlier turn
// is missing, it is the history after that one.
func (l *Ledger) History(turn, workspace string) *History {
	chain, missing, verdict := l.chain(turn, workspace)
	return &History{ledger: l, chain: chain, missing: missing, verdict: verdict}
}

// Verdict tells whether the turn was found.
func (h *History) Verdict() wire.FindVerdict { return h.verdict }

// Memory returns the memory in bytes that Write uses.
func (h *History) Memory() int64 {
	largest := 0
	for _, turn := range h.chain {
		largest = max(largest, int(turn.entry.size))
	}
	return int64(largest + linkBytes*len(h.chain))
}

// Size returns the number of bytes that Write writes.
func (h *History) Size() int {
	size := proto.Size(h.head())
	for _, turn := range h.chain {
		size += int(turn.entry.partsSize)
	}
	return size
}

// Write writes the history as an encoded wire.FindTurnReply. It writes nothing if the oldest
// turn can't be read.
func (h *History) Write(w io.Writer) error {
	prefix, err := proto.Marshal(h.head())
	if err != nil {
		return err
	}
	var buffer []byte
	for index := len(h.chain) - 1; index >= 0; index-- {
		if buffer, err = h.ledger.read(h.chain[index], buffer[:0]); err != nil {
			h.ledger.noteUnreadable(h.chain[index].id, err)
			return err
		}
		input, output, err := partsOf(buffer)
		if err != nil {
			return err
		}
		if encodedPartsSize(input, output) != int(h.chain[index].entry.partsSize) {
			h.ledger.correctSizes(h.chain[index].id, buffer)
			return errChanged
		}
		for _, part := range [][]byte{input, output} {
			prefix = protowire.AppendTag(prefix, partsField, protowire.BytesType)
			prefix = protowire.AppendVarint(prefix, uint64(len(part)))
			if err := writeAll(w, prefix, part); err != nil {
				return err
			}
			prefix = prefix[:0]
		}
	}
	return writeAll(w, prefix)
}

// Reply returns the history in memory.
func (h *History) Reply() (*wire.FindTurnReply, error) {
	encoded := &memoryWriter{data: make([]byte, 0, h.Size())}
	if err := h.Write(encoded); err != nil {
		return nil, err
	}
	reply := &wire.FindTurnReply{}
	return reply, proto.Unmarshal(encoded.data, reply)
}

// correctSizes sets the sizes in the index to those of the value on disk.
func (l *Ledger) correctSizes(id string, value []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry, found := l.turns[id]; found {
		entry.setSizes(value)
		l.turns[id] = entry
	}
}

// head returns the reply without its parts.
func (h *History) head() *wire.FindTurnReply {
	head := &wire.FindTurnReply{Verdict: h.verdict, Missing: h.missing}
	if len(h.chain) > 0 {
		head.Placement = h.chain[0].entry.placement
	}
	return head
}

// memoryWriter appends what is written.
type memoryWriter struct{ data []byte }

// Write implements io.Writer.
func (w *memoryWriter) Write(data []byte) (int, error) {
	w.data = append(w.data, data...)
	return len(data), nil
}

func writeAll(w io.Writer, pieces ...[]byte) error {
	for _, piece := range pieces {
		if len(piece) == 0 {
			continue
		}
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// encodedPartsSize returns the size of a turn's input and output as parts of a reply.
func encodedPartsSize(input, output []byte) int {
	return 2*protowire.SizeTag(partsField) + protowire.SizeBytes(len(input)) + protowire.SizeBytes(len(output))
}
