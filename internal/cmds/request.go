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

// tokenVariable is the environment variable with the workspace's token; a flag
// would be visible to every user of the machine.
const tokenVariable = "JASMINESHED_TOKEN"

// request is one run of the command request.
type request struct {
	deps      *Deps
	urls      []string
	workspace string
	params    client.Request
	once      bool
	quiet     bool
}

func newRequestCommand(d *Deps) *cobra.Command {
	r := &request{deps: d}
	c := &cobra.Command{
		Use:   "request PIPELINE [INPUT]",
		Short: "Run a pipeline and show its progress",
		Long: "Run a pipeline and show its progress. The input is read from standard input\n" +
			"if it isn't given. The workspace's token is read from the variable " + tokenVariable + ".",
		Args: cobra.RangeArgs(1, 2),
	}
	f := c.Flags()
	f.StringSliceVar(&r.urls, "url", []string{"http://127.0.0.1:7400"}, "base URLs of the fleet")
	f.StringVar(&r.workspace, "workspace", "", "workspace to run the pipeline for")
	f.Uint32Var(&r.params.MaxTokens, "max-tokens", 0, "limit on the tokens generated; 0 for none")
	f.DurationVar(&r.params.Budget, "budget", 0, "time limit; 0 for the pipeline's deadline")
	f.BoolVar(&r.once, "once", false, "get a ticket and run the pipeline at most once")
	f.BoolVar(&r.quiet, "quiet", false, "print only the answer")
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := r.parseArgs(args); err != nil {
			return err
		}
		return r.run(c)
	}
	return c
}

func (r *request) parseArgs(args []string) error {
	r.params.Pipeline = args[0]
	if len(args) > 1 {
		r.params.Input = args[1]
		return nil
	}
	text, err := io.ReadAll(r.deps.In)
	if err != nil {
		return fmt.Errorf("reading the input: %w", err)
	}
	r.params.Input = strings.TrimSpace(string(text))
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
		return cl.RunOnce(ctx, r.params)
	}
	return cl.Stream(ctx, r.params, show.events())
}
