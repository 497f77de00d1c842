// Package operator implements the commands of hallctl. They change and print the
// table of workspaces, manage keys, take zones and servers out of service, and print
// the state of halls, limpets and programs.
//
// # Usage
//
//	tool, err := operator.New(settings, network.TCP{}, os.Stdout, asJSON)
//	err = tool.Apply(ctx, "table.toml", baseRevision)
//
// Each method prints its result. Errors say how to proceed. A method only changes the
// deployment if its documentation says so.
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
	// rolloutTimeout is how long a change waits until its revision is in force in all
	// processes.
	rolloutTimeout      = 10 * time.Second
	rolloutPollInterval = 200 * time.Millisecond
	// describeTimeout limits the queries to all halls together, which run in parallel.
	describeTimeout = 2 * time.Second
)

// Settings holds the contents of the hallctl settings file.
type Settings struct {
	Secrets []string       `toml:"secrets"`
	Store   settings.Store `toml:"store"`
}

// DefaultSettings returns the values for settings that the file does not contain.
func DefaultSettings() Settings {
	return Settings{Store: settings.DefaultStore()}
}

// Problems implements settings.Validator.
func (s *Settings) Problems() []string {
	problems := s.Store.Problems()
	if _, err := secret.New(s.Secrets); err != nil {
		problems = append(problems, fmt.Sprintf("secrets: %v", err))
	}
	return problems
}

// NotInForceError reports a revision that was accepted, but is not in force in all
// processes after rolloutTimeout.
type NotInForceError struct {
	revision  uint64
	processes []string
}

// Error names the revision and the processes in which it is not in force.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not in force after %s on: %s; they will apply it when they can be reached",
		e.revision, rolloutTimeout, strings.Join(e.processes, ", "))
}

// Processes returns the names of the processes in which the revision is not in force.
func (e *NotInForceError) Processes() []string { return e.processes }

// Tool executes the commands of hallctl against one deployment.
type Tool struct {
	store  platform.Store
	editor *configuration.Editor
	client *peer.Client
	output io.Writer
	asJSON bool
	author string
}

// New returns a tool that prints to output, as text or as JSON. Changes are recorded
// under the name of the current user, or "operator" if it cannot be determined.
func New(settings Settings, transport network.Network, output io.Writer, asJSON bool) (*Tool, error) {
	secrets, err := secret.New(settings.Secrets)
	if err != nil {
		return nil, err
	}
	store, err := settings.Store.Open(transport)
	if err != nil {
		return nil, err
	}
	author := "operator"
	if current, err := user.Current(); err == nil {
		author = current.Username
	}
	return &Tool{store: store, editor: configuration.NewEditor(store, time.Now), client: peer.NewClient(secrets, transport), output: output, asJSON: asJSON, author: author}, nil
}

// readDeclaration reads a table file. The file extension selects the parser.
func readDeclaration(path string) (table.Declaration, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return table.Declaration{}, err
	}
	parse, err := table.Parsers.Find(strings.TrimPrefix(filepath.Ext(path), "."))
	if err != nil {
		return table.Declaration{}, err
	}
	return parse(content)
}

