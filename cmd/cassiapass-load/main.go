// Command cassiapass-load sends requests at a constant rate and reports their outcomes and
// latencies.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/load"
)

func main() {
	code, err := load.Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
