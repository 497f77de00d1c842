package operator

import (
	"context"
	"fmt"
	"sync"
	"text/tabwriter"
	"time"

	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/wire"
)

type hallResult struct {
	Name           string `json:"name"`
	Zone           string `json:"zone"`
	Reachable      bool   `json:"reachable"`
	Revision       uint64 `json:"revision"`
	StoreReachable bool   `json:"storeReachable"`
	Programs       int64  `json:"programs"`
	ActiveCalls    int64  `json:"activeCalls"`
	ShareParts     int64  `json:"shareParts"`
}

type limpetResult struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Heard    bool   `json:"heard"`
	Revision uint64 `json:"revision"`
	Window   int64  `json:"window"`
	Running  int64  `json:"running"`
	Queued   int64  `json:"queued"`
	Refusal  string `json:"refusal,omitempty"`
}

type state struct {
	Revision uint64         `json:"revision"`
	Halls    []hallResult   `json:"halls"`
	Limpets  []limpetResult `json:"limpets"`
	ZonesOut []string       `json:"zonesOut"`
}

// gather asks every hall for what it knows.
func (t *Tool) gather(ctx context.Context) (state, error) {
	roster, err := t.roster(ctx)
	if err != nil {
		return state{}, err
	}
	current, err := t.editor.Load(ctx)
	if err != nil {
		return state{}, err
	}
	gathered := state{Revision: current.Revision(), ZonesOut: current.ZonesOut()}
	newest := make(map[string]*wire.LimpetStatus)
	for index, described := range t.describeAll(ctx, roster.Halls()) {
		hall := roster.Halls()[index]
		gathered.Halls = append(gathered.Halls, hallOf(hall, described))
		for _, status := range described.GetLimpets() {
			if known := newest[status.GetServer()]; known.GetConfigurationRevision() <= status.GetConfigurationRevision() {
				newest[status.GetServer()] = status
			}
		}
	}
	for _, limpet := range roster.Limpets() {
		gathered.Limpets = append(gathered.Limpets, limpetOf(limpet, newest[limpet.Name()]))
	}
	return gathered, nil
}

// describeAll returns one description for each hall, nil where there was no
// answer.
func (t *Tool) describeAll(ctx context.Context, halls []host.Member) []*wire.HallDescription {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	descriptions := make([]*wire.HallDescription, len(halls))
	var wait sync.WaitGroup
	for index, hall := range halls {
		wait.Go(func() {
			if described, err := t.client.Hall(hall.Address()).Describe(ctx, &wire.Empty{}); err == nil {
				descriptions[index] = described
			}
		})
	}
	wait.Wait()
	return descriptions
}

func hallOf(hall host.Member, described *wire.HallDescription) hallResult {
	status := described.GetStatus()
	return hallResult{
		Name: hall.Name(), Zone: hall.Zone(), Reachable: described != nil, Revision: status.GetConfigurationRevision(),
		StoreReachable: status.GetStoreReachable(), Programs: described.GetPrograms(), ActiveCalls: described.GetActiveCalls(),
		ShareParts: described.GetShareParts(),
	}
}

func limpetOf(limpet host.Member, status *wire.LimpetStatus) limpetResult {
	return limpetResult{
		Name: limpet.Name(), Zone: limpet.Zone(), Heard: status != nil, Revision: status.GetConfigurationRevision(),
		Window: status.GetWindow(), Running: status.GetRunning(), Queued: status.GetQueued(), Refusal: status.GetRefusal(),
	}
}

// Status prints the halls and limpets on the roster.
func (t *Tool) Status(ctx context.Context) error {
	gathered, err := t.gather(ctx)
	if err != nil {
		return err
	}
	if t.asJSON {
		return t.printJSON(gathered)
	}
	_, _ = fmt.Fprintf(t.output, "accepted revision %d, zones out: %s\n", gathered.Revision, list(gathered.ZonesOut))
	columns := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(columns, "HALL\tZONE\tREACHABLE\tREVISION\tSTORE\tPROGRAMS\tCALLS\tSHARE")
	for _, hall := range gathered.Halls {
		_, _ = fmt.Fprintf(columns, "%s\t%s\t%v\t%d\t%v\t%d\t%d\t%.1f%%\n", hall.Name, hall.Zone, hall.Reachable, hall.Revision,
			hall.StoreReachable, hall.Programs, hall.ActiveCalls, float64(hall.ShareParts)/10_000)
	}
	_, _ = fmt.Fprintln(columns, "LIMPET\tZONE\tHEARD\tREVISION\tWINDOW\tRUNNING\tQUEUED\tREFUSES")
	for _, limpet := range gathered.Limpets {
		_, _ = fmt.Fprintf(columns, "%s\t%s\t%v\t%d\t%d\t%d\t%d\t%s\n", limpet.Name, limpet.Zone, limpet.Heard, limpet.Revision,
			limpet.Window, limpet.Running, limpet.Queued, limpet.Refusal)
	}
	return columns.Flush()
}

// WatchStatus prints the status at an interval until the context ends.
func (t *Tool) WatchStatus(ctx context.Context, interval time.Duration) error {
	for ctx.Err() == nil {
		if err := t.Status(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}

// ShowProgram prints the state of a program.
func (t *Tool) ShowProgram(ctx context.Context, id string) error {
	return t.onProgram(ctx, id, wire.Hall.DescribeProgram)
}

// EndProgram ends a program.
func (t *Tool) EndProgram(ctx context.Context, id string) error {
	return t.onProgram(ctx, id, wire.Hall.EndProgram)
}

type programResult struct {
	Program   string `json:"program"`
	Workspace string `json:"workspace"`
	Turn      uint64 `json:"turn"`
	Budget    int64  `json:"budget"`
	Spent     int64  `json:"spent"`
	Ended     bool   `json:"ended"`
	Home      string `json:"home"`
}

func (t *Tool) onProgram(ctx context.Context, id string, step func(wire.Hall, context.Context, *wire.ProgramRequest) (*wire.ProgramState, error)) error {
	roster, err := t.roster(ctx)
	if err != nil {
		return err
	}
	home, found := host.TopMember(id, roster.Halls())
	if !found {
		return fmt.Errorf("no hall is registered")
	}
	described, err := step(t.client.Hall(home.Address()), ctx, &wire.ProgramRequest{ProgramId: id})
	if err != nil {
		return err
	}
	result := programResult{
		Program: id, Workspace: described.GetWorkspace(), Turn: described.GetTurn(), Budget: described.GetBudget(),
		Spent: described.GetSpent(), Ended: described.GetEnded(), Home: home.Name(),
	}
	return t.print(result, "program %s\nworkspace %s\nhome %s\nturns %d\nspent %d of %d tokens\nended %v\n",
		id, result.Workspace, result.Home, result.Turn, result.Spent, result.Budget, result.Ended)
}
