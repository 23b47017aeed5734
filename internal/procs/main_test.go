package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"jasmineshed/internal/cmds"
	"jasmineshed/internal/single"
)

// mains refers to the programs. Go keeps the result of a test until the linked
// test changes, and links no code that nothing refers to: without these a change
// of the programs would leave an old pass standing.
var linkedPrograms = map[string]any{"jasmineshed": cmds.Main, "standin": single.Main}

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
	args := []string{"build", "-o", dir}
	for name := range linkedPrograms {
		args = append(args, "jasmineshed/cmd/"+name)
	}
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

func program(name string) string { return filepath.Join(programs, name) }
