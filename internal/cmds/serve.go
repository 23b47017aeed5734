package cmds

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"jasmineshed/internal/node"
)

// orderTokenVariable is the environment variable with the token that is sent with
// orders to engines, for those that authenticate the sender.
const orderTokenVariable = "JASMINESHED_ORDER_TOKEN"

func newServeCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of an entry VM",
		Long: "Run the daemon of an entry VM. The first SIGTERM or SIGINT stops it gracefully,\n" +
			"the second skips the notice period, the third ends it at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := d.Settings()
			if err != nil {
				return err
			}
			account, err := newAccount(p)
			if err != nil {
				return err
			}
			n, err := node.New(context.WithoutCancel(c.Context()), node.Config{
				Prefs: p, LogTo: d.Err, OrderToken: os.Getenv(orderTokenVariable), Account: account,
			})
			if err != nil {
				return err
			}
			return runDaemon(c.Context(), n, func() {})
		},
	}
}
