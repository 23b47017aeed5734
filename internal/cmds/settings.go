package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"jasmineshed/internal/prefs"
)

// Settings loads the file that --settings names, or returns the defaults.
func (d *Deps) Settings() (*prefs.Prefs, error) {
	if d.SettingsPath == "" {
		return prefs.Defaults(), nil
	}
	return prefs.Load(d.SettingsPath)
}

func newSettingsCommand(d *Deps) *cobra.Command {
	c := &cobra.Command{
		Use:   "settings",
		Short: "Show or check the settings of a daemon",
	}
	c.AddCommand(newSettingsShowCommand(d), newSettingsCheckCommand(d), newSettingsDocsCommand(d))
	return c
}

func newSettingsShowCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the settings that would be in effect",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p, err := d.Settings()
			if err != nil {
				return err
			}
			return prefs.Show(d.Out, p)
		},
	}
}

func newSettingsCheckCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Print all faults of a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if _, err := prefs.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(d.Out, "settings are right")
			return err
		},
	}
}

func newSettingsDocsCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "docs",
		Short: "Print the documentation of all settings, in Markdown",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return prefs.WriteDocs(d.Out)
		},
	}
}
