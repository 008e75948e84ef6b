// Command monsoonrail routes requests to models, versions and plain services.
package main

import (
	"os"

	"github.com/monsoonrail/monsoonrail/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
