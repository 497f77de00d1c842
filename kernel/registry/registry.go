// Package registry implements registries of plug-ins.
//
// The kernel defines an interface and a Registry of its implementations. The init
// function of a plug-in registers a constructor under a name. An executable that
// imports the plug-in's package selects it by that name in its settings.
//
// # Usage
//
//	var Stores = registry.New[StoreConstructor]("store")
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
	kind       string
	name       string
	registered []string
}

// Error implements error; the message lists the registered names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no %s plug-in named %q: use one of %s", e.kind, e.name, strings.Join(e.registered, ", "))
}

// Name returns the requested name.
func (e *UnknownError) Name() string { return e.name }

// Registry maps names to plug-ins of type T.
type Registry[T any] struct {
	kind    string
	mutex   sync.RWMutex
	plugins map[string]T
}

// New returns an empty registry. kind describes its plug-ins in errors.
func New[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is already registered, which is a
// programming error found at startup.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, exists := r.plugins[name]; exists {
		panic(fmt.Sprintf("%s plug-in %q registered twice", r.kind, name))
	}
	r.plugins[name] = plugin
}

// Find returns the plug-in with this name, or an *UnknownError.
func (r *Registry[T]) Find(name string) (T, error) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	plugin, found := r.plugins[name]
	if !found {
		return plugin, &UnknownError{kind: r.kind, name: name, registered: r.sortedNames()}
	}
	return plugin, nil
}

// Names returns the registered names in sorted order.
func (r *Registry[T]) Names() []string {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.sortedNames()
}

func (r *Registry[T]) sortedNames() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
