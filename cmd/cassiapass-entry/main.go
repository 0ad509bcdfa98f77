// Command cassiapass-entry runs an entry, which accepts callers' requests and admits,
// routes, retries and resumes them.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/daemon"
)

func main() {
	code, err := daemon.Entry(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
