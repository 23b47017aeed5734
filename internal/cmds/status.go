package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"
)

// operatorTimeout bounds a call to the operators' listener.
const operatorTimeout = 10 * time.Second

// addOperatorsFlag adds the flag with the URL of the operators' listener.
func addOperatorsFlag(c *cobra.Command) *string {
	return c.Flags().String("operators", "http://127.0.0.1:7402", "base URL of a daemon's operators' listener")
}

func newStatusCommand(d *Deps) *cobra.Command {
	c := &cobra.Command{
		Use:   "status",
		Short: "Print the current view of a daemon",
		Args:  cobra.NoArgs,
	}
	base := addOperatorsFlag(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		return d.printOperator(c.Context(), *base, "/status")
	}
	return c
}

func newExplainCommand(d *Deps) *cobra.Command {
	c := &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Print the decisions of a daemon on a request and their reasons",
		Args:  cobra.ExactArgs(1),
	}
	base := addOperatorsFlag(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return d.printOperator(c.Context(), *base, "/explain/"+url.PathEscape(args[0]))
	}
	return c
}

// printOperator prints a page of the operators' listener.
func (d *Deps) printOperator(ctx context.Context, base, path string) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return fmt.Errorf("asking the daemon: %w", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("asking the daemon: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(d.Out, res.Body); err != nil {
		return fmt.Errorf("reading the daemon's answer: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("the daemon says %s", res.Status)
	}
	return nil
}
