// Package cmds holds the commands of hallctl.
//
// # Usage
//
//	hallctl version
package cmds

import (
	"fmt"

	"limpethall.dev/kernel/command"
)

// Main runs the program.
func Main() {
	fmt.Println("hallctl", command.Version)
}
