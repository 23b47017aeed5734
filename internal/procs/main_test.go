package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the directory that holds the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "jasmineshed/cmd/jasmineshed", "jasmineshed/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

func program(name string) string { return filepath.Join(programs, name) }
