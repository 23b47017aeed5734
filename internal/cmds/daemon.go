package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// daemon is what runs until it is told to stop.
type daemon interface {
	// Run ends after a graceful stop, or at once with ctx.
	Run(ctx context.Context) error
	// Stop asks for a graceful stop; with hurry, for a quick one.
	Stop(skipNotice bool)
}

// runDaemon runs a daemon and passes signals on to it: the first SIGTERM or
// SIGINT stops it gracefully, the second one hurries, the third one ends it at
// once. SIGHUP reads the settings again, where reload does that, and never ends
// it.
func runDaemon(ctx context.Context, d daemon, reload func()) error {
	// The command's own context ends with the first signal, which must only
	// begin the graceful stop.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	var g errgroup.Group
	g.Go(func() error {
		stops := 0
		for {
			select {
			case <-ctx.Done():
				return nil
			case s := <-signals:
				if s == syscall.SIGHUP {
					reload()
					continue
				}
				stops++
				if stops > 2 {
					cancel()
				}
				d.Stop(stops > 1)
			}
		}
	})
	err := d.Run(ctx)
	cancel()
	_ = g.Wait()
	return err
}
