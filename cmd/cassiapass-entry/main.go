// Command cassiapass-entry runs an entry: callers talk to it, and it admits, routes,
// retries and resumes their requests.
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
