package keeper_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"limpethall.dev/keeper"
	"limpethall.dev/kernel/metrics"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform/memory"
	"limpethall.dev/kernel/replication"
	"limpethall.dev/kernel/wire"
)

// startKeeper starts a keeper that has a disk of its own and is the only one. It returns its
// address, once it is ready, and its store.
func startKeeper(t *testing.T, memoryBytes int64) (address string, store *memory.Store) {
	t.Helper()
	store = memory.New(time.Now)
	return startKeeperAt(t, store, "keeper-1", memoryBytes), store
}

// startKeeperAt starts a keeper that uses the store, and returns its address once it is ready.
// keeper-1 is the first one.
func startKeeperAt(t *testing.T, store *memory.Store, name string, memoryBytes int64) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	meters, err := metrics.New("keeper")
	if err != nil {
		t.Fatalf("metrics: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	process, err := keeper.New(ctx, keeper.Options{
		Name: name, Zone: name, Addresses: []string{address}, DataDir: t.TempDir(), Bootstrap: name == "keeper-1", Tolerance: 1, MemoryBytes: memoryBytes,
		Network: network.NewWaiting(ctx, network.TCP{}, zap.NewNop()), Store: store, Meters: meters, Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatalf("new: %v", err)
	}
	if err := process.Start(ctx); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() {
		cancel()
		process.Close()
	})
	for deadline := time.Now().Add(30 * time.Second); !process.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is not ready in 30 s", name)
		}
	}
	return address
}

// storeChain stores turns that continue each other and returns the last one.
func storeChain(t *testing.T, client wire.Keeper, program string, turns, inputBytes int) (last string) {
	t.Helper()
	for index := range turns {
		id := fmt.Sprintf("%s-%d", program, index)
		_, err := client.Finish(t.Context(), &wire.FinishTurnRequest{Turn: &wire.Turn{
			Id: id, Workspace: "w", Previous: last, Placement: "w/" + program, Input: make([]byte, inputBytes), Output: []byte("out"),
			ExpiresUnixMilliseconds: time.Now().Add(time.Minute).UnixMilli(),
		}})
		if err != nil {
			t.Fatalf("finish: %v", err)
		}
		last = id
	}
	return last
}

// callWithoutReading sends a call and does not read the reply. The connection is closed at the
// end of the test.
func callWithoutReading(t *testing.T, address, method string, message proto.Message) {
	t.Helper()
	body, err := proto.Marshal(message)
	if err != nil {
		t.Fatalf("marshal: %v", err)
	}
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if err := connection.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatalf("read buffer: %v", err)
	}
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: keeper\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", wire.KeeperPathPrefix, method, len(body))
	if _, err := io.WriteString(connection, head+string(body)); err != nil {
		t.Fatalf("write: %v", err)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestSlowReadersOfHistoriesUseBoundedMemory guards against keepers that the kernel ends for
// their memory, because each history that a hall has not read yet is in memory, uncounted.
func TestSlowReadersOfHistoriesUseBoundedMemory(t *testing.T) {
	const limit, readers, turns, inputBytes = 50_000_000, 40, 20, 200_000
	const heapLimit = limit / 4 * 3 // What a process leaves to its heap.
	address, _ := startKeeper(t, limit)
	client := wire.NewKeeperProtobufClient("http://"+address, http.DefaultClient)
	defer http.DefaultClient.CloseIdleConnections()
	last := storeChain(t, client, "p", turns, inputBytes)
	before := heapInUse()
	for range readers {
		callWithoutReading(t, address, "Find", &wire.FindTurnRequest{Turn: last, Workspace: "w"})
	}
	highest := int64(0)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		highest = max(highest, heapInUse()-before)
	}
	if highest > heapLimit {
		t.Errorf("memory for %d histories of %d bytes: got %d bytes, want at most %d", readers, turns*inputBytes, highest, heapLimit)
	}
	t.Logf("%d bytes at most", highest)
	_, err := client.Finish(t.Context(), &wire.FinishTurnRequest{Turn: &wire.Turn{
		Id: "later", Workspace: "w", Placement: "w/q", Input: []byte("in"), ExpiresUnixMilliseconds: time.Now().Add(time.Minute).UnixMilli(),
	}})
	if err != nil {
		t.Errorf("turn that ended meanwhile: got %v, want it stored", err)
	}
}

