package ledger

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

// extendChain extends the turns of a chain that would expire before the given
// time and returns the records to store. Turns before a missing one are extended when
// that one has been fetched. The caller must hold the mutex.
func (l *Ledger) extendChain(now time.Time, id, placement string, until time.Time) []archive.Record {
	var records []archive.Record
	for range maxChainLength {
		entry, found := l.lookup(id)
		if !found || entry.unreadable {
			l.noteGap(id, placement, until)
			break
		}
		if entry.expires.Before(until) {
			value, err := l.archive.Read(turnPrefix+id, entry.expires)
			if err != nil {
				l.setUnreadable(id, err)
				break
			}
			entry.expires = until.Add(until.Sub(now) * extraRetentionFactor)
			l.turns[id] = entry
			records = append(records, archive.Record{Key: turnPrefix + id, Value: value, Expires: entry.expires})
		}
		id = entry.previous
	}
	return records
}

// link is one turn of a chain.
type link struct {
	id    string
	entry turnEntry
}

// chain returns the turn and its predecessors, newest first. If one of these is missing,
// the chain ends before it, and missing is its ID.
func (l *Ledger) chain(turn, workspace string) (chain []link, missing string, verdict wire.FindVerdict) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn == "" {
		return nil, "", wire.FindVerdict_FIND_VERDICT_ABSENT
	}
	for id := turn; id != ""; {
		entry, found := l.lookup(id)
		switch {
		case !found && id == turn && l.Ready():
			return nil, "", wire.FindVerdict_FIND_VERDICT_ABSENT
		case !found && id == turn, len(chain) == maxChainLength:
			return nil, "", wire.FindVerdict_FIND_VERDICT_UNCERTAIN
		case !found:
			return chain, id, wire.FindVerdict_FIND_VERDICT_PARTIAL
		case entry.workspace != workspace:
			return nil, "", wire.FindVerdict_FIND_VERDICT_FOREIGN
		case entry.unreadable && id == turn:
			l.noteGap(id, entry.placement, entry.expires)
			return nil, "", wire.FindVerdict_FIND_VERDICT_UNCERTAIN
		case entry.unreadable:
			l.noteGap(id, entry.placement, entry.expires)
			return chain, id, wire.FindVerdict_FIND_VERDICT_PARTIAL
		}
		chain = append(chain, link{id: id, entry: entry})
		id = entry.previous
	}
	return chain, "", wire.FindVerdict_FIND_VERDICT_FOUND
}

func (l *Ledger) readTurn(id string, entry turnEntry) (*wire.Turn, error) {
	value, err := l.archive.Read(turnPrefix+id, entry.expires)
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRecord(archive.Record{Key: turnPrefix + id, Value: value, Expires: entry.expires})
	if err != nil {
		return nil, err
	}
	return decoded.(turnRecord).turn, nil
}

// lookup returns the index entry of a turn. It reads an unreadable record again, because a
// read may fail for a moment, such as while the record is still being stored. The caller
// must hold the mutex.
func (l *Ledger) lookup(id string) (entry turnEntry, found bool) {
	entry, found = l.turns[id]
	if !found || !entry.unreadable {
		return entry, found
	}
	if _, err := l.archive.Read(turnPrefix+id, entry.expires); err != nil {
		return entry, true
	}
	entry.unreadable = false
	l.turns[id] = entry
	delete(l.gaps, id)
	l.logger.Info("stored turn can be read again", zap.String("turn", id))
	return entry, true
}

// noteUnreadable notes that the record of a turn can't be read, so that it is fetched from
// another keeper. Until then, the turn is neither returned nor reported as absent.
func (l *Ledger) noteUnreadable(id string, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setUnreadable(id, err)
}

// setUnreadable is noteUnreadable for callers that hold the mutex.
func (l *Ledger) setUnreadable(id string, err error) {
	entry, found := l.turns[id]
	var closed *archive.ClosedError
	if !found || entry.unreadable || errors.As(err, &closed) {
		return
	}
	l.logger.Error("failed to read stored turn", zap.String("turn", id), zap.Error(err))
	entry.unreadable = true
	l.turns[id] = entry
	l.noteGap(id, entry.placement, entry.expires)
}
