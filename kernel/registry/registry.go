// Package registry is the list of plug-ins of one kind.
//
// The kernel defines an interface and a Registry for it. A plug-in registers
// a constructor under a name from its init function, and a program selects it
// by that name in its settings after a blank import.
//
// # Usage
//
//	var Stores = registry.New[Constructor]("store")
//
//	func init() { platform.Stores.Register("httpjson", New) }
package registry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// UnknownError reports a name under which no plug-in is registered.
type UnknownError struct {
	kind  string
	name  string
	known []string
}

// Error lists the names that would be accepted.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no %s plug-in named %q: use one of %s", e.kind, e.name, strings.Join(e.known, ", "))
}

// Name returns the name that was asked for.
func (e *UnknownError) Name() string { return e.name }

// Registry maps names to plug-ins of type T.
type Registry[T any] struct {
	kind    string
	mutex   sync.RWMutex
	plugins map[string]T
}

// New returns an empty registry; kind names it in errors.
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: make(map[string]T)}
}

// Register adds a plug-in. A second one of the same name is a programming
// error and panics at start-up.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic(fmt.Sprintf("%s plug-in %q registered twice", r.kind, name))
	}
	r.plugins[name] = plugin
}

// Find returns the plug-in of that name or an *UnknownError.
func (r *Registry[T]) Find(name string) (T, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	plugin, found := r.plugins[name]
	if !found {
		return plugin, &UnknownError{kind: r.kind, name: name, known: r.names()}
	}
	return plugin, nil
}

// Names returns the registered names in order.
func (r *Registry[T]) Names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.names()
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
