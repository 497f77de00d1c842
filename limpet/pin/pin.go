// Package pin tracks the engine memory that is pinned for programs.
//
// Each program that ran on the engine has a pin with a time to live (TTL). If
// the engine holds memory without a pin, as after a restart of the limpet,
// Reconcile adds a pin, so that a live program can renew it and that of an
// ended program expires. No memory is held for longer than the TTL after its
// last use.
//
// # Usage
//
//	pins := pin.New(10 * time.Minute)
//	pins.Pin(program, now)
//	expired := pins.Reconcile(held, now) // the programs to release
package pin

import (
	"slices"
	"sync"
	"time"
)

// Tracker tracks the pins of one engine. It is safe for concurrent use.
type Tracker struct {
	mutex     sync.Mutex
	ttl       time.Duration
	expiresAt map[string]time.Time
}

// New returns a tracker without pins. The ttl counts from the last use of each
// pin.
func New(ttl time.Duration) *Tracker {
	return &Tracker{ttl: ttl, expiresAt: make(map[string]time.Time)}
}

// Pin adds or renews the pin of a program.
func (t *Tracker) Pin(program string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expiresAt[program] = now.Add(t.ttl)
}

// Unpin expires the pin of a program that has ended.
func (t *Tracker) Unpin(program string, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expiresAt[program] = now
}

// Reconcile compares the pins with the programs that the engine reports as held
// and returns those to release. The report may be out of date and not yet show
// memory that is held, so an expired pin is remembered for another TTL.
func (t *Tracker) Reconcile(held []string, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var release []string
	for _, program := range held {
		expiry, pinned := t.expiresAt[program]
		if !pinned {
			t.expiresAt[program] = now.Add(t.ttl)
			continue
		}
		if !now.Before(expiry) {
			release = append(release, program)
		}
	}
	for program, expiry := range t.expiresAt {
		if now.Sub(expiry) >= t.ttl && !slices.Contains(held, program) {
			delete(t.expiresAt, program)
		}
	}
	return release
}

// Len returns the number of pins, including expired ones.
func (t *Tracker) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.expiresAt)
}
