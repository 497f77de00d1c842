package ledger

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

const (
	turnPrefix        = "t/"
	reservationPrefix = "r/"
	// completeKey marks a disk that had all that belonged to it.
	completeKey = "complete"
	separator   = "\x00"
)

// stored is what a record on disk holds. The types of this file are all there are.
type stored interface{ isStored() }

// storedReady tells whether the disk had all that belonged to it.
type storedReady struct{ ready bool }

// storedTurn is a turn.
type storedTurn struct{ turn *wire.Turn }

// storedReservation is one turn's part of a program's budget.
type storedReservation struct{ reservation *wire.Reservation }

func (storedReady) isStored()       {}
func (storedTurn) isStored()        {}
func (storedReservation) isStored() {}

// decode reads a record. Turns and reservations expire as the record does.
func decode(record archive.Record) (stored, error) {
	switch {
	case record.Key == completeKey:
		return storedReady{ready: len(record.Value) == 1 && record.Value[0] == 1}, nil
	case strings.HasPrefix(record.Key, turnPrefix):
		turn := &wire.Turn{}
		err := proto.Unmarshal(record.Value, turn)
		turn.ExpiresUnixMilliseconds = record.Expires.UnixMilli()
		return storedTurn{turn: turn}, err
	case strings.HasPrefix(record.Key, reservationPrefix):
		reservation := &wire.Reservation{}
		err := proto.Unmarshal(record.Value, reservation)
		reservation.ExpiresUnixMilliseconds = record.Expires.UnixMilli()
		return storedReservation{reservation: reservation}, err
	default:
		return nil, fmt.Errorf("no kind of record has the key %q", record.Key)
	}
}

// turnRecord encodes a turn.
func turnRecord(turn *wire.Turn, expires time.Time) (archive.Record, error) {
	value, err := proto.Marshal(turn)
	return archive.Record{Key: turnPrefix + turn.GetId(), Value: value, Expires: expires}, err
}

// reservationRecord encodes a reservation.
func reservationRecord(program, turn string, entry reservationEntry) archive.Record {
	value, err := proto.Marshal(&wire.Reservation{
		Program: program, Turn: turn, Tokens: entry.tokens, Settled: entry.settled, ExpiresUnixMilliseconds: entry.expires.UnixMilli(),
	})
	if err != nil {
		// Strings that are not UTF-8 are refused before they come here.
		panic(err)
	}
	return archive.Record{Key: reservationPrefix + program + separator + turn, Value: value, Expires: entry.expires}
}
