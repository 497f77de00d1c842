// Package pin keeps account of the engine memory held for programs.
//
// Each program that ran here has a claim with a time to live. What the engine
// holds without a claim, as after a limpet's restart, gets one too, so a live
// program can renew it and an ended one runs out. Nothing is held for longer
// than the time to live after its last use.
//
// # Usage
//
//	claims := pin.New(10 * time.Minute)
//	claims.Renew(program, now)
//	gone := claims.Reconcile(held, now) // what the engine should release
package pin

import (
	"slices"
	"sync"
	"time"
)

// Claims is the account of one engine. It is safe for concurrent use.
type Claims struct {
	mutex  sync.Mutex
	length time.Duration
	until  map[string]time.Time
}

// New returns an account without claims.
func New(length time.Duration) *Claims {
	return &Claims{length: length, until: make(map[string]time.Time)}
}

// Renew claims the memory of a program.
func (c *Claims) Renew(program string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.until[program] = now.Add(c.length)
}

// Release ends the claim of a program that is over.
func (c *Claims) Release(program string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.until[program] = now
}

// Reconcile compares the claims with what the engine holds and returns what
// it should release. The engine's report lags, so a claim that ran out is
// remembered for one more length: the report may not show yet what is held.
func (c *Claims) Reconcile(held []string, now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var release []string
	for _, program := range held {
		until, claimed := c.until[program]
		if !claimed {
			c.until[program] = now.Add(c.length)
			continue
		}
		if !now.Before(until) {
			release = append(release, program)
		}
	}
	for program, until := range c.until {
		if now.Sub(until) >= c.length && !slices.Contains(held, program) {
			delete(c.until, program)
		}
	}
	return release
}

// Len returns how many claims there are.
func (c *Claims) Len() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.until)
}
