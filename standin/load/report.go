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

// Report is what a run measured. Times are in milliseconds.
type Report struct {
	Seconds    float64           `json:"seconds"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	Cache      CacheReport       `json:"cache"`
	// WorstSlowdown is the greatest median slowdown of a workspace against
	// having everything to itself.
	WorstSlowdown float64 `json:"worstSlowdown"`
	// Wrongful counts refusals for the rate inside a workspace's row.
	Wrongful int64 `json:"wrongfulRefusals"`
	// Thirds are the programs finished a second in each third of the run.
	Thirds [3]float64 `json:"finishedPerSecondInThirds"`
	// Median and Latency95 are over the programs of all workspaces.
	Median     float64    `json:"medianMilliseconds"`
	Latency95  float64    `json:"latency95Milliseconds"`
	Violations Violations `json:"violations"`
	StoreCalls float64    `json:"storeCallsPerSecond"`
	Errors     []string   `json:"errors,omitempty"`
}

// WorkspaceReport is what one workspace saw.
type WorkspaceReport struct {
	Workspace   string           `json:"workspace"`
	Programs    int64            `json:"programs"`
	Failed      int64            `json:"failed"`
	Turns       int64            `json:"turns"`
	Tools       int64            `json:"tools"`
	Retries     int64            `json:"retries"`
	Median      float64          `json:"medianMilliseconds"`
	Latency95   float64          `json:"latency95Milliseconds"`
	Latency99   float64          `json:"latency99Milliseconds"`
	FirstMedian float64          `json:"firstTokenMedianMilliseconds"`
	First95     float64          `json:"firstToken95Milliseconds"`
	Slowdown    float64          `json:"medianSlowdown"`
	Slowdown95  float64          `json:"slowdown95"`
	Refusals    map[string]int64 `json:"refusals,omitempty"`
}

// CacheReport is how the engines' prefix caches fared, in prompt tokens.
type CacheReport struct {
	Prompt int64 `json:"promptTokens"`
	Cached int64 `json:"cachedTokens"`
	Wasted int64 `json:"wastedTokens"`
}

// WastedShare returns the part of the prompt tokens computed again.
func (c CacheReport) WastedShare() float64 {
	if c.Prompt == 0 {
		return 0
	}
	return float64(c.Wasted) / float64(c.Prompt)
}

// Violations counts broken invariants; all must be zero.
type Violations struct {
	RanTwice      int64 `json:"ranTwice"`
	NeverRan      int64 `json:"toldRunButNeverRan"`
	OverColdBound int64 `json:"overColdBound"`
	MixedHistory  int64 `json:"mixedHistory"`
}

// Any reports whether any invariant was broken.
func (v Violations) Any() bool { return v != Violations{} }

func newReport(r *Run, began time.Time, elapsed time.Duration, storeCalls int64) *Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := &Report{Seconds: elapsed.Seconds(), StoreCalls: float64(storeCalls) / elapsed.Seconds()}
	all := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, finished := range r.finished {
		if third := int(3 * finished.Sub(began) / r.length); third < 3 {
			report.Thirds[third] += 3 / r.length.Seconds()
		}
	}
	for _, shape := range r.shapes {
		own := r.results[shape.Workspace]
		all.Merge(own.latency)
		slowdown := float64(own.slowdown.ValueAtQuantile(50)) / 1000
		report.WorstSlowdown = max(report.WorstSlowdown, slowdown)
		if shape.InsideRate {
			report.Wrongful += own.refusals["rateLimited"]
		}
		report.Workspaces = append(report.Workspaces, WorkspaceReport{
			Workspace: shape.Workspace, Programs: own.programs, Failed: own.failed, Turns: own.turns, Tools: own.tools, Retries: own.retries,
			Median: milliseconds(own.latency.ValueAtQuantile(50)), Latency95: milliseconds(own.latency.ValueAtQuantile(95)),
			Latency99: milliseconds(own.latency.ValueAtQuantile(99)), FirstMedian: milliseconds(own.first.ValueAtQuantile(50)),
			First95: milliseconds(own.first.ValueAtQuantile(95)), Refusals: own.refusals,
			Slowdown: slowdown, Slowdown95: float64(own.slowdown.ValueAtQuantile(95)) / 1000,
		})
		report.Errors = append(report.Errors, own.errors...)
	}
	report.Median = milliseconds(all.ValueAtQuantile(50))
	report.Latency95 = milliseconds(all.ValueAtQuantile(95))
	for _, running := range r.deployment.Engines() {
		stats := running.Stats()
		report.Cache.Prompt += stats.PromptTokens
		report.Cache.Cached += stats.CachedTokens
		report.Cache.Wasted += stats.WastedTokens
		report.Violations.OverColdBound += stats.OverColdBound
	}
	r.checkOrders(report)
	for _, text := range report.Errors {
		if strings.Contains(text, "answer is for history") {
			report.Violations.MixedHistory++
		}
	}
	return report
}

// checkOrders compares the orders that callers were told ran with those that
// the services ran.
func (r *Run) checkOrders(report *Report) {
	runs := make(map[string]int)
	for _, running := range r.deployment.Services() {
		for body, count := range running.AllRuns() {
			runs[body] += count
		}
	}
	for _, count := range runs {
		if count > 1 {
			report.Violations.RanTwice++
		}
	}
	r.placed.Range(func(body, _ any) bool {
		if runs[body.(string)] == 0 {
			report.Violations.NeverRan++
		}
		return true
	})
}

// Whole reports whether every program ended whole and no invariant broke.
func (r *Report) Whole() bool {
	for _, workspace := range r.Workspaces {
		if workspace.Failed > 0 || workspace.Programs == 0 {
			return false
		}
	}
	return !r.Violations.Any()
}

// Programs returns how many programs were run in all.
func (r *Report) Programs() int64 {
	total := int64(0)
	for _, workspace := range r.Workspaces {
		total += workspace.Programs
	}
	return total
}

// WriteJSON writes the report for machines.
func (r *Report) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Print writes the report for people.
func (r *Report) Print(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "workspace\tprograms\tfailed\tturns\ttools\tretries\tmedian ms\t95% ms\t99% ms\tfirst token ms\t95% ms\tslowdown\t95%\tsent again\t")
	for _, w := range r.Workspaces {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%s\t\n", w.Workspace, w.Programs, w.Failed, w.Turns, w.Tools, w.Retries,
			w.Median, w.Latency95, w.Latency99, w.FirstMedian, w.First95, w.Slowdown, w.Slowdown95, refusalText(w.Refusals))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(output, "all programs: median %.1f ms, 95%% %.1f ms; worst-served workspace is %.2f times slower than alone; wrongful refusals %d; finished a second in each third %.1f, %.1f, %.1f\n",
		r.Median, r.Latency95, r.WorstSlowdown, r.Wrongful, r.Thirds[0], r.Thirds[1], r.Thirds[2])
	_, err := fmt.Fprintf(output, "wasted cache %.2f%% of %d prompt tokens; key-value calls %.1f a second; violations: ran twice %d, told run but never ran %d, over the cold bound %d, mixed history %d\n",
		100*r.Cache.WastedShare(), r.Cache.Prompt, r.StoreCalls, r.Violations.RanTwice, r.Violations.NeverRan, r.Violations.OverColdBound, r.Violations.MixedHistory)
	return err
}

func refusalText(refusals map[string]int64) string {
	if len(refusals) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(refusals)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, refusals[code]))
	}
	return strings.Join(parts, ", ")
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
