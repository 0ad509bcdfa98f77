// Command cassiapass-replay replays a trace against the decision packages in virtual time
// and reports the results of their decisions.
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
