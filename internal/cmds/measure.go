package cmds

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"jasmineshed/internal/gauge"
)

// measure is one run of the command.
type measure struct {
	deps   *Deps
	policy string
	seed   uint64
	lines  string
	plot   string
	log    string
}

func newMeasureCommand(d *Deps) *cobra.Command {
	m := &measure{deps: d}
	c := &cobra.Command{
		Use:   "measure SCENARIO",
		Short: "Run a scenario against a fleet with stand-ins in this process",
		Long: "Run a scenario against daemons and stand-ins on loopback in this process, and\n" +
			"report the results that callers got. Scenarios are files such as those in examples/scenarios.",
		Args: cobra.ExactArgs(1),
	}
	f := c.Flags()
	f.StringVar(&m.policy, "policy", "", "policy that overrides the scenario's: affinity, round_robin, least_outstanding, two_choices")
	f.Uint64Var(&m.seed, "seed", 0, "seed that overrides the scenario's, if not 0")
	f.StringVar(&m.lines, "lines", "", "file for JSON lines, one per request")
	f.StringVar(&m.plot, "plot", "", "file for a plot over time, such as plot.png or plot.svg")
	f.StringVar(&m.log, "log", os.DevNull, "file for the daemons' logs")
	c.RunE = func(c *cobra.Command, args []string) error {
		return m.run(c, args[0])
	}
	return c
}

func (m *measure) run(c *cobra.Command, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the scenario: %w", err)
	}
	s, err := gauge.ParseScenario(text)
	if err != nil {
		return err
	}
	if m.policy != "" {
		s.Policy = m.policy
	}
	if m.seed != 0 {
		s.Seed = m.seed
	}
	log, err := os.Create(m.log)
	if err != nil {
		return fmt.Errorf("opening the log: %w", err)
	}
	defer func() { _ = log.Close() }()
	rig, err := gauge.NewRig(c.Context(), s, log)
	if err != nil {
		return err
	}
	defer rig.Close()
	result, err := gauge.RunScenario(c.Context(), s, rig, m.deps.Err)
	if err != nil {
		return err
	}
	if err := m.writeFiles(result); err != nil {
		return err
	}
	return result.Report(rig.Rules()).WriteTable(m.deps.Out)
}

// writeFiles writes the files that the flags name.
func (m *measure) writeFiles(result *gauge.Result) error {
	if m.plot != "" {
		if err := result.WritePlot(m.plot); err != nil {
			return err
		}
	}
	if m.lines == "" {
		return nil
	}
	f, err := os.Create(m.lines)
	if err != nil {
		return fmt.Errorf("opening the file for JSON lines: %w", err)
	}
	if err := result.WriteLines(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
