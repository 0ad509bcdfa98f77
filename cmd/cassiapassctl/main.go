// Command cassiapassctl is what operators use: it submits, revises and withdraws
// service records and explains what the system did.
package main

import (
	"os"

	"github.com/cassiapass/cassiapass/internal/app/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
