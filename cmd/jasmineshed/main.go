// Command jasmineshed serves multi-stage model pipelines.
package main

import (
	"os"

	"jasmineshed/internal/cmds"
)

// version is set when a release is built.
var version = "unreleased"

func main() { os.Exit(cmds.Main(version)) }
