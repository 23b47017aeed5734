package cmds

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newVersionCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(d.Out, "jasmineshed", d.Version)
			return err
		},
	}
}
