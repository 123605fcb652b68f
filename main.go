// Command fulmarvalve routes language-model generations and plain service
// calls from callers to backend servers.
package main

import (
	"os"

	"github.com/fulmarvalve/fulmarvalve/cmd"
)

func main() {
	os.Exit(cmd.Execute(os.Args))
}
