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

// linkedPrograms refers to the programs so that their code is linked. Go caches a test's result
// until the linked test changes, and links no code that nothing refers to: without these
// references a change of the programs would not invalidate a cached pass.
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