// TestHistoryIsWhole guards against replies whose history differs from what was stored, with
// and without the reservation of a turn.
func TestHistoryIsWhole(t *testing.T) {
	address, store := startKeeper(t, 0)
	client := wire.NewKeeperProtobufClient("http://"+address, http.DefaultClient)
	defer http.DefaultClient.CloseIdleConnections()
	last := storeChain(t, client, "p", 5, 3000)
	found, err := client.Find(t.Context(), &wire.FindTurnRequest{Turn: last, Workspace: "w"})
	if err != nil {
		t.Fatalf("find: %v", err)
	}
	begun := begin(t, client, &wire.BeginTurnRequest{
		Reservation: &wire.Reservation{Program: "w/p", Turn: "next", Tokens: 1, ExpiresUnixMilliseconds: time.Now().Add(time.Minute).UnixMilli()},
		Budget:      10, Workspace: "w", Previous: last, WantHistory: true, Keepers: keeperList(t, store),
	})
	if got, want := begun.GetVerdict(), wire.BeginVerdict_BEGIN_VERDICT_ADMITTED; got != want {
		t.Errorf("begin: got %s, want %s", got, want)
	}
	for name, reply := range map[string]*wire.FindTurnReply{"find": found, "begin": begun.GetHistory()} {
		if got, want := reply.GetVerdict(), wire.FindVerdict_FIND_VERDICT_FOUND; got != want || reply.GetPlacement() != "w/p" {
			t.Errorf("%s: got %s at %q, want %s at w/p", name, got, reply.GetPlacement(), want)
		}
		if got, want := len(reply.GetParts()), 10; got != want {
			t.Fatalf("%s: got %d parts, want %d", name, got, want)
		}
		for index, part := range reply.GetParts() {
			want := "out"
			if index%2 == 0 {
				want = string(make([]byte, 3000))
			}
			if string(part) != want {
				t.Errorf("%s: part %d: got %d bytes, want %d", name, index, len(part), len(want))
			}
		}
	}
	absent, err := client.Find(t.Context(), &wire.FindTurnRequest{Turn: "unknown", Workspace: "w"})
	if got, want := absent.GetVerdict(), wire.FindVerdict_FIND_VERDICT_ABSENT; err != nil || got != want {
		t.Errorf("unknown turn: got %s and error %v, want %s", got, err, want)
	}
}

// begin begins a turn, once the keeper has copied the list.
func begin(t *testing.T, client wire.Keeper, request *wire.BeginTurnRequest) *wire.BeginTurnReply {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		reply, err := client.Begin(t.Context(), request)
		if err != nil {
			t.Fatalf("begin: %v", err)
		}
		if reply.GetVerdict() != wire.BeginVerdict_BEGIN_VERDICT_NOT_READY || time.Now().After(deadline) {
			return reply
		}
	}
}

// keeperList returns the list of keepers at the store.
func keeperList(t *testing.T, store *memory.Store) *wire.KeeperList {
	t.Helper()
	membership := replication.NewMembership(store, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = membership.Follow(ctx) }()
	for deadline := time.Now().Add(10 * time.Second); len(membership.List().All()) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no keeper is listed in 10 s")
		}
	}
	return membership.List().ToWire(true)
}

// TestCopiesLeaveMemoryToFinishedTurns guards against copies that other keepers will repeat, and
// that take the memory of turns that can't be repeated.
func TestCopiesLeaveMemoryToFinishedTurns(t *testing.T) {
	address, store := startKeeper(t, 10_000_000)
	client := wire.NewKeeperProtobufClient("http://"+address, http.DefaultClient)
	defer http.DefaultClient.CloseIdleConnections()
	last := storeChain(t, client, "p", 20, 400_000)
	request := &wire.CopyRequest{Keeper: "other", Keepers: keeperList(t, store)}
	for group := range uint32(replication.GroupCount) {
		request.Groups = append(request.Groups, group)
	}
	if reply, err := client.Copy(t.Context(), request); err != nil || len(reply.GetTurns()) == 0 {
		t.Errorf("copy while memory is free: got %d turns and error %v, want some", len(reply.GetTurns()), err)
	}
	for range 10 {
		callWithoutReading(t, address, "Find", &wire.FindTurnRequest{Turn: last, Workspace: "w"})
	}
	time.Sleep(500 * time.Millisecond)
	var refused twirp.Error
	if _, err := client.Copy(t.Context(), request); !errors.As(err, &refused) || refused.Code() != twirp.Unavailable {
		t.Errorf("copy while histories use the memory: got error %v, want %s", err, twirp.Unavailable)
	}
	storeChain(t, client, "q", 3, 20_000)
}

// TestSmallKeeperCopiesLargeRecords guards against a keeper that never becomes ready, because a
// record that it has to copy, or to send, is larger than its memory for pages.
func TestSmallKeeperCopiesLargeRecords(t *testing.T) {
	const small = 10_000_000
	address, store := startKeeper(t, 0)
	client := wire.NewKeeperProtobufClient("http://"+address, http.DefaultClient)
	defer http.DefaultClient.CloseIdleConnections()
	lasts := []string{storeChain(t, client, "large", 2, 3_000_000), storeChain(t, client, "small", 200, 5000)}
	for _, name := range []string{"keeper-2", "keeper-3"} {
		copied := wire.NewKeeperProtobufClient("http://"+startKeeperAt(t, store, name, small), http.DefaultClient)
		for index, want := range []int{4, 400} {
			reply, err := copied.Find(t.Context(), &wire.FindTurnRequest{Turn: lasts[index], Workspace: "w"})
			if err == nil && len(reply.GetParts()) == want {
				continue
			}
			// A history of turns beyond the memory for calls is refused.
			var refused twirp.Error
			if want != 4 || !errors.As(err, &refused) || refused.Code() != twirp.Unavailable {
				t.Errorf("%s, %s: got %d parts and error %v, want %d parts", name, lasts[index], len(reply.GetParts()), err, want)
			}
		}
	}
}
