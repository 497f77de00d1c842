package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/key"
	"limpethall.dev/kernel/table"
)

type planResult struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

func (t *Tool) printPlan(current *table.Table, edits []table.Edit) error {
	result := planResult{Revision: current.Revision(), Changes: describe(current, edits)}
	if t.asJSON {
		return t.printJSON(result)
	}
	if len(edits) == 0 {
		_, err := fmt.Fprintf(t.output, "revision %d is what the file says: nothing to change\n", current.Revision())
		return err
	}
	_, err := fmt.Fprintf(t.output, "planned from revision %d:\n  %s\napply it with: hallctl table apply FILE --base %d\n",
		current.Revision(), strings.Join(result.Changes, "\n  "), current.Revision())
	return err
}

// describe lists edits with what a replaced row said before.
func describe(current *table.Table, edits []table.Edit) []string {
	lines := make([]string, 0, len(edits))
	for _, edit := range edits {
		line := edit.String()
		if put, replaces := edit.(table.PutRow); replaces {
			if before, found := current.Row(put.Row().Workspace()); found {
				line += fmt.Sprintf(" (was weight %d, rate %g/s, burst %d, budget %d tokens)", before.Weight(), before.Rate(), before.Burst(), before.Budget())
			}
		}
		lines = append(lines, line)
	}
	return lines
}

type rowResult struct {
	Workspace string   `json:"workspace"`
	Weight    int64    `json:"weight"`
	Rate      float64  `json:"rate"`
	Burst     int64    `json:"burst"`
	Budget    int64    `json:"budget"`
	Models    []string `json:"models,omitempty"`
	Keys      int      `json:"keys"`
}

type showResult struct {
	Revision   uint64      `json:"revision"`
	Rows       []rowResult `json:"rows"`
	Services   []string    `json:"services"`
	ZonesOut   []string    `json:"zonesOut"`
	ServersOut []string    `json:"serversOut"`
}

// Show prints the table, at revision zero the newest one.
func (t *Tool) Show(ctx context.Context, revision uint64) error {
	shown, err := t.editor.Load(ctx)
	if revision > 0 {
		shown, err = t.editor.At(ctx, revision)
	}
	if err != nil {
		return err
	}
	keys := make(map[string]int)
	for _, kept := range shown.Keys() {
		keys[kept.Workspace()]++
	}
	result := showResult{Revision: shown.Revision(), ZonesOut: shown.ZonesOut(), ServersOut: shown.ServersOut()}
	for _, row := range shown.Rows() {
		result.Rows = append(result.Rows, rowResult{
			Workspace: row.Workspace(), Weight: row.Weight(), Rate: row.Rate(), Burst: row.Burst(),
			Budget: row.Budget(), Models: row.Models(), Keys: keys[row.Workspace()],
		})
	}
	for _, service := range shown.Services() {
		result.Services = append(result.Services, service.Name())
	}
	if t.asJSON {
		return t.printJSON(result)
	}
	return t.printTable(result)
}

func (t *Tool) printTable(result showResult) error {
	_, _ = fmt.Fprintf(t.output, "revision %d\n", result.Revision)
	columns := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(columns, "WORKSPACE\tWEIGHT\tRATE\tBURST\tBUDGET\tKEYS\tMODELS")
	for _, row := range result.Rows {
		models := strings.Join(row.Models, " ")
		if models == "" {
			models = "all"
		}
		_, _ = fmt.Fprintf(columns, "%s\t%d\t%g\t%d\t%d\t%d\t%s\n", row.Workspace, row.Weight, row.Rate, row.Burst, row.Budget, row.Keys, models)
	}
	if err := columns.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(t.output, "services: %s\nzones out: %s\nservers out: %s\n", list(result.Services), list(result.ZonesOut), list(result.ServersOut))
	return err
}

func list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

type historyResult struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	ID       string    `json:"id"`
	Changes  []string  `json:"changes"`
}

// History prints the changes that are still kept, oldest first.
func (t *Tool) History(ctx context.Context) error {
	changes, err := t.editor.History(ctx)
	if err != nil {
		return err
	}
	results := []historyResult{}
	for _, change := range changes {
		result := historyResult{Revision: change.Revision(), At: change.At(), Author: change.Author(), ID: change.ID()}
		for _, edit := range change.Edits() {
			result.Changes = append(result.Changes, edit.String())
		}
		results = append(results, result)
	}
	if t.asJSON {
		return t.printJSON(results)
	}
	for _, result := range results {
		_, _ = fmt.Fprintf(t.output, "revision %d  %s  %s  %s\n", result.Revision, result.At.Format(time.RFC3339), result.Author, result.ID)
		for _, line := range result.Changes {
			_, _ = fmt.Fprintln(t.output, "  "+line)
		}
	}
	return nil
}

type keyResult struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key,omitempty"`
}

// CreateKey gives a workspace a key and prints it, this once.
func (t *Tool) CreateKey(ctx context.Context, workspace string) error {
	text, kept, err := key.New(workspace)
	if err != nil {
		return err
	}
	_, err = t.changeNow(ctx, []table.Edit{table.NewAddKey(kept)})
	var lacking *LackingError
	if err != nil && !errors.As(err, &lacking) {
		return err
	}
	if printed := t.print(keyResult{ID: kept.ID(), Workspace: workspace, Key: text}, "key %s of workspace %s, shown only now:\n%s\n", kept.ID(), workspace, text); printed != nil {
		return printed
	}
	return err
}

// ListKeys prints the keys of all workspaces, without their secrets.
func (t *Tool) ListKeys(ctx context.Context) error {
	current, err := t.editor.Load(ctx)
	if err != nil {
		return err
	}
	results := []keyResult{}
	for _, kept := range current.Keys() {
		results = append(results, keyResult{ID: kept.ID(), Workspace: kept.Workspace()})
	}
	if t.asJSON {
		return t.printJSON(results)
	}
	columns := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(columns, "ID\tWORKSPACE")
	for _, result := range results {
		_, _ = fmt.Fprintf(columns, "%s\t%s\n", result.ID, result.Workspace)
	}
	return columns.Flush()
}

func isRace(err error) bool {
	var race *configuration.RaceError
	return errors.As(err, &race)
}
