// Command cassiapass-lab simulates a load on emulated model engines in virtual time and
// compares policies that decide which models they hold.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/lab"
)

func main() {
	code, err := lab.Main(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
