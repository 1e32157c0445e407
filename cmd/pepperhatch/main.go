// Command pepperhatch runs an entry host of the scheduler, and provides the
// commands for its operators and callers. See `pepperhatch --help`.
package main

import (
	"os"

	"github.com/pepperhatch/pepperhatch/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
