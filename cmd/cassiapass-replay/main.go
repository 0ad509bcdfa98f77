// Command cassiapass-replay drives the decision packages with a trace on virtual
// time and reports what their decisions led to.
package main

import (
	"fmt"
	"os"

	"github.com/cassiapass/cassiapass/internal/app/replay"
)

func main() {
	code, err := replay.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
