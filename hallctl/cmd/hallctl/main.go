// Command hallctl is the administration tool of limpethall. See hallctl --help.
package main

import "limpethall.dev/hallctl/cmd/hallctl/cmds"

func main() {
	cmds.Main()
}
