// Command berylctl is the command-line tool for operators of berylpond.
package main

import (
	"os"

	"github.com/berylpond/berylpond/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
