package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. Durations are in milliseconds unless the name
// says otherwise. Slowdowns are ratios to the time without other load.
type Report struct {
	Seconds    float64           `json:"seconds"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	Cache      CacheReport       `json:"cache"`
	// WorstSlowdown is the highest median slowdown of any workspace, relative to the
	// computed time of the same programs on idle engines.
	WorstSlowdown float64 `json:"worstSlowdown"`
	// WrongfulRefusals counts the refusals with code rateLimited in workspaces whose
	// load stays within their rate.
	WrongfulRefusals int64 `json:"wrongfulRefusals"`
	// FinishedPerSecond is the rate of successfully finished programs in each
	// third of the run. Programs that finish after the configured length of the run
	// are not counted.
	FinishedPerSecond [3]float64 `json:"finishedPerSecondInThirds"`
	// Median and Latency95 are the latencies of the successful programs of all
	// workspaces.
	Median     float64    `json:"medianMilliseconds"`
	Latency95  float64    `json:"latency95Milliseconds"`
	Violations Violations `json:"violations"`
	StoreCalls float64    `json:"storeCallsPerSecond"`
	Errors     []string   `json:"errors,omitempty"`
}

// WorkspaceReport is the result of one workspace. Refusals counts retries and
// final errors by error code.
type WorkspaceReport struct {
	Workspace        string           `json:"workspace"`
	Programs         int64            `json:"programs"`
	Failed           int64            `json:"failed"`
	Turns            int64            `json:"turns"`
	Tools            int64            `json:"tools"`
	Retries          int64            `json:"retries"`
	Median           float64          `json:"medianMilliseconds"`
	Latency95        float64          `json:"latency95Milliseconds"`
	Latency99        float64          `json:"latency99Milliseconds"`
	FirstTokenMedian float64          `json:"firstTokenMedianMilliseconds"`
	FirstToken95     float64          `json:"firstToken95Milliseconds"`
	MedianSlowdown   float64          `json:"medianSlowdown"`
	Slowdown95       float64          `json:"slowdown95"`
	Refusals         map[string]int64 `json:"refusals,omitempty"`
}

// CacheReport counts the prompt tokens of all engines: in total, found in a
// prefix cache, and computed although an engine had cached them before.
type CacheReport struct {
	Prompt int64 `json:"promptTokens"`
	Cached int64 `json:"cachedTokens"`
	Wasted int64 `json:"wastedTokens"`
}

// WastedShare returns the fraction of the prompt tokens that were wasted.
func (c CacheReport) WastedShare() float64 {
	if c.Prompt == 0 {
		return 0
	}
	return float64(c.Wasted) / float64(c.Prompt)
}

// Violations counts violations of the system's invariants; all must be zero.
// NeverRan counts tool calls that were reported as run but never ran, OverColdBound
// requests beyond the limit of a cold engine, MixedHistory answers for another
// history.
type Violations struct {
	RanTwice      int64 `json:"ranTwice"`
	NeverRan      int64 `json:"toldRunButNeverRan"`
	OverColdBound int64 `json:"overColdBound"`
	MixedHistory  int64 `json:"mixedHistory"`
}

// Any reports whether there was any violation.
func (v Violations) Any() bool { return v != Violations{} }

func newReport(r *Run, began time.Time, elapsed time.Duration, storeCalls int64) *Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := &Report{Seconds: elapsed.Seconds(), StoreCalls: float64(storeCalls) / elapsed.Seconds()}
	all := hdrhistogram.New(1, histogramMaxMicroseconds, histogramSignificantDigits)
	for _, finishTime := range r.finishTimes {
		if third := int(3 * finishTime.Sub(began) / r.length); third < 3 {
			report.FinishedPerSecond[third] += 3 / r.length.Seconds()
		}
	}
	for _, workload := range r.workloads {
		result := r.results[workload.Workspace]
		all.Merge(result.latency)
		slowdown := float64(result.slowdown.ValueAtQuantile(50)) / 1000
		report.WorstSlowdown = max(report.WorstSlowdown, slowdown)
		if workload.InsideRate {
			report.WrongfulRefusals += result.refusals["rateLimited"]
		}
		report.Workspaces = append(report.Workspaces, WorkspaceReport{
			Workspace: workload.Workspace, Programs: result.programs, Failed: result.failed, Turns: result.turns, Tools: result.toolCalls, Retries: result.retries,
			Median: toMilliseconds(result.latency.ValueAtQuantile(50)), Latency95: toMilliseconds(result.latency.ValueAtQuantile(95)),
			Latency99: toMilliseconds(result.latency.ValueAtQuantile(99)), FirstTokenMedian: toMilliseconds(result.firstToken.ValueAtQuantile(50)),
			FirstToken95: toMilliseconds(result.firstToken.ValueAtQuantile(95)), Refusals: result.refusals,
			MedianSlowdown: slowdown, Slowdown95: float64(result.slowdown.ValueAtQuantile(95)) / 1000,
		})
		report.Errors = append(report.Errors, result.errors...)
	}
	report.Median = toMilliseconds(all.ValueAtQuantile(50))
	report.Latency95 = toMilliseconds(all.ValueAtQuantile(95))
	for _, engine := range r.deployment.Engines() {
		stats := engine.Stats()
		report.Cache.Prompt += stats.PromptTokens
		report.Cache.Cached += stats.CachedTokens
		report.Cache.Wasted += stats.WastedTokens
		report.Violations.OverColdBound += stats.OverColdBound
	}
	r.checkOrders(report)
	for _, text := range report.Errors {
		// The text is that of caller.HistoryMismatchError.
		if strings.Contains(text, "answer is for history") {
			report.Violations.MixedHistory++
		}
	}
	return report
}

// checkOrders counts the tool calls, identified by their bodies, that ran more than
// once, and those that were answered with success but did not run.
func (r *Run) checkOrders(report *Report) {
	runsByBody := make(map[string]int)
	for _, service := range r.deployment.Services() {
		for body, count := range service.RunCounts() {
			runsByBody[body] += count
		}
	}
	for _, count := range runsByBody {
		if count > 1 {
			report.Violations.RanTwice++
		}
	}
	r.confirmedOrders.Range(func(body, _ any) bool {
		if runsByBody[body.(string)] == 0 {
			report.Violations.NeverRan++
		}
		return true
	})
}

// Succeeded reports whether the run passed: every workspace ran programs, all programs
// succeeded, and no invariant was violated.
func (r *Report) Succeeded() bool {
	for _, workspace := range r.Workspaces {
		if workspace.Failed > 0 || workspace.Programs == 0 {
			return false
		}
	}
	return !r.Violations.Any()
}

// Programs returns the total number of programs.
func (r *Report) Programs() int64 {
	total := int64(0)
	for _, workspace := range r.Workspaces {
		total += workspace.Programs
	}
	return total
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Print writes the report as a text table.
func (r *Report) Print(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "workspace\tprograms\tfailed\tturns\ttools\tretries\tmedian ms\tp95 ms\tp99 ms\tfirst token ms\tp95 ms\tslowdown\tp95\terrors by code\t")
	for _, workspace := range r.Workspaces {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%s\t\n", workspace.Workspace, workspace.Programs, workspace.Failed, workspace.Turns, workspace.Tools, workspace.Retries,
			workspace.Median, workspace.Latency95, workspace.Latency99, workspace.FirstTokenMedian, workspace.FirstToken95, workspace.MedianSlowdown, workspace.Slowdown95, formatRefusals(workspace.Refusals))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(output, "all programs: median %.1f ms, p95 %.1f ms; worst-served workspace is %.2f times slower than alone; wrongful refusals %d; programs finished per second in each third of the run %.1f, %.1f, %.1f\n",
		r.Median, r.Latency95, r.WorstSlowdown, r.WrongfulRefusals, r.FinishedPerSecond[0], r.FinishedPerSecond[1], r.FinishedPerSecond[2])
	_, err := fmt.Fprintf(output, "prompt tokens recomputed although cached: %.2f%% of %d; store calls %.1f per second; violations: ran twice %d, reported as run but never ran %d, requests over the limit of a cold engine %d, answers for another history %d\n",
		100*r.Cache.WastedShare(), r.Cache.Prompt, r.StoreCalls, r.Violations.RanTwice, r.Violations.NeverRan, r.Violations.OverColdBound, r.Violations.MixedHistory)
	return err
}

func formatRefusals(refusals map[string]int64) string {
	if len(refusals) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, refusals[code]))
	}
	return strings.Join(parts, ", ")
}

func toMilliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
