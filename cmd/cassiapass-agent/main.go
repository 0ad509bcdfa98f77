// Command cassiapass-agent runs on the host of one endpoint. It keeps the memory ledger,
// and all requests to the engine or plain service go through it.
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
