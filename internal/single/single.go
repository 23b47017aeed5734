// Package single runs one stand-in as a process of its own.
package single

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	shed "jasmineshed"
	"jasmineshed/internal/stand"
)

// Started is the line that a stand-in prints once it serves.
type Started struct {
	Kind string `json:"kind"`
	Addr string `json:"addr"`
	// Admin is where operators publish; only the platform has it.
	Admin string `json:"admin,omitempty"`
}

// Main runs the stand-in that args ask for until SIGTERM or SIGINT, and returns
// the process's exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := command(stdout)
	cmd.SetArgs(args)
	cmd.SetErr(stderr)
	if err := cmd.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func command(stdout io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:          "standin",
		Short:        "Run a stand-in of the platform, an engine or a plain service",
		SilenceUsage: true,
	}
	addr := root.PersistentFlags().String("addr", "127.0.0.1:0", "address to serve at")
	root.AddCommand(platformCmd(addr, stdout), engineCmd(addr, stdout), serviceCmd(addr, stdout))
	return root
}

func platformCmd(addr *string, stdout io.Writer) *cobra.Command {
	var cfg stand.PlatformConfig
	cmd := &cobra.Command{Use: "platform", Short: "Configuration service and VM list"}
	flags := cmd.Flags()
	admin := flags.String("admin", "127.0.0.1:0", "address at which operators publish")
	flags.IntVar(&cfg.ReadsPerSecond, "reads", 0, "reads a second over all readers; 0 means 2000")
	flags.DurationVar(&cfg.VMLag, "vm-lag", 0, "how late the VM list is")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		p := stand.NewPlatform(cfg)
		operators, err := stand.Listen(*admin, p.Admin())
		if err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		started := Started{Kind: cmd.Use, Admin: operators.Addr()}
		err = serve(cmd.Context(), *addr, p, started, stdout)
		return errors.Join(err, operators.Close())
	}
	return cmd
}

func engineCmd(addr *string, stdout io.Writer) *cobra.Command {
	var cfg stand.EngineConfig
	cmd := &cobra.Command{Use: "engine", Short: "Model engine, encoder, retriever or reranker"}
	flags := cmd.Flags()
	flags.StringVar((*string)(&cfg.ID), "id", "engine", "the server's id")
	flags.IntVar(&cfg.Capacity, "capacity", 0, "calls at once when warm; 0 means 8")
	flags.IntVar(&cfg.ColdCapacity, "cold-bears", 0, "calls at once when cold; 0 means 1")
	flags.IntVar(&cfg.WarmAfter, "warm-after", 0, "calls done until warm; 0 starts warm")
	flags.DurationVar(&cfg.OverloadTime, "fall-time", 0, "refusing time after too much load while cold")
	flags.DurationVar(&cfg.TokenTime, "token-time", 0, "time for each token")
	flags.DurationVar(&cfg.PrefillTime, "prefill-time", 0, "time for each input token")
	flags.DurationVar(&cfg.CallTime, "call-time", 0, "time of a call without generation")
	flags.Float64Var(&cfg.LoadSlope, "load-slope", 0, "slowing at full load; 1 doubles the times")
	flags.DurationVar(&cfg.LoadLag, "load-lag", 0, "how late load reports are")
	flags.IntVar(&cfg.CacheEntries, "cache", 0, "entries of the prefix cache")
	flags.BoolVar(&cfg.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
	flags.StringVar(&cfg.OrderToken, "order-token", "", "token that orders must carry")
	flags.StringVar(&cfg.Model, "model", "", "model loaded at the start, model@version")
	flags.StringVar(&cfg.Role, "role", "", "role at the start")
	flags.Uint64Var(&cfg.PriorCalls, "done", 0, "calls completed before the start")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		e := stand.NewEngine(cfg)
		return serve(cmd.Context(), *addr, withRuns(e, &e.Record), Started{Kind: cmd.Use}, stdout)
	}
	return cmd
}

func serviceCmd(addr *string, stdout io.Writer) *cobra.Command {
	cmd := &cobra.Command{Use: "service", Short: "Plain service"}
	flags := cmd.Flags()
	id := flags.String("id", "service", "the server's id")
	capacity := flags.Int("capacity", 0, "calls at once; 0 means 8")
	callTime := flags.Duration("call-time", 10*time.Millisecond, "time of a call")
	done := flags.Uint64("done", 0, "calls completed before the start")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s := stand.NewService(stand.ServiceConfig{
			ID:         shed.ServerID(*id),
			Capacity:   *capacity,
			CallTime:   *callTime,
			PriorCalls: *done,
		})
		return serve(cmd.Context(), *addr, withRuns(s, &s.Record), Started{Kind: cmd.Use}, stdout)
	}
	return cmd
}

// PathRuns is where an engine or a service tells what it has run, as a JSON
// array of stand.Run.
const PathRuns = "/admin/runs"

// withRuns serves the record beside the stand-in.
func withRuns(h http.Handler, record *stand.Record) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The caller may be gone; the record stays for the next one.
		_ = json.NewEncoder(w).Encode(record.Runs())
	})
	return mux
}

// serve prints where it serves, and serves until ctx ends.
func serve(ctx context.Context, addr string, h http.Handler, started Started, stdout io.Writer) error {
	server, err := stand.Listen(addr, h)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	started.Addr = server.Addr()
	if err := json.NewEncoder(stdout).Encode(started); err != nil {
		return errors.Join(fmt.Errorf("print the address: %w", err), server.Close())
	}
	<-ctx.Done()
	return server.Close()
}
