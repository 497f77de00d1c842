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

const testSecret = "0123456789abcdef0123456789abcdef"

func newKeyring(t testing.TB, secrets ...string) *secret.Keyring {
	t.Helper()
	created, err := secret.New(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return created
}

func newTurn(text string) *wire.TurnRecord {
	return &wire.TurnRecord{Messages: [][]byte{[]byte(text)}, Answer: []byte("answer to " + text), RequestDigest: program.RequestDigest([]byte(text))}
}

func newRecord(turns ...string) *program.Record {
	record := program.New("p", "w", "", 1000)
	for _, text := range turns {
		record.Append(newTurn(text), "server-1")
	}
	return record
}

func newTicket(record *program.Record) program.Ticket {
	return program.NewTicket(record, program.NewPlacement(1, nil, 0), program.NewIssuer("hall-1", 1, 1))
}

func TestCompare(t *testing.T) {
	cases := []struct {
		name   string
		ticket *program.Record
		record *program.Record
		want   program.Position
	}{
		{"next", newRecord("a"), newRecord("a"), program.PositionNext},
		{"first", newRecord(), newRecord(), program.PositionNext},
		{"repeat", newRecord("a"), newRecord("a", "b"), program.PositionRepeat},
		{"behind", newRecord("a"), newRecord("a", "b", "c"), program.PositionBehind},
		{"stale replica", newRecord("a", "b"), newRecord("a"), program.PositionAhead},
		{"different history", newRecord("x"), newRecord("a"), program.PositionDiverged},
		{"longer different history", newRecord("x"), newRecord("a", "b"), program.PositionDiverged},
	}
	for _, c := range cases {
		if got := c.record.Compare(newTicket(c.ticket)); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func TestTicketSeal(t *testing.T) {
	oldKeyring, rotatedKeyring := newKeyring(t, testSecret), newKeyring(t, "another-secret-of-enough-length-0000", testSecret)
	sealed := newTicket(newRecord("a")).Seal(oldKeyring)
	if _, ok := program.OpenTicket(rotatedKeyring, sealed); !ok {
		t.Errorf("ticket sealed with the old secret while both are valid: got refused, want opened")
	}
	if _, ok := program.OpenTicket(newKeyring(t, "another-secret-of-enough-length-0000"), sealed); ok {
		t.Errorf("ticket sealed with a removed secret: got opened, want refused")
	}
	for index := range sealed {
		changed := []byte(sealed)
		changed[index] ^= 1
		if ticket, ok := program.OpenTicket(oldKeyring, string(changed)); ok && ticket.Seal(oldKeyring) != sealed {
			t.Errorf("ticket modified at byte %d: got opened, want refused", index)
		}
	}
}

func FuzzOpenTicket(f *testing.F) {
	keyring := newKeyring(f, testSecret)
	f.Add(newTicket(newRecord("a")).Seal(keyring))
	f.Fuzz(func(t *testing.T, sealed string) {
		ticket, ok := program.OpenTicket(keyring, sealed)
		if ok && ticket.Program() != "p" {
			t.Errorf("opened a ticket that was not sealed with the secret: %q", sealed)
		}
	})
}

// TestBudgetIsNeverOverspent checks that any sequence of turns, loans and returned
// loans keeps the tokens spent and lent within the budget.
func TestBudgetIsNeverOverspent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := rapid.Int64Range(1, 500).Draw(rt, "budget")
		record := program.New("p", "w", "", budget)
		lent := make(map[string]int64)
		lastChild := 0
		rt.Repeat(map[string]func(*rapid.T){
			"turn": func(rt *rapid.T) {
				prompt := rapid.Int64Range(0, 100).Draw(rt, "prompt")
				grantedTokens, err := record.Reserve(prompt, rapid.Int64Range(1, 200).Draw(rt, "wanted"))
				if err != nil {
					if !failure.HasCode(err, failure.CodeBudgetSpent) {
						rt.Fatalf("got %v, want budgetSpent", err)
					}
					return
				}
				record.Settle(prompt+grantedTokens, prompt+rapid.Int64Range(0, grantedTokens).Draw(rt, "generated"))
			},
			"lend": func(rt *rapid.T) {
				lastChild++
				child := fmt.Sprint(lastChild)
				amount := rapid.Int64Range(-5, 300).Draw(rt, "amount")
				if record.Lend(child, amount) == nil {
					lent[child] = amount
				}
			},
			"return": func(rt *rapid.T) {
				for child, amount := range lent {
					if !record.ReturnLoan(child, amount, rapid.Int64Range(0, amount).Draw(rt, "spent")) {
						rt.Fatalf("child %s: first return of the loan refused", child)
					}
					if record.ReturnLoan(child, amount, amount) {
						rt.Fatalf("child %s: second return of the loan accepted", child)
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

func TestReplicaStoreStore(t *testing.T) {
	now := time.Unix(1000, 0)
	store := func(replicas *program.ReplicaStore, record *program.Record, fromTurn uint64) wire.StoreRecordReply_Result {
		return replicas.Store(record.ToWire(fromTurn), record.DigestAt(fromTurn-1), now)
	}
	cases := []struct {
		name     string
		existing *program.Record
		sent     *program.Record
		fromTurn uint64
		want     wire.StoreRecordReply_Result
	}{
		{"first turn", nil, newRecord("a"), 1, wire.StoreRecordReply_RESULT_STORED},
		{"next turn", newRecord("a"), newRecord("a", "b"), 2, wire.StoreRecordReply_RESULT_STORED},
		{"same turn again", newRecord("a", "b"), newRecord("a", "b"), 2, wire.StoreRecordReply_RESULT_STORED},
		{"gap", newRecord("a"), newRecord("a", "b", "c"), 3, wire.StoreRecordReply_RESULT_NEEDS_ALL},
		{"no replica", nil, newRecord("a", "b"), 2, wire.StoreRecordReply_RESULT_NEEDS_ALL},
		{"all turns", newRecord("a"), newRecord("a", "b", "c"), 1, wire.StoreRecordReply_RESULT_STORED},
		{"different second turn", newRecord("a", "b"), newRecord("a", "x"), 2, wire.StoreRecordReply_RESULT_REFUSED},
		{"different history", newRecord("a", "b"), newRecord("x", "y", "z"), 1, wire.StoreRecordReply_RESULT_REFUSED},
		{"older record", newRecord("a", "b"), newRecord("a"), 1, wire.StoreRecordReply_RESULT_REFUSED},
	}
	for _, c := range cases {
		replicas := program.NewReplicaStore()
		if c.existing != nil {
			store(replicas, c.existing, 1)
		}
		if got := store(replicas, c.sent, c.fromTurn); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
		if c.want != wire.StoreRecordReply_RESULT_STORED {
			continue
		}
		stored, _ := replicas.Get("p")
		if got, want := program.FromWire(stored).Digest(), c.sent.Digest(); !bytes.Equal(got, want) {
			t.Errorf("%s: stored digest %x, want %x", c.name, got, want)
		}
	}
}

func TestReplicaStoreExpire(t *testing.T) {
	replicas := program.NewReplicaStore()
	now := time.Unix(1000, 0)
	replicas.Store(newRecord("a").ToWire(1), nil, now)
	if got, want := replicas.Expire(now.Add(time.Hour), time.Hour), 1; got != want {
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

// BenchmarkSlopeTicket measures the cost of sealing and opening a ticket, which
// happens once per turn.
func BenchmarkSlopeTicket(b *testing.B) {
	keyring := newKeyring(b, testSecret)
	ticket := newTicket(newRecord("a", "b"))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := program.OpenTicket(keyring, ticket.Seal(keyring)); !ok {
			b.Fatal("not opened")
		}
	}
}

// BenchmarkSlopeAppendTurn measures the cost of appending a turn to a record,
// depending on the length of its history.
func BenchmarkSlopeAppendTurn(b *testing.B) {
	for _, turns := range []int{1, 40, 160} {
		b.Run(fmt.Sprint(turns), func(b *testing.B) {
			var texts []string
			for index := range turns {
				texts = append(texts, fmt.Sprint("turn ", index))
			}
			stored := newRecord(texts...).ToWire(1)
			next := newTurn("next")
			b.ReportAllocs()
			for b.Loop() {
				record := program.FromWire(stored)
				record.Append(next, "server-1")
				record.ToWire(record.TurnCount())
				stored.Turns = stored.Turns[:turns]
			}
		})
	}
}
