// Package settings loads and validates the TOML settings file of a process.
//
// A program declares its settings as a struct with toml tags and a Problems
// method that validates it. Load reports all problems at once, each in the form
// "key: what is wrong and what is allowed". Unknown keys are problems too.
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

// InvalidError reports all problems of a settings file.
type InvalidError struct {
	path     string
	problems []string
}

// Error returns the file's path and the problems, one per line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s:\n  %s", e.path, strings.Join(e.problems, "\n  "))
}

// Problems returns the individual problems.
func (e *InvalidError) Problems() []string { return e.problems }

// Validator is a settings struct that validates itself.
type Validator interface {
	Problems() []string
}

// Load decodes a settings file into target and validates the result. Keys that
// the file lacks keep their values in target, which serve as defaults.
func Load(path string, target Validator) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &InvalidError{path: path, problems: []string{err.Error()}}
	}
	return Parse(path, string(content), target)
}

// Parse is like Load for settings already read from a file. The path is used in
// errors only.
func Parse(path, content string, target Validator) error {
	metadata, err := toml.Decode(content, target)
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
	var parseError toml.ParseError
	if errors.As(err, &parseError) {
		return fmt.Sprintf("line %d, column %d: %s", parseError.Position.Line, parseError.Position.Col, parseError.Message)
	}
	return err.Error()
}

// Duration is a duration that is decoded from a string such as "2s" or "500ms".
type Duration struct{ duration time.Duration }

// NewDuration returns a Duration of the given length.
func NewDuration(duration time.Duration) Duration { return Duration{duration: duration} }

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return d.duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration: write it like 2s or 500ms", text)
	}
	d.duration = duration
	return nil
}

// Process holds the settings common to all long-lived processes.
type Process struct {
	Name    string   `toml:"name"`
	Zone    string   `toml:"zone"`
	Secrets []string `toml:"secrets"`
	// SecretsFile replaces Secrets if it is set. It is reloaded while the process
	// runs, so that secrets can be rotated without a restart.
	SecretsFile string       `toml:"secretsFile"`
	Store       Store        `toml:"store"`
	Log         logs.Options `toml:"log"`
}

// Problems validates the settings and returns all problems found.
func (p Process) Problems() []string {
	var problems []string
	if p.Name == "" {
		problems = append(problems, "name: is missing, set a unique name for each process")
	}
	if p.Zone == "" {
		problems = append(problems, "zone: is missing, set the availability zone of this host")
	}
	if _, err := p.LoadSecrets(); err != nil {
		problems = append(problems, fmt.Sprintf("secrets: %v", err))
	}
	problems = append(problems, p.Store.Problems()...)
	return append(problems, p.Log.Problems()...)
}

// LoadSecrets loads the shared secrets, from SecretsFile if that is set.
func (p Process) LoadSecrets() (*secret.Keyring, error) {
	if p.SecretsFile == "" {
		return secret.New(p.Secrets)
	}
	secrets, err := secret.ReadFile(p.SecretsFile)
	if err != nil {
		return nil, err
	}
	return secret.New(secrets)
}

// SecretsReloadInterval is the interval at which the secrets file is reloaded.
const SecretsReloadInterval = 5 * time.Second

// SecretsReloader returns a function that reloads the secrets file into keyring. The
// caller runs it every SecretsReloadInterval. If a reload fails, the current secrets
// remain in use.
func (p Process) SecretsReloader(keyring *secret.Keyring, logger *zap.Logger) func(ctx context.Context) {
	return func(context.Context) {
		if err := keyring.Reload(p.SecretsFile); err != nil {
			logger.Warn("could not reload secrets; the current ones remain in use", zap.Error(err))
		}
	}
}

// Store holds the settings of the connection to the key-value service.
type Store struct {
	Protocol  string   `toml:"protocol"`
	Addresses []string `toml:"addresses"`
	Timeout   Duration `toml:"timeout"`
	LeaseTTL  Duration `toml:"leaseLength"`
}

// DefaultStore returns the default settings. They lack addresses.
func DefaultStore() Store {
	return Store{Protocol: "httpjson", Timeout: NewDuration(time.Second), LeaseTTL: NewDuration(6 * time.Second)}
}

// Problems validates the settings and returns all problems found.
func (s Store) Problems() []string {
	var problems []string
	if _, err := platform.Stores.Find(s.Protocol); err != nil {
		problems = append(problems, fmt.Sprintf("store.protocol: %v", err))
	}
	if len(s.Addresses) == 0 {
		problems = append(problems, "store.addresses: is missing, list host:port of the key-value service")
	}
	for _, address := range s.Addresses {
		problems = append(problems, AddressProblems("store.addresses", address)...)
	}
	if s.LeaseTTL.Value() < time.Second {
		problems = append(problems, fmt.Sprintf("store.leaseLength: %s is not allowed, use 1s or more", s.LeaseTTL.Value()))
	}
	return problems
}

// Open returns a client of the key-value service that connects through transport.
func (s Store) Open(transport network.Network) (platform.Store, error) {
	newStore, err := platform.Stores.Find(s.Protocol)
	if err != nil {
		return nil, err
	}
	return newStore(platform.StoreOptions{Network: transport, Addresses: s.Addresses, Timeout: s.Timeout.Value()})
}

// AddressProblems validates an address of the form host:port. The key names the
// setting in the problems returned.
func AddressProblems(key, address string) []string {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return []string{fmt.Sprintf("%s: %q is not an address, write host:port", key, address)}
	}
	return nil
}
