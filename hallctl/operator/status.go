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
	Name string `json:"name"`
	Zone string `json:"zone"`
	// StatusReceived is false if no hall has received a status from the limpet.
	StatusReceived bool   `json:"heard"`
	Revision       uint64 `json:"revision"`
	Window         int64  `json:"window"`
	Running        int64  `json:"running"`
	Queued         int64  `json:"queued"`
	Refusal        string `json:"refusal,omitempty"`
}

type statusResult struct {
	Revision uint64         `json:"revision"`
	Halls    []hallResult   `json:"halls"`
	Limpets  []limpetResult `json:"limpets"`
	ZonesOut []string       `json:"zonesOut"`
}

// queryStatus queries all registered halls and combines their answers. Each limpet is
// shown with the newest configuration revision that it reported to any hall.
func (t *Tool) queryStatus(ctx context.Context) (statusResult, error) {
	roster, err := t.roster(ctx)
	if err != nil {
		return statusResult{}, err
	}
	current, err := t.editor.Load(ctx)
	if err != nil {
		return statusResult{}, err
	}
	result := statusResult{Revision: current.Revision(), ZonesOut: current.ZonesOut()}
	newestStatuses := make(map[string]*wire.LimpetStatus)
	for index, description := range t.describeHalls(ctx, roster.Halls()) {
		hall := roster.Halls()[index]
		result.Halls = append(result.Halls, newHallResult(hall, description))
		for _, status := range description.GetLimpets() {
			if previous := newestStatuses[status.GetServer()]; previous.GetConfigurationRevision() <= status.GetConfigurationRevision() {
				newestStatuses[status.GetServer()] = status
			}
		}
	}
	for _, limpet := range roster.Limpets() {
		result.Limpets = append(result.Limpets, newLimpetResult(limpet, newestStatuses[limpet.Name()]))
	}
	return result, nil
}

// describeHalls returns one description per hall, in the order of halls. It is nil for
// a hall that did not answer.
func (t *Tool) describeHalls(ctx context.Context, halls []host.Member) []*wire.HallDescription {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	descriptions := make([]*wire.HallDescription, len(halls))
	var group sync.WaitGroup
	for index, hall := range halls {
		group.Go(func() {
			if description, err := t.client.Hall(hall.Address()).Describe(ctx, &wire.Empty{}); err == nil {
				descriptions[index] = description
			}
		})
	}
	group.Wait()
	return descriptions
}

// newHallResult converts the description of a hall, which is nil if the hall did not
// answer.
func newHallResult(hall host.Member, description *wire.HallDescription) hallResult {
	status := description.GetStatus()
	return hallResult{
		Name: hall.Name(), Zone: hall.Zone(), Reachable: description != nil, Revision: status.GetConfigurationRevision(),
		StoreReachable: status.GetStoreReachable(), Programs: description.GetPrograms(), ActiveCalls: description.GetActiveCalls(),
		ShareParts: description.GetShareParts(),
	}
}

// newLimpetResult converts the status of a limpet, which is nil if no hall has received
// one.
func newLimpetResult(limpet host.Member, status *wire.LimpetStatus) limpetResult {
	return limpetResult{
		Name: limpet.Name(), Zone: limpet.Zone(), StatusReceived: status != nil, Revision: status.GetConfigurationRevision(),
		Window: status.GetWindow(), Running: status.GetRunning(), Queued: status.GetQueued(), Refusal: status.GetRefusal(),
	}
}

// Status prints the status of all registered halls and limpets.
func (t *Tool) Status(ctx context.Context) error {
	status, err := t.queryStatus(ctx)
	if err != nil {
		return err
	}
	if t.asJSON {
		return t.printJSON(status)
	}
	_, _ = fmt.Fprintf(t.output, "accepted revision %d, zones out: %s\n", status.Revision, joinNames(status.ZonesOut))
	writer := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "HALL\tZONE\tREACHABLE\tREVISION\tSTORE\tPROGRAMS\tCALLS\tSHARE")
	for _, hall := range status.Halls {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%v\t%d\t%v\t%d\t%d\t%.1f%%\n", hall.Name, hall.Zone, hall.Reachable, hall.Revision,
			hall.StoreReachable, hall.Programs, hall.ActiveCalls, float64(hall.ShareParts)/10_000)
	}
	_, _ = fmt.Fprintln(writer, "LIMPET\tZONE\tHEARD\tREVISION\tWINDOW\tRUNNING\tQUEUED\tREFUSES")
	for _, limpet := range status.Limpets {
		_, _ = fmt.Fprintf(writer, "%s\t%s\t%v\t%d\t%d\t%d\t%d\t%s\n", limpet.Name, limpet.Zone, limpet.StatusReceived, limpet.Revision,
			limpet.Window, limpet.Running, limpet.Queued, limpet.Refusal)
	}
	return writer.Flush()
}

// WatchStatus prints the status at the given interval until the context ends or a
// query fails.
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
	return t.callProgramMethod(ctx, id, wire.Hall.DescribeProgram)
}

// EndProgram ends a program and prints its final state.
func (t *Tool) EndProgram(ctx context.Context, id string) error {
	return t.callProgramMethod(ctx, id, wire.Hall.EndProgram)
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

// callProgramMethod calls a method of the program's home hall and prints the state that
// it returns.
func (t *Tool) callProgramMethod(ctx context.Context, id string, method func(wire.Hall, context.Context, *wire.ProgramRequest) (*wire.ProgramState, error)) error {
	roster, err := t.roster(ctx)
	if err != nil {
		return err
	}
	home, found := host.TopMember(id, roster.Halls())
	if !found {
		return fmt.Errorf("no hall is registered")
	}
	state, err := method(t.client.Hall(home.Address()), ctx, &wire.ProgramRequest{ProgramId: id})
	if err != nil {
		return err
	}
	result := programResult{
		Program: id, Workspace: state.GetWorkspace(), Turn: state.GetTurn(), Budget: state.GetBudget(),
		Spent: state.GetSpent(), Ended: state.GetEnded(), Home: home.Name(),
	}
	return t.print(result, "program %s\nworkspace %s\nhome %s\nturns %d\nspent %d of %d tokens\nended %v\n",
		id, result.Workspace, result.Home, result.Turn, result.Spent, result.Budget, result.Ended)
}
