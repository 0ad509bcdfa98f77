// Command cassiapass-capacity measures how the cost of each role grows with load and
// computes the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/capacity"
)

func main() {
	code, err := capacity.Main(os.Args[1:], os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
