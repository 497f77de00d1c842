package ratelimit_test

import (
	"testing"
	"time"

	"limpethall.dev/hall/ratelimit"
	"limpethall.dev/kernel/limit"
	"limpethall.dev/kernel/table"
	"limpethall.dev/kernel/wire"
)

// TestRefusedFirstTurnsReturnWhenTheyCanBeServed answers a workspace that begins more programs
// than its rate serves. It guards against callers that return before the reserve of running
// programs is filled, all at the same time: they use up their attempts on refusals.
func TestRefusedFirstTurnsReturnWhenTheyCanBeServed(t *testing.T) {
	const rate, burst, millitokens = 10, 10, 1000
	now := time.Unix(1000, 0)
	lender := ratelimit.New(nil, func(time.Time) bool { return true }, 0, func() time.Time { return now })
	lender.ConfigureRows([]table.Row{table.NewRow(workspace, 1, rate, burst, 0, nil)})
	lender.SetSlices(limit.AllSlices(), true)
	for tokens, _ := lender.Tokens(workspace); tokens >= 1; tokens, _ = lender.Tokens(workspace) {
		if _, err := lender.Admit(t.Context(), workspace, ratelimit.RunningProgram); err != nil {
			t.Fatalf("running program: got %v, want a token", err)
		}
	}
	request := &wire.LendRequest{Hall: "other", Workspace: workspace, Millitokens: millitokens, MinMillitokens: millitokens, NewProgram: true}
	var delays []time.Duration
	for range 3 {
		delays = append(delays, time.Duration(lender.Lend(request).GetRetryAfterMilliseconds())*time.Millisecond)
	}
	// The reserve is 3 of 10 tokens, so a first turn needs 4, which takes 400 ms.
	for index, want := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond} {
		if got := delays[index]; got != want {
			t.Errorf("return of refused first turn %d: got after %s, want %s", index, got, want)
		}
	}
	now = now.Add(delays[0])
	if got := lender.Lend(request).GetMillitokens(); got < millitokens {
		t.Errorf("first turn that returned in time: got %d millitokens, want %d", got, millitokens)
	}
}
