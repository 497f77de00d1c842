// Command limpet runs one limpet. See limpet --help.
package main

import "limpethall.dev/limpet/cmd/limpet/cmds"

func main() {
	cmds.Main()
}
