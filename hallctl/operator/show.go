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
	result := planResult{Revision: current.Revision(), Changes: describeEdits(current, edits)}
	if t.asJSON {
		return t.printJSON(result)
	}
	if len(edits) == 0 {
		_, err := fmt.Fprintf(t.output, "revision %d already matches the file: nothing to change\n", current.Revision())
		return err
	}
	_, err := fmt.Fprintf(t.output, "planned changes to revision %d:\n  %s\napply them with: hallctl table apply FILE --base %d\n",
		current.Revision(), strings.Join(result.Changes, "\n  "), current.Revision())
	return err
}

// describeEdits returns one line for each edit. If an edit replaces the row of a
// workspace, the line includes the previous values.
func describeEdits(current *table.Table, edits []table.Edit) []string {
	descriptions := make([]string, 0, len(edits))
	for _, edit := range edits {
		description := edit.String()
		if put, isPut := edit.(table.PutRow); isPut {
			if previous, found := current.Row(put.Row().Workspace()); found {
				description += fmt.Sprintf(" (was weight %d, rate %g/s, burst %d, budget %d tokens)", previous.Weight(), previous.Rate(), previous.Burst(), previous.Budget())
			}
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
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

// Show prints the table at the given revision, or at the newest one if revision is
// zero.
func (t *Tool) Show(ctx context.Context, revision uint64) error {
	requested, err := t.editor.Load(ctx)
	if revision > 0 {
		requested, err = t.editor.At(ctx, revision)
	}
	if err != nil {
		return err
	}
	keyCounts := make(map[string]int)
	for _, storedKey := range requested.Keys() {
		keyCounts[storedKey.Workspace()]++
	}
	result := showResult{Revision: requested.Revision(), ZonesOut: requested.ZonesOut(), ServersOut: requested.ServersOut()}
	for _, row := range requested.Rows() {
		result.Rows = append(result.Rows, rowResult{
			Workspace: row.Workspace(), Weight: row.Weight(), Rate: row.Rate(), Burst: row.Burst(),
			Budget: row.Budget(), Models: row.Models(), Keys: keyCounts[row.Workspace()],
		})
	}
	for _, service := range requested.Services() {
		result.Services = append(result.Services, service.Name())
	}
	if t.asJSON {
		return t.printJSON(result)
	}
	return t.printTable(result)
}

func (t *Tool) printTable(result showResult) error {
	_, _ = fmt.Fprintf(t.output, "revision %d\n", result.Revision)
	writer := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "WORKSPACE\tWEIGHT\tRATE\tBURST\tBUDGET\tKEYS\tMODELS")
	for _, row := range result.Rows {
		models := strings.Join(row.Models, " ")
		if models == "" {
			models = "all"
		}
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%g\t%d\t%d\t%d\t%s\n", row.Workspace, row.Weight, row.Rate, row.Burst, row.Budget, row.Keys, models)
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(t.output, "services: %s\nzones out: %s\nservers out: %s\n", joinNames(result.Services), joinNames(result.ZonesOut), joinNames(result.ServersOut))
	return err
}

func joinNames(names []string) string {
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

// History prints the changes that are still stored, oldest first.
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
		for _, description := range result.Changes {
			_, _ = fmt.Fprintln(t.output, "  "+description)
		}
	}
	return nil
}

type keyResult struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Key       string `json:"key,omitempty"`
}

// CreateKey creates a key for a workspace and prints it. The text of the key is not
// stored and cannot be printed again.
func (t *Tool) CreateKey(ctx context.Context, workspace string) error {
	text, storedKey, err := key.New(workspace)
	if err != nil {
		return err
	}
	_, err = t.applyToNewest(ctx, []table.Edit{table.NewAddKey(storedKey)})
	var notInForce *NotInForceError
	if err != nil && !errors.As(err, &notInForce) {
		return err
	}
	if printErr := t.print(keyResult{ID: storedKey.ID(), Workspace: workspace, Key: text}, "key %s of workspace %s; it cannot be shown again:\n%s\n", storedKey.ID(), workspace, text); printErr != nil {
		return printErr
	}
	return err
}

// ListKeys prints the IDs and workspaces of all keys. Secrets are not printed.
func (t *Tool) ListKeys(ctx context.Context) error {
	current, err := t.editor.Load(ctx)
	if err != nil {
		return err
	}
	results := []keyResult{}
	for _, storedKey := range current.Keys() {
		results = append(results, keyResult{ID: storedKey.ID(), Workspace: storedKey.Workspace()})
	}
	if t.asJSON {
		return t.printJSON(results)
	}
	writer := tabwriter.NewWriter(t.output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, "ID\tWORKSPACE")
	for _, result := range results {
		_, _ = fmt.Fprintf(writer, "%s\t%s\n", result.ID, result.Workspace)
	}
	return writer.Flush()
}

func isConflict(err error) bool {
	var conflict *configuration.RevisionConflictError
	return errors.As(err, &conflict)
}
