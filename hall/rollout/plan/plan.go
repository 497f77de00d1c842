// Package plan decides about a roll-out: when more traffic moves to the target version, and
// when the roll-out is complete or rolled back. It uses no network and no clock.
//
// # Usage
//
//	evidence := plan.NewEvidence("v2")
//	evidence.Add(plan.Key{Route: "/turns", Server: "server-1", Version: "v2"}, plan.Counts{Answers: 1})
//	evidence.Advance(now)
//	decision := plan.Decide(plan.Input{Assessment: evidence.Assess(now, usableServers), …})
package plan

import "time"

// Step is a phase of a roll-out. The share of the target version rises with it.
type Step int

// The steps in their order.
const (
	Observe Step = iota
	Minor
	Major
	Full
)

const (
	// shiftStart is the portion of the duration after which the share rises, if there is
	// enough evidence.
	shiftStart = 0.65
	// completeLatest is the portion of the duration after which a version that is not bad
	// is complete. The rest is for the write to the key-value service and the status.
	completeLatest = 0.93
	// abandonLatest is the portion of the duration after which an owner that hears too few
	// halls rolls back. It is later than completeLatest, so that another owner that hears
	// most halls decides first.
	abandonLatest = 0.97
	// minObserveAnswers and minStepAnswers are the answers of the target version without
	// which a step is not good evidence before its latest end.
	minObserveAnswers = 20
	minStepAnswers    = 20
	// stepPortion is the portion of the duration that a step lasts at least. Two steps of
	// 0.05 at 30% and 60% add 0.045 of all requests to the 0.0325 of the observation, so that
	// a version that turns bad in the last step is still near a bound of 0.1.
	stepPortion = 0.05
	// minStepPeriod is two reports of each hall: the first one fetches the new share, the
	// second one has its results.
	minStepPeriod = 400 * time.Millisecond
	maxStepPeriod = 3 * time.Second
	// decisionInterval is the time between two decisions.
	decisionInterval = 150 * time.Millisecond
	// writePeriod is left for writing the final state and the status.
	writePeriod = 300 * time.Millisecond
	// maxDrainPeriod is how long completion waits for requests that are open at old servers.
	maxDrainPeriod = 1500 * time.Millisecond
)

// Share returns the portion of the programs that use the target version. That of Observe
// depends on the bounds and is not known here.
func (s Step) Share() float64 {
	switch s {
	case Minor:
		return 0.3
	case Major:
		return 0.6
	case Full:
		return 1
	default:
		return 0
	}
}

// latestEnd returns the portion of the duration after which the next step follows with
// little evidence too, as long as nothing is bad. Short durations leave time for the steps
// that follow.
func (s Step) latestEnd(duration time.Duration) float64 {
	following := time.Duration(Full-s)*(minStepPeriod+decisionInterval) + writePeriod
	latest := 1 - float64(following)/float64(max(1, duration))
	switch s {
	case Observe:
		return min(0.80, latest)
	case Minor:
		return min(0.83, latest)
	default:
		return min(0.86, latest)
	}
}

// StepOf returns the last step with at most this share.
func StepOf(share float64) Step {
	for _, step := range []Step{Full, Major, Minor} {
		if share >= step.Share() {
			return step
		}
	}
	return Observe
}

// Outcome is the end of a roll-out.
type Outcome int

// The outcomes.
const (
	Undecided Outcome = iota
	Complete
	RollBack
)

// Input is what a decision depends on.
type Input struct {
	// Elapsed is the time since the order.
	Elapsed  time.Duration
	Duration time.Duration
	Step     Step
	// InStep is the time since the step began.
	InStep time.Duration
	// Assessment compares the versions, StepAnswers are the answers of the target version
	// since the step began.
	Assessment  Assessment
	StepAnswers int64
	// Servers are the usable ones of the target version.
	Servers int
	// OpenOld are the requests in progress at other versions; AllReported is set if all live
	// halls have reported them since they learned of the step.
	OpenOld     int64
	AllReported bool
	// Majority is set if more than half of the live halls report.
	Majority bool
}

// Decision is the step to use now, and the outcome if there is one.
type Decision struct {
	Step    Step
	Outcome Outcome
	Reason  string
}

// Decide returns what to do now.
func Decide(input Input) Decision {
	portion := float64(input.Elapsed) / float64(max(1, input.Duration))
	switch {
	case input.Assessment.Bad:
		return Decision{Step: input.Step, Outcome: RollBack, Reason: input.Assessment.Reason}
	case !input.Majority && portion >= abandonLatest:
		return Decision{Step: input.Step, Outcome: RollBack, Reason: "too few halls report"}
	case !input.Majority:
		return Decision{Step: input.Step, Reason: "too few halls report"}
	case input.Servers == 0 && portion >= completeLatest:
		return Decision{Step: input.Step, Outcome: RollBack, Reason: "the target version has no usable server"}
	case input.Servers == 0:
		return Decision{Step: input.Step, Reason: "the target version has no usable server"}
	case input.Step == Full:
		return completion(input, portion)
	case hasGoodEvidence(input, portion):
		return Decision{Step: input.Step + 1, Reason: "good evidence"}
	case portion >= input.Step.latestEnd(input.Duration) && (input.Step == Observe || input.InStep >= minStepPeriod):
		return Decision{Step: input.Step + 1, Reason: "little evidence, nothing bad"}
	default:
		return Decision{Step: input.Step, Reason: input.Assessment.Reason}
	}
}

func hasGoodEvidence(input Input, portion float64) bool {
	if input.Assessment.Suspect || portion < shiftStart {
		return false
	}
	if input.Step == Observe {
		return input.StepAnswers >= minObserveAnswers
	}
	return input.StepAnswers >= minStepAnswers && input.InStep >= stepPeriod(input.Duration)
}

// completion decides in the last step, in which old servers finish what they have.
func completion(input Input, portion float64) Decision {
	drained := input.AllReported && input.OpenOld == 0
	switch {
	case input.InStep < minStepPeriod:
		return Decision{Step: Full, Reason: "halls learn of the last step"}
	case portion >= completeLatest:
		return Decision{Step: Full, Outcome: Complete, Reason: "nothing bad until the latest time"}
	case input.Assessment.Suspect || input.InStep < stepPeriod(input.Duration):
		return Decision{Step: Full, Reason: input.Assessment.Reason}
	case drained || input.InStep >= maxDrainPeriod:
		return Decision{Step: Full, Outcome: Complete, Reason: "good evidence"}
	default:
		return Decision{Step: Full, Reason: "requests are open at old servers"}
	}
}

func stepPeriod(duration time.Duration) time.Duration {
	return min(maxStepPeriod, max(minStepPeriod, time.Duration(stepPortion*float64(duration))))
}

// ObserveShare returns the share of Observe, for which the requests since the order allow an
// exposure of limit requests until the shift starts. It is chosen once from the rate of
// requests, so that programs rarely change the version.
func ObserveShare(exposureShare float64, slack, requests int64, elapsed, duration time.Duration) float64 {
	const (
		// half of the bound is for the observation, less a tenth, so that grants rarely run out.
		part = 0.5 * 0.9
		// maxShare is below the share of Minor, so that the share tells the step.
		maxShare = 0.25
	)
	share := part * exposureShare
	if requests == 0 || elapsed < duration/20 {
		return share
	}
	expected := float64(requests) * float64(duration) * shiftStart / float64(elapsed)
	return max(share, min(maxShare, share+part*float64(slack)/max(1, expected)))
}
