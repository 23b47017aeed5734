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

// Guards against refusals by a ticket's home that reach the caller as "unknown", which would make
// an editor check every playout. The platform is down, so zone b, which has no publishing service,
// must not forward a publication to another zone: warnings with tickets of zone b wait there until
// too little time is left. Most of their callers, who use other VMs, must be answered "refused";
// "unknown" is only for those whose refusal arrives too late.
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
	work := client.Request{Pipeline: "warning", Input: input, MaxTokens: tokens}
	answer, err := o.to.RunTicket(ctx, ticket.RequestID, work)
	return requestEnd{ticket: ticket.RequestID, answer: answer, err: err}
}
