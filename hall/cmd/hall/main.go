// Command hall runs one hall. See hall --help.
package main

import "limpethall.dev/hall/cmd/hall/cmds"

func main() {
	cmds.Main()
}
