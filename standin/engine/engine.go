// Package engine simulates a model engine: continuous batching with a cost for
// each step, a prefix cache of limited size with pinning, delayed load reports,
// a cold start, and fault injection.
//
// The answer is a function of the conversation: its first word is a digest of
// all messages, so that a caller can tell whether the engine saw the right
// history. The last message may set the length of the answer in tokens with
// "answer=N". If the last message contains "poison", the engine crashes.
//
// # Usage
//
//	options := engine.DefaultOptions()
//	options.Network = network.TCP{}
//	options.Models = []string{"magnet"}
//	e, err := engine.New(options)
//	e.Start()
//	stats := e.Stats()
package engine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"limpethall.dev/kernel/listener"
	"limpethall.dev/kernel/network"
	"limpethall.dev/standin/simnet"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 32 << 20

// Options configure an Engine.
type Options struct {
	Network network.Network
	Address string
	Models  []string
	// StepBase is the time of one decoding step, and StepEach is added to it for
	// each request in the batch.
	StepBase time.Duration
	StepEach time.Duration
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int64
	// Seen is shared by the engines of one deployment; if nil, the engine has
	// its own.
	Seen *Seen
	// ColdLength is how long the engine stays cold, ColdBound is how many
	// concurrent requests it may then be sent, and ColdFactor is the factor by
	// which its steps are then slower.
	ColdLength time.Duration
	ColdBound  int64
	ColdFactor float64
	// LoadLength is how long loading a model takes, and Weights counts the
	// concurrent loads of all engines of a deployment.
	LoadLength time.Duration
	Weights    *Weights
	// Fencing makes the engine reject commands with a fencing token lower than
	// one that it has seen.
	Fencing bool
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	// DeathLength is how long the engine is down after a crash.
	DeathLength time.Duration
}

// DefaultOptions returns the options of an engine sized for a demonstration.
func DefaultOptions() Options {
	return Options{
		Address: "127.0.0.1:0", StepBase: 2 * time.Millisecond, StepEach: 100 * time.Microsecond, PrefillRate: 20_000,
		CacheTokens: 50_000, ColdLength: time.Second, ColdBound: 2, ColdFactor: 3,
		ReportLag: 200 * time.Millisecond, DeathLength: time.Second,
	}
}

// Stats are the counters of an engine. WastedTokens are prompt tokens that were
// computed although an engine of the deployment had cached them before,
// OverColdBound counts requests beyond Options.ColdBound, and MostRunning is the
// highest number of concurrent requests.
type Stats struct {
	PromptTokens   int64
	CachedTokens   int64
	WastedTokens   int64
	Generated      int64
	Requests       int64
	Deaths         int64
	OverColdBound  int64
	MostRunning    int64
	Canceled       int64
	PinnedPrograms int
}

// Fault is an injected fault that applies to the requests that start after it
// is set.
type Fault string

// The faults that can be injected.
const (
	FaultNone Fault = ""
	// FaultTruncate ends the stream after half of the answer.
	FaultTruncate Fault = "truncate"
	// FaultWrongRequestID labels the answer with the ID of another request.
	FaultWrongRequestID Fault = "cross"
	// FaultHang stops the stream after half of the answer and leaves the
	// connection open for an hour.
	FaultHang Fault = "hang"
	// FaultNoLimit makes the engine ignore the token limit of a request.
	FaultNoLimit Fault = "noLimit"
)

// Engine is a simulated model engine.
type Engine struct {
	options Options
	address string
	cache   *cache
	running atomic.Int64
	// runningCold counts the running requests that arrived while the engine was
	// cold.
	runningCold atomic.Int64

	mutex        sync.Mutex
	connectivity *simnet.Switch
	listener     *listener.Listener
	instanceID   string // Changes with each start.
	coldUntil    time.Time
	closed       bool
	cacheClears  int64
	fault        Fault
	stats        Stats
	reports      []loadReport // Oldest first.
	models       []string
	highestToken uint64
}

// New returns an engine that listens on its address but does not serve yet.
func New(options Options) (*Engine, error) {
	if options.Weights == nil {
		options.Weights = &Weights{}
	}
	e := &Engine{options: options, models: options.Models, address: options.Address, cache: newCache(options.CacheTokens, options.Seen)}
	return e, e.listen()
}

// Address returns the host and port that the engine listens on.
func (e *Engine) Address() string { return e.address }

// Start serves requests in the background.
func (e *Engine) Start() { e.listener.Start() }

// Close stops the engine and prevents a restart after a crash.
func (e *Engine) Close() {
	e.mutex.Lock()
	e.closed = true
	current := e.listener
	e.mutex.Unlock()
	_ = current.Close()
}

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stats := e.stats
	stats.PinnedPrograms = len(e.cache.pinned())
	return stats
}

// Pinned returns the pinned cache keys, one for each program.
func (e *Engine) Pinned() []string { return e.cache.pinned() }

// SetFault injects a fault in place of the one set before; FaultNone injects
// none.
func (e *Engine) SetFault(fault Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = fault
}

// TurnCold makes the engine cold without a restart: it clears the cache, and
// the limit on concurrent requests of a cold engine applies. Clients are not
// notified: they learn of it only from /health and, with a delay, from the
// number of cache clears in the load report.
func (e *Engine) TurnCold() {
	e.cache.clear()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cacheClears++
	e.coldUntil = time.Now().Add(e.options.ColdLength)
}

// Die simulates a crash: it closes all connections and refuses new ones. The
// engine restarts cold after Options.DeathLength.
func (e *Engine) Die() {
	e.mutex.Lock()
	e.stats.Deaths++
	connectivity := e.connectivity
	e.mutex.Unlock()
	connectivity.Disconnect()
	time.AfterFunc(e.options.DeathLength, e.restart)
}

// restart does nothing after Close.
func (e *Engine) restart() {
	e.mutex.Lock()
	closed := e.closed
	e.mutex.Unlock()
	if closed {
		return
	}
	if err := e.listen(); err == nil {
		e.Start()
	}
}

// listen opens the engine's address and resets the state that a restart loses:
// the cache and the load reports are emptied, and the engine is cold.
func (e *Engine) listen() error {
	connectivity := simnet.NewSwitch(e.options.Network)
	opened, err := listener.New(listener.Options{Network: connectivity, Address: e.address, MaxBody: maxBodyBytes})
	if err != nil {
		return err
	}
	router := opened.Router()
	router.POST("/v1/chat/completions", e.handleCompletion)
	router.GET("/v1/load", e.handleLoad)
	router.GET("/health", e.handleHealth)
	router.DELETE("/v1/cache/:key", e.handleRelease)
	router.POST("/v1/orders", e.handleCommand)
	e.cache.clear()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.connectivity = connectivity
	e.listener = opened
	e.address = opened.Address()
	e.instanceID = uuid.NewString()
	e.coldUntil = time.Now().Add(e.options.ColdLength)
	e.reports = nil
	return nil
}

func (e *Engine) isCold() bool { return e.coldRemaining() > 0 }

func (e *Engine) coldRemaining() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return max(0, time.Until(e.coldUntil))
}

// stepLength returns the duration of a decoding step with the current batch.
func (e *Engine) stepLength() time.Duration {
	length := e.options.StepBase + time.Duration(e.running.Load())*e.options.StepEach
	if e.isCold() {
		length = time.Duration(float64(length) * e.options.ColdFactor)
	}
	return length
}

func (e *Engine) updateStats(update func(stats *Stats)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	update(&e.stats)
}
