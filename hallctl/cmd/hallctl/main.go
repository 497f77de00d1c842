// Command hallctl is the operators' tool. See hallctl --help.
package main

import "limpethall.dev/hallctl/cmd/hallctl/cmds"

func main() {
	cmds.Main()
}
