// Package operator carries out what operators ask for: changes of the table,
// keys, zones and servers out and back, and the state of the system.
//
// # Usage
//
//	tool, err := operator.New(settings, network.TCP{}, os.Stdout, asJSON)
//	err = tool.Apply(ctx, "table.toml", base)
//
// Each method prints its result and returns an error that says what to do.
// Nothing is changed unless the method says so.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"strings"
	"time"

	"limpethall.dev/kernel/configuration"
	"limpethall.dev/kernel/host"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/peer"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/secret"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/kernel/table"
)

const (
	// forceTimeout is how long an apply waits until the revision is in force
	// everywhere.
	forceTimeout = 10 * time.Second
	forcePoll    = 200 * time.Millisecond
	askTimeout   = 2 * time.Second
)

// Settings are the settings file of hallctl.
type Settings struct {
	Secrets []string       `toml:"secrets"`
	Store   settings.Store `toml:"store"`
}

// DefaultSettings returns what holds where the file says nothing.
func DefaultSettings() Settings {
	return Settings{Store: settings.DefaultStore()}
}

// Problems implements settings.Checked.
func (s *Settings) Problems() []string {
	found := s.Store.Problems()
	if _, err := secret.New(s.Secrets); err != nil {
		found = append(found, fmt.Sprintf("secrets: %v", err))
	}
	return found
}

// LackingError reports an accepted revision that is not in force everywhere.
type LackingError struct {
	revision uint64
	lacking  []string
}

// Error names the processes that lack it.
func (e *LackingError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not in force after %s on: %s; they will take it over when they can be reached",
		e.revision, forceTimeout, strings.Join(e.lacking, ", "))
}

// Lacking returns the processes.
func (e *LackingError) Lacking() []string { return e.lacking }

// Tool carries out the commands.
type Tool struct {
	store  platform.Store
	editor *configuration.Editor
	client *peer.Client
	output io.Writer
	asJSON bool
	author string
}

// New returns a tool that prints to output, as tables or as JSON.
func New(own Settings, wires network.Network, output io.Writer, asJSON bool) (*Tool, error) {
	book, err := secret.New(own.Secrets)
	if err != nil {
		return nil, err
	}
	store, err := own.Store.Open(wires)
	if err != nil {
		return nil, err
	}
	author := "operator"
	if current, err := user.Current(); err == nil {
		author = current.Username
	}
	return &Tool{store: store, editor: configuration.NewEditor(store, time.Now), client: peer.NewClient(book, wires), output: output, asJSON: asJSON, author: author}, nil
}

// readDeclaration reads a table file by its extension.
func readDeclaration(path string) (table.Declaration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return table.Declaration{}, err
	}
	parse, err := table.Parsers.Find(strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return table.Declaration{}, err
	}
	return parse(text)
}

// Validate checks a table file and prints that it is good.
func Validate(path string, output io.Writer) error {
	declaration, err := readDeclaration(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "%s: ok, %d workspaces\n", path, len(declaration.Rows()))
	return err
}

// Plan prints what an apply of the file would change.
func (t *Tool) Plan(ctx context.Context, path string) error {
	current, edits, err := t.plan(ctx, path)
	if err != nil {
		return err
	}
	return t.printPlan(current, edits)
}

// Apply makes the table what the file says, if base is still the newest
// revision, and waits until that is in force everywhere.
func (t *Tool) Apply(ctx context.Context, path string, base uint64) error {
	current, edits, err := t.plan(ctx, path)
	if err != nil {
		return err
	}
	if current.Revision() != base {
		return configuration.NewRaceError(base, current.Revision())
	}
	return t.report(t.change(ctx, base, edits))
}

func (t *Tool) plan(ctx context.Context, path string) (*table.Table, []table.Edit, error) {
	declaration, err := readDeclaration(path)
	if err != nil {
		return nil, nil, err
	}
	current, err := t.editor.Load(ctx)
	if err != nil {
		return nil, nil, err
	}
	return current, declaration.Edits(current), nil
}

// ChangeNow applies edits to the newest revision, as for zones, servers and
// keys, where an operator means the thing and not a state of the table. A race
// is tried again, since such an edit does not depend on what else changed.
func (t *Tool) ChangeNow(ctx context.Context, edits ...table.Edit) error {
	return t.report(t.changeNow(ctx, edits))
}

func (t *Tool) changeNow(ctx context.Context, edits []table.Edit) (changeResult, error) {
	for {
		current, err := t.editor.Load(ctx)
		if err != nil {
			return changeResult{}, err
		}
		result, err := t.change(ctx, current.Revision(), edits)
		if !isRace(err) {
			return result, err
		}
	}
}

// change writes the edits and waits until they are in force. The error is a
// *LackingError if they are accepted and some process lacks them.
func (t *Tool) change(ctx context.Context, base uint64, edits []table.Edit) (changeResult, error) {
	if len(edits) == 0 {
		return changeResult{Revision: base, InForce: true, Unchanged: true}, nil
	}
	next, err := t.editor.Apply(ctx, base, t.author, edits)
	if err != nil {
		return changeResult{}, err
	}
	lacking := t.waitInForce(ctx, next.Revision())
	result := changeResult{Revision: next.Revision(), InForce: len(lacking) == 0, Lacking: lacking}
	if len(lacking) > 0 {
		return result, &LackingError{revision: next.Revision(), lacking: lacking}
	}
	return result, nil
}

// report prints the result of a change that was accepted.
func (t *Tool) report(result changeResult, err error) error {
	var lacking *LackingError
	switch {
	case errors.As(err, &lacking) && t.asJSON:
		return errors.Join(t.printJSON(result), err)
	case err != nil:
		return err
	case result.Unchanged:
		return t.print(result, "nothing to change at revision %d\n", result.Revision)
	default:
		return t.print(result, "revision %d is in force everywhere\n", result.Revision)
	}
}

// waitInForce returns the processes that lack the revision in the end.
func (t *Tool) waitInForce(ctx context.Context, revision uint64) []string {
	deadline := time.Now().Add(forceTimeout)
	for {
		lacking, err := t.lacking(ctx, revision)
		if err == nil && len(lacking) == 0 {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			if err != nil {
				return []string{"unknown processes: " + err.Error()}
			}
			return lacking
		}
		time.Sleep(forcePoll)
	}
}

func (t *Tool) lacking(ctx context.Context, revision uint64) ([]string, error) {
	state, err := t.gather(ctx)
	if err != nil {
		return nil, err
	}
	var lacking []string
	for _, hall := range state.Halls {
		if hall.Revision < revision {
			lacking = append(lacking, hall.Name)
		}
	}
	for _, limpet := range state.Limpets {
		if limpet.Revision < revision {
			lacking = append(lacking, limpet.Name)
		}
	}
	return lacking, nil
}

// roster reads who is registered.
func (t *Tool) roster(ctx context.Context) (*host.Roster, error) {
	return host.ReadRoster(ctx, t.store)
}

type changeResult struct {
	Revision  uint64   `json:"revision"`
	InForce   bool     `json:"inForceEverywhere"`
	Unchanged bool     `json:"unchanged,omitempty"`
	Lacking   []string `json:"lacking,omitempty"`
}

// print writes the result as JSON, or the text.
func (t *Tool) print(result any, format string, args ...any) error {
	if t.asJSON {
		return t.printJSON(result)
	}
	_, err := fmt.Fprintf(t.output, format, args...)
	return err
}

func (t *Tool) printJSON(result any) error {
	encoder := json.NewEncoder(t.output)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
