package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"jasmineshed/internal/httpd"
	"jasmineshed/internal/prefs"
	"jasmineshed/internal/relay"
	"jasmineshed/internal/telem"
	adapt "jasmineshed/platform"
)

func newRelayCommand(d *Deps) *cobra.Command {
	return &cobra.Command{
		Use:   "relay",
		Short: "Run the daemon that forwards requests without interpreting them",
		Long: "Run the daemon of an entry VM that forwards requests without interpreting them, by the\n" +
			"routes in the platform's store. The first SIGTERM or SIGINT stops it gracefully, the second\n" +
			"cuts off requests in flight, the third ends it at once. SIGHUP reloads the settings.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := d.Settings()
			if err != nil {
				return err
			}
			r, err := newRelay(context.WithoutCancel(c.Context()), d, p)
			if err != nil {
				return err
			}
			return runDaemon(c.Context(), r, func() { r.ReloadSettings(true) })
		},
	}
}

func newRelay(ctx context.Context, d *Deps, p *prefs.Prefs) (*relay.Relay, error) {
	lines := telem.NewAsyncWriter(d.Out)
	log, err := telem.NewLogger(lines, p.Log.Level)
	if err != nil {
		return nil, err
	}
	telem.RedirectStandardLog(log)
	tracing, err := telem.NewTracing(ctx, telem.TraceConfig{
		Exporter: p.Trace.Exporter, File: p.Trace.File, Endpoint: p.Trace.Endpoint,
		Ratio: p.Trace.Ratio, Zone: p.Node.Zone, VM: p.Node.PeerAddress(),
	})
	if err != nil {
		return nil, err
	}
	account, err := newAccount(p)
	if err != nil {
		return nil, err
	}
	listeners, err := relay.Listen(ctx, p)
	if err != nil {
		return nil, err
	}
	cfg := relay.Config{
		Prefs: p, Dialect: adapt.Dialect{}, Log: log, Lines: lines,
		Metrics: telem.NewMetrics(log), Tracing: tracing, Listeners: listeners, Account: account,
		Store: adapt.NewStore(adapt.StoreConfig{
			URL: p.Platform.URL, IdleTimeout: p.Platform.ReadTimeout,
			Dial: httpd.Dialer(p.Relay.Connect, p.Relay.Silence).DialContext,
		}),
	}
	if d.SettingsPath != "" {
		cfg.Reload = d.Settings
	}
	return relay.New(cfg), nil
}
