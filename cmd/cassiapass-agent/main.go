// Command cassiapass-agent runs beside one endpoint: it keeps the memory ledger and
// is the only way to the engine or plain service.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/daemon"
)

func main() {
	code, err := daemon.Agent(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