// Validate checks a table file and prints the number of its workspaces if it is valid.
func Validate(path string, output io.Writer) error {
	declaration, err := readDeclaration(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(output, "%s: ok, %d workspaces\n", path, len(declaration.Rows()))
	return err
}

// Plan prints the changes that Apply would make for the file.
func (t *Tool) Plan(ctx context.Context, path string) error {
	current, edits, err := t.plan(ctx, path)
	if err != nil {
		return err
	}
	return t.printPlan(current, edits)
}

// Apply changes the table to match the file and waits until the new revision is in
// force in all processes. It fails with a *configuration.RevisionConflictError if
// baseRevision is not the newest revision.
func (t *Tool) Apply(ctx context.Context, path string, baseRevision uint64) error {
	current, edits, err := t.plan(ctx, path)
	if err != nil {
		return err
	}
	if current.Revision() != baseRevision {
		return configuration.NewRevisionConflictError(baseRevision, current.Revision())
	}
	return t.printChange(t.applyEdits(ctx, baseRevision, edits))
}

// plan returns the current table and the edits that make it match the file.
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

// ApplyToNewest applies edits to the newest revision, whichever that is. It is meant
// for edits of zones, servers and keys, which do not depend on the rest of the table.
// For the same reason it retries after a conflict with another change.
func (t *Tool) ApplyToNewest(ctx context.Context, edits ...table.Edit) error {
	return t.printChange(t.applyToNewest(ctx, edits))
}

func (t *Tool) applyToNewest(ctx context.Context, edits []table.Edit) (changeResult, error) {
	for {
		current, err := t.editor.Load(ctx)
		if err != nil {
			return changeResult{}, err
		}
		result, err := t.applyEdits(ctx, current.Revision(), edits)
		if !isConflict(err) {
			return result, err
		}
	}
}

// applyEdits writes the edits and waits until they are in force. It returns a
// *NotInForceError if they are accepted, but some processes do not use them yet.
func (t *Tool) applyEdits(ctx context.Context, baseRevision uint64, edits []table.Edit) (changeResult, error) {
	if len(edits) == 0 {
		return changeResult{Revision: baseRevision, InForce: true, Unchanged: true}, nil
	}
	changed, err := t.editor.Apply(ctx, baseRevision, t.author, edits)
	if err != nil {
		return changeResult{}, err
	}
	outdated := t.waitForRollout(ctx, changed.Revision())
	result := changeResult{Revision: changed.Revision(), InForce: len(outdated) == 0, Outdated: outdated}
	if len(outdated) > 0 {
		return result, &NotInForceError{revision: changed.Revision(), processes: outdated}
	}
	return result, nil
}

// printChange prints the result of an accepted change. It returns err, which in JSON
// output is preceded by the result if the error is a *NotInForceError.
func (t *Tool) printChange(result changeResult, err error) error {
	var notInForce *NotInForceError
	switch {
	case errors.As(err, &notInForce) && t.asJSON:
		return errors.Join(t.printJSON(result), err)
	case err != nil:
		return err
	case result.Unchanged:
		return t.print(result, "nothing to change at revision %d\n", result.Revision)
	default:
		return t.print(result, "revision %d is in force everywhere\n", result.Revision)
	}
}

// waitForRollout waits until all processes use the revision. It returns the names of
// the processes that do not use it when the timeout expires or the context ends.
func (t *Tool) waitForRollout(ctx context.Context, revision uint64) []string {
	deadline := time.Now().Add(rolloutTimeout)
	for {
		outdated, err := t.outdatedProcesses(ctx, revision)
		if err == nil && len(outdated) == 0 {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			if err != nil {
				return []string{"unknown processes: " + err.Error()}
			}
			return outdated
		}
		time.Sleep(rolloutPollInterval)
	}
}

// outdatedProcesses returns the names of the registered halls and limpets whose
// revision is older than the given one. Processes that cannot be reached are included.
func (t *Tool) outdatedProcesses(ctx context.Context, revision uint64) ([]string, error) {
	status, err := t.queryStatus(ctx)
	if err != nil {
		return nil, err
	}
	var outdated []string
	for _, hall := range status.Halls {
		if hall.Revision < revision {
			outdated = append(outdated, hall.Name)
		}
	}
	for _, limpet := range status.Limpets {
		if limpet.Revision < revision {
			outdated = append(outdated, limpet.Name)
		}
	}
	return outdated, nil
}

// roster reads the registered halls and limpets from the store.
func (t *Tool) roster(ctx context.Context) (*host.Roster, error) {
	return host.ReadRoster(ctx, t.store)
}

type changeResult struct {
	Revision  uint64   `json:"revision"`
	InForce   bool     `json:"inForceEverywhere"`
	Unchanged bool     `json:"unchanged,omitempty"`
	Outdated  []string `json:"lacking,omitempty"`
}

// print prints the result as JSON or, in text output, the formatted text.
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
