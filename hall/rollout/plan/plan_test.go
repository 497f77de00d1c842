package plan_test

import (
	"fmt"
	"testing"
	"time"

	"limpethall.dev/hall/rollout/plan"
)

// TestDecide guards against a shift without evidence, a good version that is not complete in
// time for lack of requests, and a version that is complete without a server, or for one part
// of the halls.
func TestDecide(t *testing.T) {
	const ok, rollBack = plan.Undecided, plan.RollBack
	input := func(portion float64, step plan.Step, inStep time.Duration, change func(*plan.Input)) plan.Input {
		in := plan.Input{
			Elapsed: time.Duration(portion * float64(10*time.Second)), Duration: 10 * time.Second, Step: step, InStep: inStep,
			StepAnswers: 100, Servers: 4, AllReported: true, Majority: true,
		}
		if change != nil {
			change(&in)
		}
		return in
	}
	few := func(in *plan.Input) { in.StepAnswers = 0 }
	suspect := func(in *plan.Input) { in.Assessment.Suspect = true }
	bad := func(in *plan.Input) { in.Assessment.Bad = true }
	alone := func(in *plan.Input) { in.Majority = false }
	empty := func(in *plan.Input) { in.Servers = 0 }
	open := func(in *plan.Input) { in.OpenOld = 3 }
	const second = time.Second
	for name, test := range map[string]struct {
		input   plan.Input
		step    plan.Step
		outcome plan.Outcome
	}{
		"observation":               {input(0.64, plan.Observe, second, nil), plan.Observe, ok},
		"shift":                     {input(0.66, plan.Observe, second, nil), plan.Minor, ok},
		"shift, few answers":        {input(0.79, plan.Observe, second, few), plan.Observe, ok},
		"shift, few answers, late":  {input(0.81, plan.Observe, second, few), plan.Minor, ok},
		"shift, suspect":            {input(0.7, plan.Observe, second, suspect), plan.Observe, ok},
		"step is new":               {input(0.7, plan.Minor, second/4, nil), plan.Minor, ok},
		"step":                      {input(0.7, plan.Minor, second, nil), plan.Major, ok},
		"step, suspect":             {input(0.7, plan.Minor, second, suspect), plan.Minor, ok},
		"step, suspect, late":       {input(0.84, plan.Minor, second, suspect), plan.Major, ok},
		"last step is new":          {input(0.95, plan.Full, second/4, nil), plan.Full, ok},
		"last step":                 {input(0.8, plan.Full, second, nil), plan.Full, plan.Complete},
		"last step, open":           {input(0.8, plan.Full, second, open), plan.Full, ok},
		"last step, open for long":  {input(0.8, plan.Full, 2*second, open), plan.Full, plan.Complete},
		"last step, suspect":        {input(0.9, plan.Full, second, suspect), plan.Full, ok},
		"last step, suspect, late":  {input(0.93, plan.Full, second, suspect), plan.Full, plan.Complete},
		"bad in the observation":    {input(0.1, plan.Observe, second, bad), plan.Observe, rollBack},
		"bad in the last step":      {input(0.93, plan.Full, second, bad), plan.Full, rollBack},
		"minority":                  {input(0.8, plan.Full, second, alone), plan.Full, ok},
		"minority, end":             {input(0.98, plan.Full, second, alone), plan.Full, rollBack},
		"no server":                 {input(0.9, plan.Observe, second, empty), plan.Observe, ok},
		"no server, end":            {input(0.94, plan.Observe, second, empty), plan.Observe, rollBack},
		"no server in last step":    {input(0.9, plan.Full, second, empty), plan.Full, ok},
		"bad, minority, no servers": {input(0.1, plan.Observe, second, func(in *plan.Input) { bad(in); alone(in); empty(in) }), plan.Observe, rollBack},
	} {
		if got := plan.Decide(test.input); got.Step != test.step || got.Outcome != test.outcome {
			t.Errorf("%s: got step %d, outcome %d, want %d, %d", name, got.Step, got.Outcome, test.step, test.outcome)
		}
	}
}

