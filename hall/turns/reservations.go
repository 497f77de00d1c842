package turns

import (
	"maps"
	"slices"
	"time"

	"limpethall.dev/kernel/wire"
)

// reservationSet holds the reservations of a program's other turns, as several keepers
// know them. The zero value is empty.
type reservationSet struct {
	byTurn  map[string]*wire.Reservation
	known   map[string]int // By turn, how many of the replies listed it.
	replies int
	// spent is the largest sum reported by a keeper that does not list its reservations,
	// as keepers of an earlier version do.
	spent int64
}

// add merges what one keeper knows. Settled reservations never change, so they replace
// open ones.
func (s *reservationSet) add(reply *wire.BeginTurnReply) {
	s.replies++
	if len(reply.GetReservations()) == 0 {
		s.spent = max(s.spent, reply.GetSpentTokens())
		return
	}
	if s.byTurn == nil {
		s.byTurn, s.known = make(map[string]*wire.Reservation), make(map[string]int)
	}
	for _, reservation := range reply.GetReservations() {
		s.known[reservation.GetTurn()]++
		known := s.byTurn[reservation.GetTurn()]
		switch {
		case known == nil:
			s.byTurn[reservation.GetTurn()] = reservation
			continue
		case reservation.GetSettled():
			known.Tokens, known.Settled = reservation.GetTokens(), true
		}
		if known.ServerVersion == nil {
			known.ServerVersion = reservation.ServerVersion
		}
		if known.GetStream() == 0 {
			known.Stream = reservation.GetStream()
		}
		known.Relayed = known.GetRelayed() || reservation.GetRelayed()
	}
}

// partlyKnown returns the reservations that some of the keepers did not list, with the name
// of the program and a new expiry time. A keeper extends only those that it knows, so
// without this they would expire on the keepers that reserve no more, and be forgotten with
// the last one that knows them.
func (s *reservationSet) partlyKnown(program string, expires time.Time) []*wire.Reservation {
	var found []*wire.Reservation
	for turn, reservation := range s.byTurn {
		if s.known[turn] < s.replies {
			found = append(found, &wire.Reservation{
				Program: program, Turn: turn, Tokens: reservation.GetTokens(), Settled: reservation.GetSettled(), ServerVersion: reservation.ServerVersion,
				Stream: reservation.GetStream(), ExpiresUnixMilliseconds: expires.UnixMilli(),
			})
		}
	}
	return found
}

// tokens returns the tokens that are spent or reserved.
func (s *reservationSet) tokens() int64 {
	sum := int64(0)
	for _, reservation := range s.byTurn {
		sum += reservation.GetTokens()
	}
	return max(sum, s.spent)
}

// attemptsOf returns the turns of a stream that may have relayed events, in order of their IDs.
func (s *reservationSet) attemptsOf(stream uint64) []string {
	var turns []string
	for turn, reservation := range s.byTurn {
		relayedNothing := reservation.GetSettled() && reservation.GetTokens() == 0
		if stream != 0 && reservation.GetStream() == stream && !relayedNothing {
			turns = append(turns, turn)
		}
	}
	slices.Sort(turns)
	return turns
}

// onlyVersion returns the software version of the turns of a stream, or of all turns of the
// program if none of them is known to be of the stream. It returns false if they have several
// or none is known.
func (s *reservationSet) onlyVersion(stream uint64) (version string, found bool) {
	attempts := s.attemptsOf(stream)
	if len(attempts) == 0 {
		attempts = slices.Collect(maps.Keys(s.byTurn))
	}
	for _, turn := range attempts {
		reservation := s.byTurn[turn]
		switch {
		case reservation.ServerVersion == nil:
		case found && reservation.GetServerVersion() != version:
			return "", false
		default:
			version, found = reservation.GetServerVersion(), true
		}
	}
	return version, found
}
