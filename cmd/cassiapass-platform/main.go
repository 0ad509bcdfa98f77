// Command cassiapass-platform runs one role on the operators' platform. It reads its
// settings from the file that the platform writes.
package main

import (
	"os"

	"github.com/cassiapass/cassiapass/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr)) }
