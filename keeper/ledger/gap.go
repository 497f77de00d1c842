package ledger

import (
	"time"

	"limpethall.dev/kernel/wire"
)

// Gap is a turn that this keeper lacks: one that a stored turn continues, or that it stored
// but can't read. Turns are stored on a quorum of the replicas, so a keeper lacks those that
// were stored while it was down or before it was called in place of another replica.
type Gap struct {
	turn      string
	placement string
	expires   time.Time // Until when the turn is needed.
}

// Turn returns the ID of the missing turn.
func (g Gap) Turn() string { return g.turn }

// Placement returns the placement key of the chain.
func (g Gap) Placement() string { return g.placement }

// noteGap notes that a chain needs the turn until the given time, if the turn is missing.
// The caller must hold the mutex, except in Open.
func (l *Ledger) noteGap(turn, placement string, until time.Time) {
	if entry, found := l.turns[turn]; (found && !entry.unreadable) || turn == "" {
		return
	}
	if known, found := l.gaps[turn]; found && known.expires.After(until) {
		return
	}
	l.gaps[turn] = Gap{turn: turn, placement: placement, expires: until}
}

// Gaps returns the missing turns of all chains, at most one of each.
func (l *Ledger) Gaps() []Gap {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	gaps := make([]Gap, 0, len(l.gaps))
	for _, gap := range l.gaps {
		gaps = append(gaps, gap)
	}
	return gaps
}

// ForgetGap forgets a missing turn that no keeper has. It is noted again when the chain is
// continued.
func (l *Ledger) ForgetGap(gap Gap) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.gaps, gap.turn)
}

// Fetch returns those of the turns that this keeper has. If that would be more than a
// page, it returns some of them, and the reply's next is set.
func (l *Ledger) Fetch(turns []string) (*wire.CopyReply, error) {
	reply := &wire.CopyReply{Ready: l.Ready()}
	size := 0
	for _, turn := range turns {
		if size >= pageBytes {
			reply.Next = []byte(turn)
			return reply, nil
		}
		added, err := l.addToPage(reply, recordName{turn: turn, isTurn: true})
		if err != nil {
			return nil, err
		}
		size += added
	}
	return reply, nil
}

// FetchSize returns the approximate size of Fetch's reply in bytes.
func (l *Ledger) FetchSize(turns []string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := 0
	for _, turn := range turns {
		if size >= pageBytes {
			break
		}
		size += int(l.turns[turn].size)
	}
	return size
}

// FillGaps adds fetched turns that are still missing and syncs them to disk. They and the
// turns before them are kept for as long as the chain needs them.
func (l *Ledger) FillGaps(now time.Time, turns []*wire.Turn) error {
	if err := l.archive.Writable(); err != nil {
		return err
	}
	l.merging.Lock()
	defer l.merging.Unlock()
	wanted, gaps := l.wanted(turns)
	if err := l.mergeTurns(now, wanted, nil); err != nil {
		return err
	}
	for index, turn := range wanted {
		if err := l.extendChain(now, turn.GetPrevious(), turn.GetPlacement(), gaps[index].expires); err != nil {
			return err
		}
	}
	return nil
}

// wanted returns those of the turns that are noted as missing, with the expiry that their
// chain needs, and the note of each.
func (l *Ledger) wanted(turns []*wire.Turn) (wanted []*wire.Turn, gaps []Gap) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, turn := range turns {
		if gap, found := l.gaps[turn.GetId()]; found {
			turn.ExpiresUnixMilliseconds = max(turn.GetExpiresUnixMilliseconds(), gap.expires.UnixMilli())
			wanted, gaps = append(wanted, turn), append(gaps, gap)
		}
	}
	return wanted, gaps
}
