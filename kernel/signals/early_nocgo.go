//go:build !cgo || !unix

package signals

// prepareExec does nothing, as the actions of the Go runtime can't be changed without cgo.
func prepareExec() {}
