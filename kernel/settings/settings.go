// Package settings reads the TOML settings of a process.
//
// A program describes its settings as a struct with toml tags and a Problems
// method. Load reports every mistake at once, in the form "key: what is wrong
// and what is allowed"; a key that the struct does not have is a mistake.
//
// # Usage
//
//	var own Settings
//	if err := settings.Load(path, &own); err != nil { ... }
package settings

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"go.uber.org/zap"

	"limpethall.dev/kernel/logs"
	"limpethall.dev/kernel/network"
	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/secret"
)

// InvalidError carries everything that is wrong with a settings file.
type InvalidError struct {
	path     string
	problems []string
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s:\n  %s", e.path, strings.Join(e.problems, "\n  "))
}

// Problems returns the list.
func (e *InvalidError) Problems() []string { return e.problems }

// Checked is a settings struct that can tell what is wrong with it.
type Checked interface {
	Problems() []string
}

// Load reads the file into target, which holds the defaults, and checks it.
func Load(path string, target Checked) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &InvalidError{path: path, problems: []string{err.Error()}}
	}
	return Parse(path, string(text), target)
}

// Parse is Load for a text that has been read; path names it in errors.
func Parse(path, text string, target Checked) error {
	metadata, err := toml.Decode(text, target)
	if err != nil {
		return &InvalidError{path: path, problems: []string{decodeProblem(err)}}
	}
	var problems []string
	for _, key := range metadata.Undecoded() {
		problems = append(problems, key.String()+": this key is not known")
	}
	problems = append(problems, target.Problems()...)
	if len(problems) > 0 {
		return &InvalidError{path: path, problems: problems}
	}
	return nil
}

func decodeProblem(err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("line %d, column %d: %s", parse.Position.Line, parse.Position.Col, parse.Message)
	}
	return err.Error()
}

// Duration is a time span written like "2s" or "500ms".
type Duration struct{ length time.Duration }

// NewDuration returns a Duration.
func NewDuration(length time.Duration) Duration { return Duration{length: length} }

// Length returns the span.
func (d Duration) Length() time.Duration { return d.length }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	length, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time span: write it like 2s or 500ms", text)
	}
	d.length = length
	return nil
}

// Process are the settings that every long-lived process has.
type Process struct {
	Name    string   `toml:"name"`
	Zone    string   `toml:"zone"`
	Secrets []string `toml:"secrets"`
	// SecretsFile is read again while the process runs, for rolling secrets.
	SecretsFile string       `toml:"secretsFile"`
	Store       Store        `toml:"store"`
	Log         logs.Options `toml:"log"`
}

// Problems returns what is wrong.
func (p Process) Problems() []string {
	var found []string
	if p.Name == "" {
		found = append(found, "name: is missing, give each process its own")
	}
	if p.Zone == "" {
		found = append(found, "zone: is missing, name the availability zone of this host")
	}
	if _, err := p.OpenSecrets(); err != nil {
		found = append(found, fmt.Sprintf("secrets: %v", err))
	}
	found = append(found, p.Store.Problems()...)
	return append(found, p.Log.Problems()...)
}

// OpenSecrets returns the book of the secrets, from the file if one is named.
func (p Process) OpenSecrets() (*secret.Book, error) {
	if p.SecretsFile == "" {
		return secret.New(p.Secrets)
	}
	secrets, err := secret.ReadFile(p.SecretsFile)
	if err != nil {
		return nil, err
	}
	return secret.New(secrets)
}

// SecretsInterval is the pause between two looks at the secrets' file.
const SecretsInterval = 5 * time.Second

// FollowSecrets returns the step that keeps a book in step with its file, for
// a duty at SecretsInterval.
func (p Process) FollowSecrets(book *secret.Book, logger *zap.Logger) func(ctx context.Context) {
	return func(context.Context) {
		if err := book.Reload(p.SecretsFile); err != nil {
			logger.Warn("secrets not read again, the present ones stay in force", zap.Error(err))
		}
	}
}

// Store says how the key-value service is reached.
type Store struct {
	Protocol    string   `toml:"protocol"`
	Addresses   []string `toml:"addresses"`
	Timeout     Duration `toml:"timeout"`
	LeaseLength Duration `toml:"leaseLength"`
}

// DefaultStore returns the settings that most deployments use.
func DefaultStore() Store {
	return Store{Protocol: "httpjson", Timeout: NewDuration(time.Second), LeaseLength: NewDuration(6 * time.Second)}
}

// Problems returns what is wrong.
func (s Store) Problems() []string {
	var found []string
	if _, err := platform.Stores.Find(s.Protocol); err != nil {
		found = append(found, fmt.Sprintf("store.protocol: %v", err))
	}
	if len(s.Addresses) == 0 {
		found = append(found, "store.addresses: is missing, list host:port of the key-value service")
	}
	for _, address := range s.Addresses {
		found = append(found, AddressProblems("store.addresses", address)...)
	}
	if s.LeaseLength.Length() < time.Second {
		found = append(found, fmt.Sprintf("store.leaseLength: %s is not allowed, use 1s or more", s.LeaseLength.Length()))
	}
	return found
}

// Open builds the client of the key-value service.
func (s Store) Open(own network.Network) (platform.Store, error) {
	construct, err := platform.Stores.Find(s.Protocol)
	if err != nil {
		return nil, err
	}
	return construct(platform.StoreOptions{Network: own, Addresses: s.Addresses, Timeout: s.Timeout.Length()})
}

// AddressProblems returns what is wrong with a host:port.
func AddressProblems(key, address string) []string {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return []string{fmt.Sprintf("%s: %q is not an address, write host:port", key, address)}
	}
	return nil
}
