package cmds

import (
	"io"
	"strings"

	"github.com/spf13/cobra"

	sample "jasmineshed/examples"
	"jasmineshed/internal/demo"
	"jasmineshed/internal/prefs"
)

func newDemoCommand(d *Deps) *cobra.Command {
	cfg := demo.Config{Out: d.Out}
	logs := false
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete fleet with stand-ins in this process",
		Long: "Run a complete fleet with stand-ins in this process, on loopback, and send one request\n" +
			"through each pipeline. The exit code is 0 only if every answer was complete.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var to io.Writer
			if logs {
				to = d.Err
			}
			cfg.LogTo = to
			account, err := newAccount(prefs.Defaults())
			if err != nil {
				return err
			}
			cfg.Account = account
			return demo.Run(c.Context(), cfg)
		},
	}
	f := c.Flags()
	f.StringVar(&cfg.Example, "example", "weerbeeld", "rules to run: "+strings.Join(sample.Names(), ", "))
	f.BoolVar(&cfg.KeepRunning, "keep", false, "keep the fleet running afterwards and print its addresses")
	f.BoolVar(&logs, "logs", false, "write the daemons' logs to standard error")
	return c
}
