// Command standin runs one stand-in of the platform, an engine or a plain
// service as a process, for tests.
package main

import (
	"os"

	"jasmineshed/internal/single"
)

func main() {
	os.Exit(single.Main(os.Args[1:], os.Stdout, os.Stderr))
}
