package cmds

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	shed "jasmineshed"
	"jasmineshed/internal/rules"
)

// Modes of the directory and the files that rules pack writes.
const (
	packedDirMode  = 0o755
	packedFileMode = 0o644
)

// Errors of the rules commands.
var (
	errRulesRefused   = errors.New("the rules are invalid")
	errUnknownSubject = errors.New("nothing in the rules has this id")
)

func newRulesCommand(d *Deps) *cobra.Command {
	c := &cobra.Command{
		Use:   "rules",
		Short: "Check, explain or pack a rules file",
	}
	c.AddCommand(newRulesCheckCommand(d), newRulesExplainCommand(d), newRulesPackCommand(d))
	return c
}

// loadRules reads and parses the file. It prints every fault, one per line.
func (d *Deps) loadRules(path string) ([]byte, *shed.Rules, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read rules: %w", err)
	}
	r, faults := rules.Parse(text, 0)
	if len(faults) == 0 {
		return text, r, nil
	}
	for _, fault := range faults {
		if _, err := fmt.Fprintln(d.Out, fault); err != nil {
			return nil, nil, err
		}
	}
	return nil, nil, fmt.Errorf("%w: %d faults", errRulesRefused, len(faults))
}

func newRulesCheckCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Print all faults of a rules file, by the same checks as in the daemons",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, r, err := d.loadRules(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(d.Out, "rules are right: %d pipelines, %d servers in %d zones, %d workspaces\n",
				len(r.Pipelines), len(r.Servers), len(r.Zones), len(r.Workspaces))
			return err
		},
	}
}

func newRulesExplainCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "explain FILE SUBJECT",
		Short: "Print the rules that apply to a pipeline, stage, workspace, server, pool, zone or supplier",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, r, err := d.loadRules(args[0])
			if err != nil {
				return err
			}
			lines := rules.Explain(r, args[1])
			if len(lines) == 0 {
				return fmt.Errorf("%w: %s", errUnknownSubject, args[1])
			}
			for _, line := range lines {
				if _, err := fmt.Fprintln(d.Out, line); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func newRulesPackCommand(d *Deps) *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "pack FILE --out DIR",
		Short: "Write the values to publish, one file for each key of the configuration service",
		Long: "Write the values to publish, one file for each key of the configuration service.\n" +
			"Publish the parts first and the key `rules` last: readers follow the index.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, _, err := d.loadRules(args[0])
			if err != nil {
				return err
			}
			return d.writePacked(text, out)
		},
	}
	c.Flags().StringVar(&out, "out", "", "directory to write to")
	_ = c.MarkFlagRequired("out")
	return c
}

func (d *Deps) writePacked(text []byte, dir string) error {
	if err := os.MkdirAll(dir, packedDirMode); err != nil {
		return fmt.Errorf("pack rules: %w", err)
	}
	index, parts := rules.Pack(text)
	for hash, part := range parts {
		if err := os.WriteFile(filepath.Join(dir, rules.PartName(hash)), part, packedFileMode); err != nil {
			return fmt.Errorf("pack rules: %w", err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, rules.IndexKey), index, packedFileMode); err != nil {
		return fmt.Errorf("pack rules: %w", err)
	}
	_, err := fmt.Fprintf(d.Out, "%d parts and the key %s written to %s\n", len(parts), rules.IndexKey, dir)
	return err
}
