package procs

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// Guards against requests that fail during a rolling restart. Each VM in turn gets SIGTERM under
// load and is restarted at its old address. It must report not ready at once, serve on while the
// balancer notices, finish the requests that it has accepted, and exit by itself. No caller that
// used a ready VM may lose its request, and tickets that another VM issued must still run.
func TestRollingRestartUnderLoad(t *testing.T) {
	f := startFleet(t, fleetConfig{example: "small"})
	l := f.newLoad()
	b := newBalancer(f)
	l.add("captions", 6, b.caption)
	l.add("warnings", 3, b.warning)
	l.awaitMore("warnings", 5)
	for _, v := range f.vms {
		v.signal(syscall.SIGTERM)
		v.awaitExit()
		f.startVM(v)
		f.awaitSettled(f.vms...)
		l.awaitMore("captions", 10)
	}
	ends := l.finish()

	f.requireAllComplete("captions", ends["captions"])
	f.requireTruthfulOutcomes(ends["warnings"])
	for _, e := range ends["warnings"] {
		require.NoError(t, e.err, e.input)
		require.Equal(t, stand.FullText(e.input, tokens), e.answer.Payload.Text)
	}
}

// balancer sends each call to the next VM in turn that has just reported ready. It does not retry
// failed calls.
type balancer struct {
	vms     []*vm
	clients []*client.Client
	next    atomic.Int64
}

func newBalancer(f *fleet) *balancer {
	b := &balancer{vms: f.vms}
	for _, v := range f.vms {
		b.clients = append(b.clients, f.newClient(-1, v))
	}
	return b
}

// errNoVM is returned if the caller's context ended before any VM was ready.
var errNoVM = errors.New("no VM is ready")

// callReady makes the call at one ready VM. It continues with the next one only after the answer
// that the call was not run because the VM is stopping, and if that VM now reports not ready.
func (b *balancer) callReady(ctx context.Context, call func(c *client.Client) error) error {
	for ctx.Err() == nil {
		i := int(b.next.Add(1)) % len(b.vms)
		v := b.vms[i]
		if !v.ready() {
			continue
		}
		err := call(b.clients[i])
		if !refusedByStop(err) || v.ready() {
			return err
		}
	}
	return errNoVM
}

func refusedByStop(err error) bool {
	var refused *client.AnswerError
	return errors.As(err, &refused) && refused.Answer.Outcome == client.NotRun && refused.Answer.Reason == "stopping"
}

func (b *balancer) caption(ctx context.Context, input string) requestEnd {
	var e requestEnd
	e.err = b.callReady(ctx, func(c *client.Client) error {
		e = captionRequest(c)(ctx, input)
		return e.err
	})
	return e
}

// warning gets its ticket from one VM and uses it at another.
func (b *balancer) warning(ctx context.Context, input string) requestEnd {
	var e requestEnd
	e.err = b.callReady(ctx, func(c *client.Client) error {
		ticket, err := c.Ticket(ctx, "warning")
		if err == nil {
			e.ticket = ticket.RequestID
		}
		return err
	})
	if e.err != nil {
		return e
	}
	work := client.Request{Pipeline: "warning", Input: input, MaxTokens: tokens}
	e.err = b.callReady(ctx, func(c *client.Client) error {
		var err error
		e.answer, err = c.RunTicket(ctx, e.ticket, work)
		return err
	})
	return e
}
