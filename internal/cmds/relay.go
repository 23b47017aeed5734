package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/relay"
	"jasmineshed/internal/telem"
	adapt "jasmineshed/platform"
)

func newRelayCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "relay",
		Short: "Run the daemon that passes requests on unread",
		Long: "Run the daemon of an entry VM that passes requests on unread, by the routes that\n" +
			"lie in the platform's store. SIGTERM or SIGINT stops it gracefully, a second one at\n" +
			"once. SIGHUP reads the settings again.",
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
			r, err := newRelay(ctx, d, p)
			if err != nil {
				return err
			}
			return runRelay(ctx, cancel, r)
		},
	}
}

func newRelay(ctx context.Context, d *Deps, p *prefs.Prefs) (*relay.Relay, error) {
	lines := telem.NewAsync(d.Out)
	log, err := telem.NewLogger(lines, p.Log.Level)
	if err != nil {
		return nil, err
	}
	tracing, err := telem.NewTracing(ctx, telem.TraceConfig{
		Exporter: p.Trace.Exporter, File: p.Trace.File, Endpoint: p.Trace.Endpoint,
		Ratio: p.Trace.Ratio, Zone: p.Node.Zone, VM: p.Node.Reach(),
	})
	if err != nil {
		return nil, err
	}
	listeners, err := relay.Listen(ctx, p)
	if err != nil {
		return nil, err
	}
	cfg := relay.Config{
		Prefs: p, Dialect: adapt.Dialect{}, Log: log, Lines: lines,
		Metrics: telem.NewMetrics(log), Tracing: tracing, Listeners: listeners,
		Store: adapt.NewStore(adapt.StoreConfig{
			URL: p.Platform.URL, Timeout: p.Platform.ReadTimeout,
			Dial: httpd.Dialer(p.Relay.Connect, p.Relay.Silence).DialContext,
		}),
	}
	if d.SettingsPath != "" {
		cfg.Reload = d.Settings
	}
	return relay.New(cfg), nil
}

// runRelay runs the daemon and passes signals on to it.
func runRelay(ctx context.Context, cancel context.CancelFunc, r *relay.Relay) error {
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
					r.ReloadSettings(true)
					continue
				}
				if stops++; stops > 1 {
					cancel()
				}
				r.Stop()
			}
		}
	})
	err := r.Run(ctx)
	cancel()
	_ = g.Wait()
	return err
}
