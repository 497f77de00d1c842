// Package load drives a deployment with a mixed load of programs and measures
// what callers see.
//
// # Usage
//
//	run := load.New(scenario.Shapes(), scenario.Events(), length, seed, deployment, keys)
//	report := run.Do(ctx)
//	report.Print(os.Stdout)
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

	"limpethall.dev/kernel/duty"
	"limpethall.dev/kernel/network"
	"limpethall.dev/standin/caller"
	"limpethall.dev/standin/deployment"
)

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// programTimeout bounds one program.
	programTimeout = 2 * time.Minute
)

// Shape describes the programs of one workspace.
type Shape struct {
	Workspace string
	// Callers is how many programs run at once.
	Callers int
	// Turns is how many model turns a program has, at least and at most.
	MinTurns, MaxTurns int
	// Answer is how many tokens an answer has, at least and at most.
	MinAnswer, MaxAnswer int
	// Prompt is how many bytes a question has.
	Prompt int
	// Think is the greatest pause between two turns.
	Think time.Duration
	// ToolEvery is after how many turns a tool is called, zero for never.
	ToolEvery int
	// ChildEvery is in how many programs there is a sub-agent, zero for never.
	ChildEvery int
	// Stream switches streaming on.
	Stream bool
	// InsideRate says that the workspace stays inside its row, so that every
	// refusal for its rate is wrongful.
	InsideRate bool
}

// Run is one load run.
type Run struct {
	shapes     []Shape
	length     time.Duration
	seed       uint64
	deployment *deployment.Deployment
	keys       map[string]string

	mutex   sync.Mutex
	results map[string]*result
	orders  atomic.Int64
	placed  sync.Map // Bodies of tool calls that were told to have run.
	next    atomic.Uint64
	events  []Event

	finished []time.Time
}

// Event happens once, after a part of the run's length from 0 to 1.
type Event struct {
	At   float64
	Name string
	Do   func(ctx context.Context, d *deployment.Deployment) error
}

type result struct {
	programs int64
	failed   int64
	turns    int64
	tools    int64
	retries  int64
	latency  *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	slowdown *hdrhistogram.Histogram // In thousandths.
	refusals map[string]int64
	errors   []string
}

// New returns a run over the given length; keys has one for each workspace.
func New(shapes []Shape, events []Event, length time.Duration, seed uint64, d *deployment.Deployment, keys map[string]string) *Run {
	run := &Run{shapes: shapes, events: events, length: length, seed: seed, deployment: d, keys: keys, results: make(map[string]*result)}
	for _, shape := range shapes {
		run.results[shape.Workspace] = &result{
			latency:  hdrhistogram.New(1, histogramMax, histogramDigits),
			first:    hdrhistogram.New(1, histogramMax, histogramDigits),
			slowdown: hdrhistogram.New(1, histogramMax, histogramDigits),
			refusals: make(map[string]int64),
		}
	}
	return run
}

// Do starts programs for the run's length, lets all of them end, and returns
// the report.
func (r *Run) Do(ctx context.Context) *Report {
	began := time.Now()
	calls := r.deployment.Store().Memory().Calls()
	deadline := began.Add(r.length)
	var wait sync.WaitGroup
	number := uint64(0)
	for _, event := range r.events {
		wait.Go(func() {
			duty.Pause(ctx, time.Duration(event.At*float64(r.length)))
			if err := event.Do(ctx, r.deployment); err != nil {
				r.failEvent(event.Name, err)
			}
		})
	}
	for _, shape := range r.shapes {
		for range shape.Callers {
			number++
			random := rand.New(rand.NewPCG(r.seed, number))
			wait.Go(func() { r.call(ctx, shape, random, deadline) })
		}
	}
	wait.Wait()
	elapsed := time.Since(began)
	return newReport(r, began, elapsed, r.deployment.Store().Memory().Calls()-calls)
}

func (r *Run) failEvent(name string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own := r.results[r.shapes[0].Workspace]
	own.failed++
	own.errors = append(own.errors, name+": "+err.Error())
}

// pick returns the ready halls in turn, as a balancer would.
func (r *Run) pick() string {
	addresses := r.deployment.ReadyAddresses()
	return addresses[r.next.Add(1)%uint64(len(addresses))]
}

