package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/node"
)

// orderTokenVariable holds what goes with orders to engines that check who
// gives them.
const orderTokenVariable = "JASMINESHED_ORDER_TOKEN"

func newServeCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of an entry VM",
		Long: "Run the daemon of an entry VM. The first SIGTERM or SIGINT stops it gracefully,\n" +
			"the second one hurries, the third one ends it at once.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := d.Settings()
			if err != nil {
				return err
			}
			// The command's own context ends with the first signal, which must
			// only begin the graceful stop.
			ctx, cancel := context.WithCancel(context.WithoutCancel(c.Context()))
			defer cancel()
			n, err := node.New(ctx, node.Config{Prefs: p, LogTo: d.Err, OrderToken: os.Getenv(orderTokenVariable)})
			if err != nil {
				return err
			}
			return serve(ctx, cancel, n)
		},
	}
}

// serve runs the daemon and passes signals on to it.
func serve(ctx context.Context, cancel context.CancelFunc, n *node.Node) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	var g errgroup.Group
	g.Go(func() error {
		for seen := 0; ; seen++ {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
			}
			switch seen {
			case 0, 1:
				n.Stop(seen > 0)
			default:
				cancel()
			}
		}
	})
	err := n.Run(ctx)
	cancel()
	_ = g.Wait()
	return err
}
