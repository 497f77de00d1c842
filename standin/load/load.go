// Package load runs a mixed load of programs against a deployment and measures
// latencies and errors as callers see them.
//
// # Usage
//
//	run := load.New(scenario.Workloads(), scenario.Events(), length, seed, deployment, keys)
//	report := run.Run(ctx)
//	err := report.Print(os.Stdout)
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/task"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
)

const (
	histogramMaxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
	// programTimeout limits one program, from opening to ending it.
	programTimeout = 2 * time.Minute
)

// Workload describes the load of one workspace.
type Workload struct {
	Workspace string
	// Callers is the number of concurrent programs.
	Callers int
	// MinTurns and MaxTurns limit the number of model turns of a program.
	MinTurns, MaxTurns int
	// MinAnswer and MaxAnswer limit the length of an answer in tokens.
	MinAnswer, MaxAnswer int
	// Prompt is the length of the padding of each user message in bytes.
	Prompt int
	// Think is the upper limit of the pause after a turn.
	Think time.Duration
	// ToolEvery calls a tool after every so many turns, zero for never.
	ToolEvery int
	// ChildEvery opens a sub-agent in one out of so many programs on average,
	// zero for never.
	ChildEvery int
	// Stream requests streamed answers.
	Stream bool
	// InsideRate states that the load stays within the rate in the workspace's
	// row, so that every rateLimited refusal counts as wrongful.
	InsideRate bool
}

// Run is one load run.
type Run struct {
	workloads  []Workload
	length     time.Duration
	seed       uint64
	deployment *deployment.Deployment
	keys       map[string]string

	mutex   sync.Mutex
	results map[string]*workspaceResult

	lastOrder       atomic.Int64
	confirmedOrders sync.Map // Bodies of the tool calls that were answered with success.

	pickedHalls atomic.Uint64

	events      []Event
	finishTimes []time.Time // Of successful programs.
}

// Event is an action during a run, such as a failure. It is taken once, after
// the fraction At (0 to 1) of the run's length.
type Event struct {
	At   float64
	Name string
	Do   func(ctx context.Context, d *deployment.Deployment) error
}

// workspaceResult holds durations in microseconds.
type workspaceResult struct {
	programs   int64
	failed     int64
	turns      int64
	toolCalls  int64
	retries    int64
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	slowdown   *hdrhistogram.Histogram // In thousandths.
	refusals   map[string]int64        // By error code.
	errors     []string
}

// New returns a run of the given length; keys maps each workspace to an access
// key.
func New(workloads []Workload, events []Event, length time.Duration, seed uint64, d *deployment.Deployment, keys map[string]string) *Run {
	run := &Run{workloads: workloads, events: events, length: length, seed: seed, deployment: d, keys: keys, results: make(map[string]*workspaceResult)}
	for _, workload := range workloads {
		run.results[workload.Workspace] = &workspaceResult{
			latency:    hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
			firstToken: hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
			slowdown:   hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits),
			refusals:   make(map[string]int64),
		}
	}
	return run
}

// Run starts programs for the length of the run, waits until all of them have
// ended, and returns the report.
func (r *Run) Run(ctx context.Context) *Report {
	began := time.Now()
	storeCallsBefore := r.deployment.Store().Memory().Calls()
	deadline := began.Add(r.length)
	var wait sync.WaitGroup
	callerNumber := uint64(0)
	for _, event := range r.events {
		wait.Go(func() {
			task.Sleep(ctx, time.Duration(event.At*float64(r.length)))
			if err := event.Do(ctx, r.deployment); err != nil {
				r.recordEventError(event.Name, err)
			}
		})
	}
	for _, workload := range r.workloads {
		for range workload.Callers {
			callerNumber++
			random := rand.New(rand.NewPCG(r.seed, callerNumber))
			wait.Go(func() { r.runCaller(ctx, workload, random, deadline) })
		}
	}
	wait.Wait()
	elapsed := time.Since(began)
	return newReport(r, began, elapsed, r.deployment.Store().Memory().Calls()-storeCallsBefore)
}

// recordEventError counts a failed event as a failed program of the first
// workspace.
func (r *Run) recordEventError(name string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.results[r.workloads[0].Workspace]
	result.failed++
	result.errors = append(result.errors, name+": "+err.Error())
}

// pickHall returns the addresses of the ready halls in round-robin order, as a
// load balancer would.
func (r *Run) pickHall() string {
	addresses := r.deployment.ReadyAddresses()
	return addresses[r.pickedHalls.Add(1)%uint64(len(addresses))]
}

// runCaller starts programs one after the other until the deadline.
func (r *Run) runCaller(ctx context.Context, workload Workload, random *rand.Rand, deadline time.Time) {
	client := caller.New(network.TCP{}, r.pickHall, r.keys[workload.Workspace])
	for ctx.Err() == nil && time.Now().Before(deadline) {
		programCtx, cancel := context.WithTimeout(ctx, programTimeout)
		began := time.Now()
		program := &programRun{run: r, workload: workload, client: client, random: random}
		err := program.execute(programCtx)
		r.record(workload.Workspace, program, time.Since(began), err)
		cancel()
	}
}

