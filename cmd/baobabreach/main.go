// Command baobabreach runs the daemon and the operator commands.
package main

import (
	"os"

	"baobabreach/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
