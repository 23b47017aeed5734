// Package cmds implements the command line, with one file for each command.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// Deps are the dependencies that all commands share.
type Deps struct {
	Out, Err io.Writer
	In       io.Reader
	// Terminal is true if Out is a terminal.
	Terminal bool
	// Now is the clock.
	Now func() time.Time
	// Version of the program.
	Version string
	// SettingsPath is the value of the flag --settings; empty for the defaults.
	SettingsPath string
}

// commands are the constructors of all commands. A new command needs a file of its
// own and a line here.
var commands = []func(*Deps) *cobra.Command{
	newServeCommand,
	newRelayCommand,
	newDemoCommand,
	newRequestCommand,
	newStatusCommand,
	newExplainCommand,
	newSettingsCommand,
	newRulesCommand,
	newMeasureCommand,
	newVersionCommand,
}

// NewRoot builds the whole command line.
func NewRoot(d *Deps) *cobra.Command {
	root := &cobra.Command{
		Use:           "jasmineshed",
		Short:         "Serves multi-stage model pipelines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(d.Out)
	root.SetErr(d.Err)
	root.SetIn(d.In)
	root.PersistentFlags().StringVar(&d.SettingsPath, "settings", "", "settings file; if empty, the defaults apply")
	for _, build := range commands {
		root.AddCommand(build(d))
	}
	return root
}

// Main runs the program and returns its exit code. The first SIGINT or SIGTERM
// cancels the command's context; commands that run a daemon count the signals
// themselves.
func Main(version string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &Deps{
		Out:      os.Stdout,
		Err:      os.Stderr,
		In:       os.Stdin,
		Terminal: isTerminal(os.Stdout),
		Now:      time.Now,
		Version:  version,
	}
	if err := NewRoot(d).ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(d.Err, "jasmineshed: %v\n", err)
		return 1
	}
	return 0
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
