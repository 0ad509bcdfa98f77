// Command cassiapass-load sends requests at a steady rate and reports how they
// ended.
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
