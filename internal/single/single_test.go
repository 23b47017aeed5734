package single

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/wire"
)

func TestServesWhereItSays(t *testing.T) {
	cases := []struct {
		name string
		args []string
		path string
	}{
		{"platform", []string{"platform", "--vm-lag", "1s"}, wire.PathVMs},
		{"engine", []string{"engine", "--capacity", "3"}, wire.PathLoad},
		{"engine", []string{"engine", "--done", "7", "--role", "decode"}, PathRuns},
		{"service", []string{"service", "--done", "7"}, wire.PathLoad},
		{"service", []string{"service"}, PathRuns},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			out, in := io.Pipe()
			cmd := newRootCommand(in)
			cmd.SetArgs(c.args)
			var group errgroup.Group
			group.Go(func() error { return cmd.ExecuteContext(ctx) })
			line, err := bufio.NewReader(out).ReadBytes('\n')
			require.NoError(t, err)
			var started Started
			require.NoError(t, json.Unmarshal(line, &started))
			require.Equal(t, c.name, started.Kind)
			require.Equal(t, c.name == "platform", started.Admin != "")
			resp, err := http.Get("http://" + started.Addr + c.path)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusOK, resp.StatusCode)
			stop()
			require.NoError(t, group.Wait())
		})
	}
}

func TestAddressInUse(t *testing.T) {
	cmd := newRootCommand(io.Discard)
	cmd.SetErr(io.Discard)
	cmd.SetArgs([]string{"engine", "--addr", "256.0.0.1:1"})
	require.ErrorContains(t, cmd.ExecuteContext(t.Context()), "listen")
}
