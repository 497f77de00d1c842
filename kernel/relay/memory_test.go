package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/kernel/buffer"
	"limpethall.dev/kernel/failure"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/relay"
	"limpethall.dev/kernel/wire"
)

// TestMemoryOfRepliesIsBounded guards against hosts that use more memory than they have for
// what others ask them about a large configuration.
func TestMemoryOfRepliesIsBounded(t *testing.T) {
	const valueBytes = 1 << 20
	service := memory.New(time.Now)
	if _, err := service.CompareAndSwap(t.Context(), "tables/large", make([]byte, valueBytes), 0, 0); err != nil {
		t.Fatal(err)
	}
	store := relay.New(service, relay.Options{Network: network.TCP{}}, time.Now, zap.NewNop())
	if _, err := store.List(t.Context(), "tables/"); err != nil {
		t.Fatal(err)
	}
	budget := buffer.NewBudget(2 * valueBytes)
	server := httptest.NewServer(budget.Handler(relay.NewServer(store), buffer.HandlerOptions{
		MaxBytes: valueBytes, Timeout: time.Second, Priority: func(*http.Request) buffer.Priority { return buffer.PriorityRunning }, Logger: zap.NewNop(),
	}))
	defer server.Close()
	client := wire.NewRelayProtobufClient(server.URL, http.DefaultClient)
	recall := func() (*wire.RecallReply, error) {
		return client.Recall(t.Context(), &wire.RecallRequest{Prefix: "tables/"})
	}
	if reply, err := recall(); err != nil || len(reply.GetEntries()) != 1 {
		t.Errorf("reply that fits: got %d entries, %v, want one", len(reply.GetEntries()), err)
	}
	other := budget.Open(buffer.PriorityStarted)
	defer other.Release()
	if err := other.Take(valueBytes); err != nil {
		t.Fatal(err)
	}
	if _, err := recall(); !failure.IsRefused(err) {
		t.Errorf("reply beside another use of memory: got error %v, want a refusal that says that the host works", err)
	}
	if got := budget.Used(); got != valueBytes {
		t.Errorf("got %d bytes in use, want %d", got, valueBytes)
	}
}
