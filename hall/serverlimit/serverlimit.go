// Package serverlimit tracks the limits that backend servers name in their responses:
// the requests per second that a server takes from all halls together, for as long as
// it says so.
//
// # Usage
//
//	tracker := serverlimit.NewTracker(logger)
//	tracker.Observe(now, server.ID(), serverlimit.NewObservation(serverlimit.Limited(5.5), sentAt, now))
//	if tracker.IsLimited(server.ID()) { … }
package serverlimit
