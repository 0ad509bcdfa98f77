// Command cassiapassctl is the operators' command line: it submits, revises and withdraws
// service records and explains the system's decisions.
package main

import (
	"os"

	"github.com/cassiapass/cassiapass/internal/app/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
