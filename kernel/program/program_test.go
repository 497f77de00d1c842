package program_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/program"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/wire"
)

const sharedSecret = "0123456789abcdef0123456789abcdef"

func book(t testing.TB, secrets ...string) *secret.Book {
	t.Helper()
	made, err := secret.New(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

func turn(text string) *wire.TurnRecord {
	return &wire.TurnRecord{Messages: [][]byte{[]byte(text)}, Answer: []byte("answer to " + text), RequestDigest: program.RequestDigest([]byte(text))}
}

func recordOf(turns ...string) *program.Record {
	record := program.New("p", "w", "", 1000)
	for _, text := range turns {
		record.Append(turn(text), "server-1")
	}
	return record
}

func ticketOf(record *program.Record) program.Ticket {
	return program.NewTicket(record, program.NewPlacement(1, nil, 0), program.NewIssuer("hall-1", 1, 1))
}

func TestLocate(t *testing.T) {
	cases := []struct {
		name   string
		ticket *program.Record
		record *program.Record
		want   program.Position
	}{
		{"next", recordOf("a"), recordOf("a"), program.PositionNext},
		{"first", recordOf(), recordOf(), program.PositionNext},
		{"repeat", recordOf("a"), recordOf("a", "b"), program.PositionRepeat},
		{"behind", recordOf("a"), recordOf("a", "b", "c"), program.PositionBehind},
		{"stale copy", recordOf("a", "b"), recordOf("a"), program.PositionAhead},
		{"other history", recordOf("x"), recordOf("a"), program.PositionForeign},
		{"other history, longer", recordOf("x"), recordOf("a", "b"), program.PositionForeign},
	}
	for _, c := range cases {
		if got := c.record.Locate(ticketOf(c.ticket)); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestTicketsAreSealed(t *testing.T) {
	old, rolled := book(t, sharedSecret), book(t, "another-secret-of-enough-length-0000", sharedSecret)
	text := ticketOf(recordOf("a")).Seal(old)
	if _, ok := program.OpenTicket(rolled, text); !ok {
		t.Errorf("ticket of the old secret while both are valid: got refused, want opened")
	}
	if _, ok := program.OpenTicket(book(t, "another-secret-of-enough-length-0000"), text); ok {
		t.Errorf("ticket of a withdrawn secret: got opened, want refused")
	}
	for index := range text {
		changed := []byte(text)
		changed[index] ^= 1
		if opened, ok := program.OpenTicket(old, string(changed)); ok && opened.Seal(old) != text {
			t.Errorf("ticket changed at %d: got opened, want refused", index)
		}
	}
}

func FuzzOpenTicket(f *testing.F) {
	known := book(f, sharedSecret)
	f.Add(ticketOf(recordOf("a")).Seal(known))
	f.Fuzz(func(t *testing.T, text string) {
		opened, ok := program.OpenTicket(known, text)
		if ok && opened.Program() != "p" {
			t.Errorf("opened a ticket that nobody sealed: %q", text)
		}
	})
}

// TestBudgetIsNeverOverspent reserves, settles, lends and returns at random.
func TestBudgetIsNeverOverspent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := rapid.Int64Range(1, 500).Draw(rt, "budget")
		record := program.New("p", "w", "", budget)
		lent := make(map[string]int64)
		next := 0
		rt.Repeat(map[string]func(*rapid.T){
			"turn": func(rt *rapid.T) {
				prompt := rapid.Int64Range(0, 100).Draw(rt, "prompt")
				granted, err := record.Reserve(prompt, rapid.Int64Range(1, 200).Draw(rt, "wanted"))
				if err != nil {
					if !failure.HasCode(err, failure.CodeBudgetSpent) {
						rt.Fatalf("got %v, want budgetSpent", err)
					}
					return
				}
				record.Settle(prompt+granted, prompt+rapid.Int64Range(0, granted).Draw(rt, "generated"))
			},
			"lend": func(rt *rapid.T) {
				next++
				child := fmt.Sprint(next)
				amount := rapid.Int64Range(-5, 300).Draw(rt, "amount")
				if record.Lend(child, amount) == nil {
					lent[child] = amount
				}
			},
			"return": func(rt *rapid.T) {
				for child, amount := range lent {
					if !record.Return(child, amount, rapid.Int64Range(0, amount).Draw(rt, "spent")) {
						rt.Fatalf("child %s: first return refused", child)
					}
					if record.Return(child, amount, amount) {
						rt.Fatalf("child %s: second return accepted", child)
					}
					delete(lent, child)
					return
				}
			},
			"": func(rt *rapid.T) {
				if record.Spent()+record.Lent() > budget || record.Remaining() < 0 {
					rt.Fatalf("got spent %d and lent %d of %d", record.Spent(), record.Lent(), budget)
				}
			},
		})
	})
}

func TestArchive(t *testing.T) {
	now := time.Unix(1000, 0)
	store := func(archive *program.Archive, record *program.Record, from uint64) wire.StoreRecordReply_Result {
		return archive.Store(record.ToWire(from), record.DigestAt(from-1), now)
	}
	cases := []struct {
		name string
		held *program.Record
		sent *program.Record
		from uint64
		want wire.StoreRecordReply_Result
	}{
		{"first turn", nil, recordOf("a"), 1, wire.StoreRecordReply_RESULT_STORED},
		{"next turn", recordOf("a"), recordOf("a", "b"), 2, wire.StoreRecordReply_RESULT_STORED},
		{"the same again", recordOf("a", "b"), recordOf("a", "b"), 2, wire.StoreRecordReply_RESULT_STORED},
		{"gap", recordOf("a"), recordOf("a", "b", "c"), 3, wire.StoreRecordReply_RESULT_NEEDS_ALL},
		{"nothing held", nil, recordOf("a", "b"), 2, wire.StoreRecordReply_RESULT_NEEDS_ALL},
		{"all turns", recordOf("a"), recordOf("a", "b", "c"), 1, wire.StoreRecordReply_RESULT_STORED},
		{"another second turn", recordOf("a", "b"), recordOf("a", "x"), 2, wire.StoreRecordReply_RESULT_REFUSED},
		{"another course", recordOf("a", "b"), recordOf("x", "y", "z"), 1, wire.StoreRecordReply_RESULT_REFUSED},
		{"an older state", recordOf("a", "b"), recordOf("a"), 1, wire.StoreRecordReply_RESULT_REFUSED},
	}
	for _, c := range cases {
		archive := program.NewArchive()
		if c.held != nil {
			store(archive, c.held, 1)
		}
		if got := store(archive, c.sent, c.from); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		if c.want != wire.StoreRecordReply_RESULT_STORED {
			continue
		}
		kept, _ := archive.Fetch("p")
		if got, want := program.FromWire(kept).Digest(), c.sent.Digest(); !bytes.Equal(got, want) {
			t.Errorf("%s: kept digest %x, want %x", c.name, got, want)
		}
	}
}

func TestArchiveForgets(t *testing.T) {
	archive := program.NewArchive()
	now := time.Unix(1000, 0)
	archive.Store(recordOf("a").ToWire(1), nil, now)
	if got, want := archive.Expire(now.Add(time.Hour), time.Hour), 1; got != want {
		t.Errorf("expired: got %d, want %d", got, want)
	}
}

func TestAnswerAssemblesToolCalls(t *testing.T) {
	answer := program.NewAnswer()
	for _, delta := range []string{
		`{"role":"assistant","content":"I "}`, `{"content":"look"}`,
		`{"tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"a\""}}]}`,
		`{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]}`,
	} {
		answer.Add(&wire.Delta{Json: []byte(delta), Tokens: 1})
	}
	want := `{"role":"assistant","content":"I look","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"a\":1}"}}]}`
	if got := string(answer.Message()); got != want {
		t.Errorf("message:\n got %s\nwant %s", got, want)
	}
}

// BenchmarkSlopeTicket is what sealing and opening a ticket costs each turn.
func BenchmarkSlopeTicket(b *testing.B) {
	known := book(b, sharedSecret)
	ticket := ticketOf(recordOf("a", "b"))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := program.OpenTicket(known, ticket.Seal(known)); !ok {
			b.Fatal("not opened")
		}
	}
}

// BenchmarkSlopeAppendTurn is what a turn costs a record, whatever its history.
func BenchmarkSlopeAppendTurn(b *testing.B) {
	for _, turns := range []int{1, 40, 160} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			var texts []string
			for number := range turns {
				texts = append(texts, fmt.Sprint("turn ", number))
			}
			stored := recordOf(texts...).ToWire(1)
			next := turn("next")
			b.ReportAllocs()
			for b.Loop() {
				record := program.FromWire(stored)
				record.Append(next, "server-1")
				record.ToWire(record.Turn())
				stored.Turns = stored.Turns[:turns]
			}
		})
	}
}
