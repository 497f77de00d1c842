// Command standin runs demonstrations, load tests and simulated services of the
// platform. See standin --help.
package main

import "limpethall.dev/standin/cmd/standin/cmds"

func main() {
	cmds.Main()
}
