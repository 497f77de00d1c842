// Command standin runs demonstrations and loads against stand-ins. See
// standin --help.
package main

import "limpethall.dev/standin/cmd/standin/cmds"

func main() {
	cmds.Main()
}
