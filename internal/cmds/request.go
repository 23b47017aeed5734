package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"jasmineshed/pkg/client"
)

// tokenVariable holds the workspace's token, since a flag could be read by
// everyone on the machine.
const tokenVariable = "JASMINESHED_TOKEN"

// request is one run of the command.
type request struct {
	deps      *Deps
	urls      []string
	workspace string
	work      client.Request
	once      bool
	quiet     bool
}

func newRequestCommand(d *Deps) *cobra.Command {
	r := &request{deps: d}
	c := &cobra.Command{
		Use:   "request PIPELINE [INPUT]",
		Short: "Run a pipeline and show what goes on",
		Long: "Run a pipeline and show what goes on. The input is read from standard input\n" +
			"if it isn't given. The workspace's token is taken from " + tokenVariable + ".",
		Args: cobra.RangeArgs(1, 2),
	}
	f := c.Flags()
	f.StringSliceVar(&r.urls, "url", []string{"http://127.0.0.1:7400"}, "base URLs of the fleet")
	f.StringVar(&r.workspace, "workspace", "", "workspace to run it for")
	f.Uint32Var(&r.work.MaxTokens, "max-tokens", 0, "bound on the tokens generated; 0 for none")
	f.DurationVar(&r.work.Budget, "budget", 0, "time limit; 0 takes the pipeline's deadline")
	f.BoolVar(&r.once, "once", false, "get a ticket and run the pipeline at most once")
	f.BoolVar(&r.quiet, "quiet", false, "print only the answer")
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := r.take(args); err != nil {
			return err
		}
		return r.run(c)
	}
	return c
}

func (r *request) take(args []string) error {
	r.work.Pipeline = args[0]
	if len(args) > 1 {
		r.work.Input = args[1]
		return nil
	}
	text, err := io.ReadAll(r.deps.In)
	if err != nil {
		return fmt.Errorf("reading the input: %w", err)
	}
	r.work.Input = strings.TrimSpace(string(text))
	return nil
}

func (r *request) run(c *cobra.Command) error {
	cl, err := client.New(client.Config{
		URLs:      r.urls,
		Workspace: r.workspace,
		Token:     os.Getenv(tokenVariable),
	})
	if err != nil {
		return err
	}
	show := newProgress(r.deps, r.quiet)
	answer, err := r.call(c.Context(), cl, show)
	var refused *client.AnswerError
	if errors.As(err, &refused) {
		show.refusal(refused.Answer)
		return err
	}
	if err != nil {
		return err
	}
	return show.answer(answer)
}

func (r *request) call(ctx context.Context, cl *client.Client, show *progress) (*client.Answer, error) {
	if r.once {
		return cl.RunOnce(ctx, r.work)
	}
	return cl.Stream(ctx, r.work, show.events())
}
