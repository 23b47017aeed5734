package procs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

const tokens = 40

// Guards against incomplete or foreign answers through any VM of both examples, and against
// ticketed publications that run twice: a ticket is used through another VM than the one that
// issued it, and again through a third one. The ticket's home must run it once, keep the answer
// and return the same one each time.
func TestExamplesEndToEnd(t *testing.T) {
	for _, example := range []string{"weerbeeld", "cantabrico"} {
		t.Run(example, func(t *testing.T) {
			f := startFleet(t, fleetConfig{example: example})
			idempotent, once := f.pipelines()
			require.NotEmpty(t, idempotent)
			require.NotEmpty(t, once)
			for i := range f.vms {
				for _, p := range idempotent {
					f.requireAnswer(f.vms[i], p)
				}
				for _, p := range once {
					f.requirePublishedOnce(i, p)
				}
			}
		})
	}
}

func (f *fleet) requireAnswer(v *vm, pipeline string) {
	f.t.Helper()
	input := fmt.Sprintf("%s through VM %d: wind from the west", pipeline, v.index)
	answer, err := f.newClient(-1, v).Run(f.t.Context(), client.Request{Pipeline: pipeline, Input: input, MaxTokens: tokens})
	require.NoError(f.t, err, "%s through %s", pipeline, v.name)
	require.Equal(f.t, stand.FullText(input, tokens), answer.Payload.Text)
}

func (f *fleet) requirePublishedOnce(i int, pipeline string) {
	f.t.Helper()
	issuer, runner, third := f.vms[i], f.vms[(i+1)%len(f.vms)], f.vms[(i+3)%len(f.vms)]
	ctx := f.t.Context()
	ticket, err := f.newClient(-1, issuer).Ticket(ctx, pipeline)
	require.NoError(f.t, err)
	work := client.Request{
		Pipeline: pipeline, MaxTokens: tokens,
		Input: fmt.Sprintf("%s by a ticket of VM %d", pipeline, i),
	}
	first, err := f.newClient(-1, runner).RunTicket(ctx, ticket.RequestID, work)
	require.NoError(f.t, err, "ticket of %s through %s", issuer.name, runner.name)
	require.Equal(f.t, stand.FullText(work.Input, tokens), first.Payload.Text)
	require.NotEmpty(f.t, first.Payload.Receipt)

	again, err := f.newClient(-1, third).RunTicket(ctx, ticket.RequestID, work)
	require.NoError(f.t, err)
	require.Equal(f.t, first.Payload, again.Payload)
	result, err := f.newClient(-1, third).Result(ctx, ticket.RequestID)
	require.NoError(f.t, err)
	require.Equal(f.t, first.Payload, result.Payload)
	require.Equal(f.t, 1, f.publishCounts()[ticket.RequestID])
}
