// Package serverlimit keeps the halls together within the limits that backend servers
// name in their responses: the requests per second that a server takes from all halls,
// for as long as it says so.
//
// # Usage
//
//	limiter := serverlimit.New("hall-1", halls, client, serverlimit.NewTracker(logger), logger)
//	limiter.Tracker().Observe(now, server.ID(), serverlimit.NewObservation(serverlimit.Limited(5.5), sentAt, now))
//	wait, err := limiter.Acquire(ctx, server.ID(), 500*time.Millisecond)
//	if err != nil { choose another server }
package serverlimit