func (r *Run) call(ctx context.Context, shape Shape, random *rand.Rand, deadline time.Time) {
	client := caller.New(network.TCP{}, r.pick, r.keys[shape.Workspace])
	for ctx.Err() == nil && time.Now().Before(deadline) {
		bounded, cancel := context.WithTimeout(ctx, programTimeout)
		began := time.Now()
		program := &course{run: r, shape: shape, client: client, random: random}
		err := program.execute(bounded)
		r.note(shape.Workspace, program, time.Since(began), err)
		cancel()
	}
}

func (r *Run) note(workspace string, program *course, latency time.Duration, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	own := r.results[workspace]
	own.turns += program.turns
	own.tools += program.tools
	own.retries += program.retries
	for _, first := range program.first {
		_ = own.first.RecordValue(first.Microseconds())
	}
	for code, count := range program.refusals {
		own.refusals[code] += count
	}
	own.programs++
	if err != nil {
		own.failed++
		own.errors = append(own.errors, err.Error())
		var answered *caller.Error
		if errors.As(err, &answered) {
			own.refusals[answered.Code]++
		}
		return
	}
	_ = own.latency.RecordValue(latency.Microseconds())
	_ = own.slowdown.RecordValue(int64(1000 * float64(latency) / float64(program.alone)))
	r.finished = append(r.finished, time.Now())
}

// course is one program on its way.
type course struct {
	run     *Run
	shape   Shape
	client  *caller.Client
	random  *rand.Rand
	turns   int64
	tools   int64
	retries int64
	first   []time.Duration
	// alone is how long the program would take with everything to itself.
	alone    time.Duration
	refusals map[string]int64
}

func (c *course) execute(ctx context.Context) error {
	program, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer func() {
		c.retries += int64(program.Retries())
		c.refusals = program.Refusals()
	}()
	total := between(c.random, c.shape.MinTurns, c.shape.MaxTurns)
	for turn := 1; turn <= total; turn++ {
		if err := c.turn(ctx, program); err != nil {
			return err
		}
		if c.shape.ToolEvery > 0 && turn%c.shape.ToolEvery == 0 {
			if err := c.tool(ctx, program); err != nil {
				return err
			}
		}
		if turn == 1 && c.shape.ChildEvery > 0 && c.random.IntN(c.shape.ChildEvery) == 0 {
			if err := c.child(ctx, program); err != nil {
				return err
			}
		}
		if c.shape.Think > 0 {
			think := time.Duration(c.random.Int64N(int64(c.shape.Think)))
			c.alone += think
			duty.Pause(ctx, think)
		}
	}
	return program.End(ctx)
}

func (c *course) open(ctx context.Context) (*caller.Program, error) {
	for {
		program, err := c.client.Open(ctx, 0)
		var answered *caller.Error
		if err == nil || !errors.As(err, &answered) || answered.Status < 500 || ctx.Err() != nil {
			return program, err
		}
		duty.Pause(ctx, answered.Hint())
	}
}

func (c *course) turn(ctx context.Context, program *caller.Program) error {
	answer := between(c.random, c.shape.MinAnswer, c.shape.MaxAnswer)
	question := fmt.Sprintf("q%d answer=%d %s", c.random.Uint64(), answer, filler(c.shape.Prompt))
	got, err := program.Turn(ctx, c.run.deployment.Model(), question, c.shape.Stream)
	if err != nil {
		return err
	}
	c.turns++
	c.alone += c.run.deployment.TimeAlone(len(question), answer)
	if got.First() > 0 {
		c.first = append(c.first, got.First())
	}
	return nil
}

// tool places an order that must run exactly once.
func (c *course) tool(ctx context.Context, program *caller.Program) error {
	body := fmt.Sprintf(`{"order":%d}`, c.run.orders.Add(1))
	if _, err := program.Tool(ctx, deployment.ServiceName, "/book", []byte(body)); err != nil {
		return err
	}
	c.tools++
	c.run.placed.Store(body, true)
	return nil
}

func (c *course) child(ctx context.Context, parent *caller.Program) error {
	child, err := parent.Child(ctx, 2000)
	if err != nil {
		return err
	}
	if err := c.turn(ctx, child); err != nil {
		return err
	}
	return child.End(ctx)
}

func between(random *rand.Rand, least, most int) int {
	return least + random.IntN(most-least+1)
}

func filler(length int) string {
	text := make([]byte, length)
	for index := range text {
		text[index] = 'x'
	}
	return string(text)
}
