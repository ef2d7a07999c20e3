// Command cyclamenhitch is the operators' command-line tool for a fleet of instances.
package main

import (
	"os"

	"cyclamenhitch/cmd/internal/demo"
	"cyclamenhitch/cmd/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, demo.Command())) }