func (r *Run) record(workspace string, program *programRun, latency time.Duration, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result := r.results[workspace]
	result.turns += program.turns
	result.toolCalls += program.toolCalls
	result.retries += program.retries
	for _, firstToken := range program.firstTokens {
		_ = result.firstToken.RecordValue(firstToken.Microseconds())
	}
	for code, count := range program.refusals {
		result.refusals[code] += count
	}
	result.programs++
	if err != nil {
		result.failed++
		result.errors = append(result.errors, err.Error())
		var answerError *caller.Error
		if errors.As(err, &answerError) {
			result.refusals[answerError.Code]++
		}
		return
	}
	_ = result.latency.RecordValue(latency.Microseconds())
	_ = result.slowdown.RecordValue(int64(1000 * float64(latency) / float64(program.unloadedTime)))
	r.finishTimes = append(r.finishTimes, time.Now())
}

// programRun runs one program and counts what it does.
type programRun struct {
	run         *Run
	workload    Workload
	client      *caller.Client
	random      *rand.Rand
	turns       int64
	toolCalls   int64
	retries     int64
	firstTokens []time.Duration // Time to first token of each streamed turn.
	// unloadedTime is how long the program would take without other load.
	unloadedTime time.Duration
	refusals     map[string]int64
}

func (p *programRun) execute(ctx context.Context) error {
	program, err := p.open(ctx)
	if err != nil {
		return err
	}
	defer func() {
		p.retries += int64(program.Retries())
		p.refusals = program.Refusals()
	}()
	turns := randomBetween(p.random, p.workload.MinTurns, p.workload.MaxTurns)
	for turn := 1; turn <= turns; turn++ {
		if err := p.turn(ctx, program); err != nil {
			return err
		}
		if p.workload.ToolEvery > 0 && turn%p.workload.ToolEvery == 0 {
			if err := p.callTool(ctx, program); err != nil {
				return err
			}
		}
		if turn == 1 && p.workload.ChildEvery > 0 && p.random.IntN(p.workload.ChildEvery) == 0 {
			if err := p.runChild(ctx, program); err != nil {
				return err
			}
		}
		if p.workload.Think > 0 {
			pause := time.Duration(p.random.Int64N(int64(p.workload.Think)))
			p.unloadedTime += pause
			task.Sleep(ctx, pause)
		}
	}
	return program.End(ctx)
}

// open retries while the system answers with a server error.
func (p *programRun) open(ctx context.Context) (*caller.Program, error) {
	for {
		program, err := p.client.Open(ctx, 0)
		var answerError *caller.Error
		if err == nil || !errors.As(err, &answerError) || answerError.Status < 500 || ctx.Err() != nil {
			return program, err
		}
		task.Sleep(ctx, answerError.RetryDelay())
	}
}

func (p *programRun) turn(ctx context.Context, program *caller.Program) error {
	answerTokens := randomBetween(p.random, p.workload.MinAnswer, p.workload.MaxAnswer)
	question := fmt.Sprintf("q%d answer=%d %s", p.random.Uint64(), answerTokens, padding(p.workload.Prompt))
	turn, err := program.Turn(ctx, p.run.deployment.Model(), question, p.workload.Stream)
	if err != nil {
		return err
	}
	p.turns++
	p.unloadedTime += p.run.deployment.TimeAlone(len(question), answerTokens)
	if turn.TimeToFirstToken() > 0 {
		p.firstTokens = append(p.firstTokens, turn.TimeToFirstToken())
	}
	return nil
}

// callTool places an order, which must run exactly once.
func (p *programRun) callTool(ctx context.Context, program *caller.Program) error {
	body := fmt.Sprintf(`{"order":%d}`, p.run.lastOrder.Add(1))
	if _, err := program.Tool(ctx, deployment.ServiceName, "/book", []byte(body)); err != nil {
		return err
	}
	p.toolCalls++
	p.run.confirmedOrders.Store(body, true)
	return nil
}

// runChild opens a sub-agent, runs one turn of it and ends it.
func (p *programRun) runChild(ctx context.Context, parent *caller.Program) error {
	child, err := parent.Child(ctx, 2000)
	if err != nil {
		return err
	}
	if err := p.turn(ctx, child); err != nil {
		return err
	}
	return child.End(ctx)
}

// randomBetween returns a random number from lowest to highest, both included.
func randomBetween(random *rand.Rand, lowest, highest int) int {
	return lowest + random.IntN(highest-lowest+1)
}

func padding(length int) string {
	text := make([]byte, length)
	for index := range text {
		text[index] = 'x'
	}
	return string(text)
}
