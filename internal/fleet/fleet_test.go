package fleet

import (
	"context"
	"os"
	"testing"
	"time"

	sample "jasmineshed/examples"
	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"

	"github.com/stretchr/testify/require"
)

// start runs a small fleet that ends with the test.
func start(t *testing.T, cfg Config) *Fleet {
	t.Helper()
	text, err := sample.Rules("small")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	cfg.Rules, cfg.LogTo = text, os.Stderr
	f, err := Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.WaitReady(ctx))
	return f
}

func dial(t *testing.T, f *Fleet) *client.Client {
	t.Helper()
	c, err := client.New(client.Config{URLs: f.CallerURLs(), Workspace: "noord", Token: "demo-noord"})
	require.NoError(t, err)
	return c
}

func TestEveryPipelineEndToEnd(t *testing.T) {
	f := start(t, Config{})
	c := dial(t, f)
	ctx := context.Background()

	const input = "Wind from the west, force six."
	answer, err := c.Run(ctx, client.Request{Pipeline: "caption", Input: input, MaxTokens: 20})
	require.NoError(t, err)
	require.Equal(t, client.Complete, answer.Outcome)
	require.Equal(t, stand.FullText(input, 20), answer.Payload.Text)

	answer, err = c.RunOnce(ctx, client.Request{Pipeline: "warning", Input: input, MaxTokens: 20})
	require.NoError(t, err)
	require.Equal(t, client.Complete, answer.Outcome)
	require.NotEmpty(t, answer.Payload.Receipt)
}
