package deployment_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"limpethall.dev/kernel/table"
	limpetengine "limpethall.dev/limpet/engine"
	"limpethall.dev/limpet/engine/chat"
	"limpethall.dev/standin/deployment"
)

func modelLoadOptions(fencing bool) func(options *deployment.Options) {
	return func(options *deployment.Options) {
		options.Engine.Fencing = fencing
		options.Engine.LoadLength = 10 * time.Second
	}
}

// assignModels assigns models to the four servers that have engines.
func (env *testEnv) assignModels(models ...string) {
	env.t.Helper()
	var edits []table.Edit
	for _, index := range []int{0, 1, 3, 4} {
		edits = append(edits, table.NewPutAssignment(table.NewAssignment(env.LimpetName(index), models)))
	}
	env.applyEdits(edits...)
}

func (env *testEnv) checkLoadedModels(want ...string) {
	env.t.Helper()
	for index, modelEngine := range env.Engines() {
		got := modelEngine.Models()
		slices.Sort(got)
		if !slices.Equal(got, want) {
			env.t.Errorf("engine-%d: got models %v, want %v", index+1, got, want)
		}
	}
}

func TestAssignedModelsAreLoadedWithinWeightStoreLimit(t *testing.T) {
	runInTestEnv(t, modelLoadOptions(true), func(env *testEnv) {
		env.assignModels("magnet", "talian")
		time.Sleep(2 * time.Minute)
		env.checkLoadedModels("magnet", "talian")
		if got, limit := env.Weights().Most(), 2; got > limit {
			t.Errorf("concurrent model loads: got %d, want at most %d", got, limit)
		}
		fetchModelList := func() string {
			_, text, err := env.client("kovacs").Do(env.ctx, http.MethodGet, "/v1/models", nil, nil)
			if err != nil {
				t.Fatal(err)
			}
			return string(text)
		}
		if got := fetchModelList(); !containsText(got, "talian") {
			t.Errorf("models: got %s, want talian included", got)
		}
		program := env.openProgram(env.client("kovacs"), 0)
		if _, err := program.Turn(env.ctx, "talian", "question answer=5", false); err != nil {
			t.Errorf("turn on the new model: %v", err)
		}
		env.assignModels("talian")
		time.Sleep(time.Minute)
		env.checkLoadedModels("talian")
		if got := fetchModelList(); containsText(got, "magnet") {
			t.Errorf("models: got %s, want magnet removed", got)
		}
	})
}

// TestCommandsOfReplacedLimpetAreRejected replaces limpets while their engines load
// models. Each engine must end with the assigned models, and an engine that
// checks fencing tokens must reject commands with the token of an earlier limpet.
func TestCommandsOfReplacedLimpetAreRejected(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		runNamedInTestEnv(t, map[bool]string{true: "engine checks fencing tokens", false: "engine ignores fencing tokens"}[fencing], modelLoadOptions(fencing), func(env *testEnv) {
			env.assignModels("magnet", "talian")
			time.Sleep(5 * time.Second)
			var oldTokens []uint64
			for index, limpetIndex := range []int{0, 1, 3, 4} {
				oldTokens = append(oldTokens, env.Engines()[index].HighestFencingToken())
				env.KillLimpet(limpetIndex)
				if err := env.RestartLimpet(limpetIndex); err != nil {
					env.t.Fatal(err)
				}
			}
			env.assignModels("magnet", "border")
			time.Sleep(3 * time.Minute)
			env.checkLoadedModels("border", "magnet")
			for index, modelEngine := range env.Engines() {
				if got := modelEngine.HighestFencingToken(); got <= oldTokens[index] {
					env.t.Errorf("engine-%d: got fencing token %d after %d, want a higher token", index+1, got, oldTokens[index])
				}
				lateClient := chat.New(limpetengine.Options{Network: env.network.Host("late"), Address: modelEngine.Address()})
				err := lateClient.Execute(context.Background(), limpetengine.Command{Kind: limpetengine.CommandUnload, Model: "magnet", FencingToken: 1})
				var stale *limpetengine.StaleFencingTokenError
				if got := errors.As(err, &stale); got != fencing {
					env.t.Errorf("engine-%d: command with an old fencing token: got rejected %v, want %v", index+1, got, fencing)
				}
			}
		})
	}
}
