package ledger

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

// extendChain stores the turns of a chain that would expire before the given time again, with
// a later expiry. Turns before a missing one are extended when that one has been fetched. It
// keeps one turn in memory at a time, and one chain is extended at a time.
func (l *Ledger) extendChain(now time.Time, id, placement string, until time.Time) error {
	links := l.expiring(id, placement, until)
	if len(links) == 0 {
		return nil
	}
	l.extending.Lock()
	defer l.extending.Unlock()
	extended := until.Add(until.Sub(now) * extraRetentionFactor)
	var value []byte
	for _, link := range links {
		var err error
		if value, err = l.read(link, value[:0]); err != nil {
			l.noteUnreadable(link.id, err)
			break
		}
		if err := l.archive.StoreNoSync(archive.Record{Key: turnPrefix + link.id, Value: value, Expires: extended}); err != nil {
			return err
		}
		l.setExtended(link, extended)
	}
	return nil
}

// expiring returns the turns of a chain that expire before the given time, up to the first
// missing one, which is noted.
func (l *Ledger) expiring(id, placement string, until time.Time) (links []link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for range maxChainLength {
		entry, found := l.lookup(id)
		if !found || entry.unreadable {
			l.noteGap(id, placement, until)
			break
		}
		if entry.expires().Before(until) {
			links = append(links, link{id: id, entry: entry})
		}
		id = entry.previous
	}
	return links
}

// setExtended adds the new expiry of a stored turn to the index.
func (l *Ledger) setExtended(turn link, expires time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known, found := l.turns[turn.id]; !found || known.expires().Before(expires) {
		turn.entry.setExpires(expires)
		l.setTurn(turn.id, turn.entry)
		delete(l.gaps, turn.id)
	}
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
		case entry.workspace() != workspace:
			return nil, "", wire.FindVerdict_FIND_VERDICT_FOREIGN
		case entry.unreadable && id == turn:
			l.noteGap(id, entry.placement, entry.expires())
			return nil, "", wire.FindVerdict_FIND_VERDICT_UNCERTAIN
		case entry.unreadable:
			l.noteGap(id, entry.placement, entry.expires())
			return chain, id, wire.FindVerdict_FIND_VERDICT_PARTIAL
		}
		chain = append(chain, link{id: id, entry: entry})
		id = entry.previous
	}
	return chain, "", wire.FindVerdict_FIND_VERDICT_FOUND
}

// read appends the stored value of a turn to buffer. It reads again what was stored with another
// expiry since the link was read from the index.
func (l *Ledger) read(turn link, buffer []byte) ([]byte, error) {
	for {
		value, err := l.archive.AppendTo(buffer, turnPrefix+turn.id, turn.entry.expires())
		if err == nil {
			return value, nil
		}
		l.mutex.Lock()
		entry, found := l.turns[turn.id]
		l.mutex.Unlock()
		if !found || !entry.expires().After(turn.entry.expires()) {
			return nil, err
		}
		turn.entry = entry
	}
}

func (l *Ledger) readTurn(turn link) (*wire.Turn, error) {
	value, err := l.read(turn, nil)
	if err != nil {
		return nil, err
	}
	decoded, err := decodeRecord(archive.Record{Key: turnPrefix + turn.id, Value: value, Expires: turn.entry.expires()})
	if err != nil {
		return nil, err
	}
	return decoded.(turnRecord).turn, nil
}

// lookup returns the index entry of a turn. It reads an unreadable record again, because a
// read may fail for a moment. The caller must hold the mutex.
func (l *Ledger) lookup(id string) (entry turnEntry, found bool) {
	entry, found = l.turns[id]
	if !found || !entry.unreadable {
		return entry, found
	}
	if _, err := l.archive.Read(turnPrefix+id, entry.expires()); err != nil {
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
	entry, found := l.turns[id]
	var closed *archive.ClosedError
	if !found || entry.unreadable || errors.As(err, &closed) {
		return
	}
	l.logger.Error("failed to read stored turn", zap.String("turn", id), zap.Error(err))
	entry.unreadable = true
	l.turns[id] = entry
	l.noteGap(id, entry.placement, entry.expires())
}
