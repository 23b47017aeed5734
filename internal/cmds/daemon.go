package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// daemon runs until it is stopped.
type daemon interface {
	// Run returns after a graceful stop, or as soon as ctx ends.
	Run(ctx context.Context) error
	// Stop starts a graceful stop. With force, serve's daemon skips the notice period before
	// it, and the relay aborts requests in flight.
	Stop(force bool)
}

// runDaemon runs a daemon and handles signals: the first SIGTERM or SIGINT stops it
// gracefully, the second one calls Stop with force, the third one ends it at once.
// SIGHUP calls reload, which may do nothing, and never ends the daemon.
func runDaemon(ctx context.Context, d daemon, reload func()) error {
	// The command's own context ends with the first signal, but that signal must
	// only start the graceful stop.
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
