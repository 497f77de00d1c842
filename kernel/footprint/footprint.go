// Package footprint keeps the address space of a process small. The C library reserves 64
// MB for the allocations of each thread and 8 MB for its stack. Go uses hardly any of
// it, but under a limit of the address space or of the data a process can't start its
// threads, and ends.
//
// Importing the package is enough. It has an effect on programs that are linked against the
// GNU C library.
//
// # Usage
//
//	import _ "limpethall.dev/kernel/footprint"
package footprint
