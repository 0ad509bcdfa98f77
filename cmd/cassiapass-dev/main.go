// Command cassiapass-dev runs every role and fakes of everything outside in one
// process on loopback, with sample records.
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