// TestShiftOfServiceWithoutRequestsIsCompleteInTime guards against steps that wait for answers
// until the deadline has passed.
func TestShiftOfServiceWithoutRequestsIsCompleteInTime(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 12 * time.Second, 10 * time.Minute} {
		step, stepAt := plan.Observe, time.Duration(0)
		for elapsed := time.Duration(0); ; elapsed += 150 * time.Millisecond {
			decision := plan.Decide(plan.Input{Elapsed: elapsed, Duration: duration, Step: step, InStep: elapsed - stepAt, Servers: 1, AllReported: true, Majority: true})
			if decision.Outcome == plan.Complete {
				break
			}
			if elapsed >= duration {
				t.Errorf("%s: got step %d at the deadline, want it complete", duration, step)
				break
			}
			if decision.Step != step {
				step, stepAt = decision.Step, elapsed
			}
		}
	}
}

// TestAssess guards against a verdict by one server, by a load that both versions have, and
// by answers of different seconds, and against a bad version that is not noticed.
func TestAssess(t *testing.T) {
	type seconds struct {
		old     plan.Counts
		servers []plan.Counts // Of the target version.
	}
	counts := func(answers, failures int64, firstByte time.Duration) plan.Counts {
		c := plan.Counts{Answers: answers, Failures: failures}
		c.FirstByte[plan.Bucket(firstByte)] = answers - failures
		return c
	}
	same := func(n int, c plan.Counts) (list []plan.Counts) {
		for range n {
			list = append(list, c)
		}
		return list
	}
	const usual = 50 * time.Millisecond
	fine, failing, slow := counts(10, 0, usual), counts(10, 4, usual), counts(10, 0, 4*usual)
	old := counts(100, 0, usual)
	for name, test := range map[string]struct {
		periods []seconds
		want    bool
	}{
		"good":               {[]seconds{{old, same(4, fine)}}, false},
		"failing":            {[]seconds{{old, same(4, failing)}}, true},
		"few failures":       {[]seconds{{old, same(3, counts(10, 1, usual))}}, false},
		"four failures":      {[]seconds{{counts(500, 0, usual), same(4, counts(10, 1, usual))}}, true},
		"by chance":          {[]seconds{{old, same(4, counts(10, 1, usual))}}, false}, // Has a probability of 0.7%.
		"one server fails":   {[]seconds{{old, append(same(3, fine), counts(50, 50, usual))}}, false},
		"other is silent":    {[]seconds{{old, same(1, failing)}}, false},
		"quarter fails":      {[]seconds{{old, append(same(6, fine), same(2, failing)...)}}, false},
		"one server is slow": {[]seconds{{old, append(same(3, fine), counts(50, 0, 6*usual))}}, false},
		"slow":               {[]seconds{{old, same(4, slow)}}, true},
		"little slower":      {[]seconds{{old, same(4, counts(10, 0, 2*usual))}}, false},
		"both slow":          {[]seconds{{counts(100, 0, 4*usual), same(4, slow)}}, false},
		"both fail":          {[]seconds{{counts(100, 40, usual), same(4, failing)}}, false},
		"no old answers":     {[]seconds{{plan.Counts{}, same(4, failing)}}, false},
		"late":               {[]seconds{{old, same(4, counts(100, 0, usual))}, {old, same(4, counts(5, 2, usual))}}, true},
		"small last slice":   {[]seconds{{old, same(4, fine)}, {counts(20, 0, usual), same(4, fine)}, {plan.Counts{}, same(8, counts(10, 5, usual))}}, true},
		"at the last step":   {[]seconds{{old, same(4, fine)}, {plan.Counts{}, same(4, failing)}}, true},
		// The target version gets most of its requests while both versions fail.
		"burst": {[]seconds{{counts(1000, 0, usual), same(4, counts(1, 0, usual))}, {counts(50, 20, 4*usual), same(4, counts(30, 12, 4*usual))}}, false},
	} {
		evidence, now := plan.NewEvidence("v2"), time.Unix(1000, 0)
		evidence.Advance(now)
		for _, period := range test.periods {
			evidence.Add(plan.Key{Route: "/a", Version: "v1"}, period.old)
			for index, counts := range period.servers {
				evidence.Add(plan.Key{Route: "/a", Server: fmt.Sprint(index), Version: "v2"}, counts)
			}
			evidence.Add(plan.Key{Route: "/b", Version: "v1"}, counts(100, 30, usual)) // Another route does not matter.
			for range 4 {
				now = now.Add(500 * time.Millisecond)
				evidence.Advance(now)
			}
		}
		if got := evidence.Assess(now, 4); got.Bad != test.want {
			t.Errorf("%s: got %+v, want bad %t", name, got, test.want)
		}
	}
}
