// Command standin runs stand-ins for the external systems as processes: the
// platform, runners and workers. It is for experiments and tests only.
package main

import (
	"os"

	"github.com/pepperhatch/pepperhatch/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stderr))
}
