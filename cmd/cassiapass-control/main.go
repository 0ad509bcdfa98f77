// Command cassiapass-control runs a control host: the replicated log, service
// records, replica decisions, claims and the audit trail.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/daemon"
)

func main() {
	code, err := daemon.Control(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
