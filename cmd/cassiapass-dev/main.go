// Command cassiapass-dev runs all roles and fakes of all external systems in one process on
// the loopback interface, with sample records.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/dev"
)

func main() {
	code, err := dev.Main(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
