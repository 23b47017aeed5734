package procs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/pkg/client"
)

// The platform is down, so zone b, which has no service that publishes, may hand
// no publication to another zone. Warnings with tickets of zone b wait there
// until too little time is left. Their callers, who came by other VMs, are told
// that they were refused and so were not published. "Unknown" would make an
// editor look at every playout; it is left to those whose word comes too late.
func TestRefusalOfTheTicketsHomeIsTold(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "small"})
	issuer := f.vms[perZone]
	require.Equal(t, "b", issuer.zone)
	f.platform.Kill()
	await(t, func() bool { return !f.anyConfirmed() }, "the last confirmation is too old")

	var refused, unknown atomic.Int64
	var callers errgroup.Group
	for _, v := range f.vms {
		if v == issuer {
			continue
		}
		for i := range 4 {
			input := fmt.Sprintf("warning %d through VM %d", i, v.index)
			ticketed := ticketCaller{from: f.newClient(-1, issuer), to: f.newClient(-1, v)}
			callers.Go(func() error {
				switch end := ticketed.warning(t.Context(), input); end.outcome() {
				case client.Refused:
					refused.Add(1)
				case client.Unknown:
					unknown.Add(1)
				default:
					return fmt.Errorf("%s: %w", input, end.err)
				}
				return nil
			})
		}
	}
	require.NoError(t, callers.Wait())
	require.Empty(t, f.publishCounts())
	t.Logf("refused %d, unknown %d", refused.Load(), unknown.Load())
	require.Greater(t, refused.Load(), unknown.Load())
}

// ticketCaller gets a ticket from one VM and uses it at another.
type ticketCaller struct {
	from, to *client.Client
}

func (o ticketCaller) warning(ctx context.Context, input string) requestEnd {
	ticket, err := o.from.Ticket(ctx, "warning")
	if err != nil {
		return requestEnd{err: err}
	}
	work := client.Work{Pipeline: "warning", Input: input, MaxTokens: tokens}
	answer, err := o.to.RunTicket(ctx, ticket.RequestID, work)
	return requestEnd{ticket: ticket.RequestID, answer: answer, err: err}
}
