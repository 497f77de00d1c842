package deployment_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	kernelnetwork "limpethall.dev/kernel/network"
	"limpethall.dev/kernel/table"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
	"limpethall.dev/standin/simnet"
)

// idleConnectionWait is longer than any server keeps an idle connection open.
const idleConnectionWait = 2 * time.Minute

// testEnv is a deployment on an in-memory network with a fake clock.
type testEnv struct {
	t       *testing.T
	ctx     context.Context
	network *simnet.Network
	*deployment.Deployment
	keys         map[string]string
	addressIndex int
	clients      []*caller.Client
	logOutput    syncBuffer // Log output, if the test sets Options.Log.Level to "".
	mutex        sync.Mutex
	retries      atomic.Int64
}

// syncBuffer is a buffer for concurrent writers.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// runInTestEnv runs a test in a new testEnv. If configure isn't nil, it changes
// the options of the deployment.
func runInTestEnv(t *testing.T, configure func(options *deployment.Options), test func(env *testEnv)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		env := newTestEnv(ctx, t, configure)
		defer env.close()
		test(env)
	})
}

// runNamedInTestEnv runs runInTestEnv as a subtest.
func runNamedInTestEnv(t *testing.T, name string, configure func(options *deployment.Options), test func(env *testEnv)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { runInTestEnv(t, configure, test) })
}

func newTestEnv(ctx context.Context, t *testing.T, configure func(options *deployment.Options)) *testEnv {
	t.Helper()
	env := &testEnv{t: t, ctx: ctx, network: simnet.New(time.Millisecond), keys: make(map[string]string)}
	options := deployment.DefaultOptions()
	options.Network = func(host string) kernelnetwork.Network { return env.network.Host(host) }
	options.Rows = []table.Row{
		table.NewRow("kovacs", 1, 1000, 1000, 20_000, nil),
		table.NewRow("falares", 1, 1000, 1000, 20_000, nil),
	}
	options.Log.Level = "fatal"
	if os.Getenv("LIMPETHALL_TEST_LOG") != "" {
		options.Log.Level = "debug"
	}
	options.ProgramIdle = time.Minute
	options.PinTTL = 30 * time.Second
	if configure != nil {
		configure(&options)
	}
	output := io.Writer(os.Stderr)
	if options.Log.Level == "" {
		options.Log.Level = "debug"
		output = &env.logOutput
	}
	d, err := deployment.New(options, output)
	if err != nil {
		t.Fatal(err)
	}
	env.Deployment = d
	if err := d.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for _, row := range options.Rows {
		if env.keys[row.Workspace()], err = d.CreateKey(ctx, row.Workspace()); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.WaitRevision(ctx); err != nil {
		t.Fatal(err)
	}
	return env
}

func (env *testEnv) close() {
	env.t.Helper()
	env.Store().Memory().SetFaults(noStoreFaults)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	if err := env.Stop(ctx); err != nil {
		env.t.Errorf("stop: got error %v, want none", err)
	}
	for _, client := range env.clients {
		client.Close()
	}
	// The goroutines of idle connections must end before the synctest bubble does.
	time.Sleep(idleConnectionWait)
}

// client returns a client of a workspace that uses the running halls in
// round-robin order.
func (env *testEnv) client(workspace string) *caller.Client {
	return env.clientWithPicker(workspace, func() string { return env.nextAddress(env.Addresses()) })
}

// readyClient returns a client that skips halls whose readiness probe fails, as
// a load balancer does.
func (env *testEnv) readyClient(workspace string) *caller.Client {
	return env.clientWithPicker(workspace, func() string { return env.nextAddress(env.ReadyAddresses()) })
}

func (env *testEnv) nextAddress(addresses []string) string {
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.addressIndex++
	return addresses[env.addressIndex%len(addresses)]
}

func (env *testEnv) clientWithPicker(workspace string, pickAddress func() string) *caller.Client {
	client := caller.New(env.network.Host("caller"), pickAddress, env.keys[workspace])
	env.mutex.Lock()
	defer env.mutex.Unlock()
	env.clients = append(env.clients, client)
	return client
}

func (env *testEnv) openProgram(client *caller.Client, budget int64) *caller.Program {
	env.t.Helper()
	program, err := client.Open(env.ctx, budget)
	if err != nil {
		env.t.Fatalf("open: %v", err)
	}
	return program
}

func (env *testEnv) runTurn(program *caller.Program, content string, stream bool) caller.Turn {
	env.t.Helper()
	turn, err := program.Turn(env.ctx, env.Model(), content, stream)
	if err != nil {
		env.t.Errorf("turn %d of %s: %v", program.Turns()+1, program.ID(), err)
	}
	env.retries.Add(int64(program.Retries()))
	return turn
}

func (env *testEnv) runCount(body string) int {
	total := 0
	for _, server := range env.Services() {
		total += server.RunCount(body)
	}
	return total
}

func post(ctx context.Context, client *caller.Client, path string, header http.Header, body string) (http.Header, []byte, error) {
	return client.Do(ctx, http.MethodPost, path, header, []byte(body))
}

func rowWithModels(workspace string, models ...string) table.Row {
	return table.NewRow(workspace, 1, 1000, 1000, 20_000, models)
}

func containsText(text, substring string) bool { return strings.Contains(text, substring) }

// TestMain starts the date goroutine of the HTTP library, the only one that
// outlives a server, outside the fake clock of any test.
func TestMain(m *testing.M) {
	protocol.ServerDateOnce.Do(protocol.UpdateServerDate)
	os.Exit(m.Run())
}
