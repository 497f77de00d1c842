package ledger

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper/archive"
	"limpethall.dev/kernel/wire"
)

const (
	turnPrefix        = "t/"
	reservationPrefix = "r/"
	// completeKey is the key of the record that tells whether the disk is complete.
	completeKey = "complete"
	// copiedKey is the key of the record of the member list up to which records were
	// copied.
	copiedKey = "copied"
	// keySeparator stands between program and turn in the key of a reservation.
	keySeparator = "\x00"
)

// decodedRecord is the content of a record on disk. All its implementations are
// in this file.
type decodedRecord interface{ isDecodedRecord() }

// completeRecord tells whether the disk holds all records that this keeper is a
// replica for.
type completeRecord struct{ complete bool }

// copiedRecord is the member list up to which records were copied.
type copiedRecord struct{ members *wire.KeeperList }

// turnRecord is a stored turn.
type turnRecord struct{ turn *wire.Turn }

// reservationRecord is one turn's share of a program's budget.
type reservationRecord struct{ reservation *wire.Reservation }

func (completeRecord) isDecodedRecord()    {}
func (copiedRecord) isDecodedRecord()      {}
func (turnRecord) isDecodedRecord()        {}
func (reservationRecord) isDecodedRecord() {}

// decodeRecord decodes a record. The expiry of a turn or reservation is that of
// its record.
func decodeRecord(record archive.Record) (decodedRecord, error) {
	switch {
	case record.Key == completeKey:
		return completeRecord{complete: len(record.Value) == 1 && record.Value[0] == 1}, nil
	case record.Key == copiedKey:
		members := &wire.KeeperList{}
		err := proto.Unmarshal(record.Value, members)
		return copiedRecord{members: members}, err
	case strings.HasPrefix(record.Key, turnPrefix):
		turn := &wire.Turn{}
		err := proto.Unmarshal(record.Value, turn)
		turn.ExpiresUnixMilliseconds = record.Expires.UnixMilli()
		return turnRecord{turn: turn}, err
	case strings.HasPrefix(record.Key, reservationPrefix):
		reservation := &wire.Reservation{}
		err := proto.Unmarshal(record.Value, reservation)
		reservation.ExpiresUnixMilliseconds = record.Expires.UnixMilli()
		return reservationRecord{reservation: reservation}, err
	default:
		return nil, fmt.Errorf("unknown type of record with key %q", record.Key)
	}
}

// Choose selects the value of a record that is read from a damaged archive. A settled
// reservation is final. What tells that the records are complete is left out, as they are not.
func Choose(key string, stored, found []byte) []byte {
	decoded, err := decodeRecord(archive.Record{Key: key, Value: found})
	if err != nil {
		return stored
	}
	switch decoded := decoded.(type) {
	case completeRecord, copiedRecord:
		return nil
	case reservationRecord:
		earlier := &wire.Reservation{}
		if err := proto.Unmarshal(stored, earlier); err == nil && earlier.GetSettled() && !decoded.reservation.GetSettled() {
			return stored
		}
	}
	return found
}

// encodeTurn returns the record of a turn.
func encodeTurn(turn *wire.Turn, expires time.Time) (archive.Record, error) {
	value, err := proto.Marshal(turn)
	return archive.Record{Key: turnPrefix + turn.GetId(), Value: value, Expires: expires}, err
}

// The fields of wire.Turn that hold the input and the output.
const (
	inputField  = 5
	outputField = 6
)

// partsOf returns the input and output of an encoded turn, which are parts of it.
func partsOf(value []byte) (input, output []byte, err error) {
	for len(value) > 0 {
		number, kind, length := protowire.ConsumeTag(value)
		if length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		value = value[length:]
		if length = protowire.ConsumeFieldValue(number, kind, value); length < 0 {
			return nil, nil, protowire.ParseError(length)
		}
		content, _ := protowire.ConsumeBytes(value)
		switch {
		case kind == protowire.BytesType && number == inputField:
			input = content
		case kind == protowire.BytesType && number == outputField:
			output = content
		}
		value = value[length:]
	}
	return input, output, nil
}

// newReservationRecord returns the message of a reservation.
func newReservationRecord(program, turn string, entry reservationEntry) *wire.Reservation {
	return &wire.Reservation{
		Program: program, Turn: turn, Tokens: entry.tokens, Settled: entry.settled, ServerVersion: entry.version(), Stream: entry.stream, ExpiresUnixMilliseconds: entry.expires().UnixMilli(),
	}
}

func reservationKey(program, turn string) string {
	return reservationPrefix + program + keySeparator + turn
}

// encodeReservation returns the record of a reservation.
func encodeReservation(program, turn string, entry reservationEntry) archive.Record {
	value, err := proto.Marshal(newReservationRecord(program, turn, entry))
	if err != nil {
		// Strings that are not valid UTF-8 are rejected before they get here.
		panic(err)
	}
	return archive.Record{Key: reservationKey(program, turn), Value: value, Expires: entry.expires()}
}
