package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"jasmineshed/internal/stand"
	"jasmineshed/pkg/client"
)

// callTime bounds one request with all its repeats, far above any deadline of
// the examples.
const requestTimeout = 30 * time.Second

// requestEnd is how one request ended for its caller.
type requestEnd struct {
	input string
	// ticket is empty for a request that may be repeated.
	ticket string
	answer *client.Answer
	err    error
}

// outcome is empty if no answer came.
func (e requestEnd) outcome() client.Outcome {
	if e.err == nil {
		return e.answer.Outcome
	}
	var other *client.AnswerError
	if errors.As(e.err, &other) {
		return other.Answer.Outcome
	}
	return ""
}

// reason is empty if there is none.
func (e requestEnd) reason() string {
	var other *client.AnswerError
	if errors.As(e.err, &other) {
		return other.Answer.Reason
	}
	return ""
}

// load is what callers ask for, one request after the other, until it is ended.
type load struct {
	f       *fleet
	ctx     context.Context
	stop    context.CancelFunc
	workers errgroup.Group
	count   atomic.Int64

	mu   sync.Mutex
	ends map[string][]requestEnd
}

func (f *fleet) newLoad() *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{f: f, ctx: ctx, stop: stop, ends: map[string][]requestEnd{}}
	f.t.Cleanup(func() {
		l.finish()
		l.logOutcomes()
	})
	return l
}

// add starts callers, whose requests are told apart by group.
func (l *load) add(group string, callers int, send func(ctx context.Context, input string) requestEnd) {
	for range callers {
		l.workers.Go(func() error {
			for l.ctx.Err() == nil {
				input := fmt.Sprintf("%s, request %d", group, l.count.Add(1))
				ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
				e := send(ctx, input)
				cancel()
				e.input = input
				l.mu.Lock()
				l.ends[group] = append(l.ends[group], e)
				l.mu.Unlock()
			}
			return nil
		})
	}
}

// done counts the requests of a group that have ended.
func (l *load) done(group string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends[group])
}

// awaitMore waits until so many more requests of the group have ended.
func (l *load) awaitMore(group string, more int) {
	l.f.t.Helper()
	want := l.done(group) + more
	await(l.f.t, func() bool { return l.done(group) >= want }, "more requests of "+group)
}

// finish stops the callers after the requests that they wait for.
func (l *load) finish() map[string][]requestEnd {
	l.stop()
	_ = l.workers.Wait()
	return l.ends
}

// logOutcomes logs how the requests ended.
func (l *load) logOutcomes() {
	for group, ends := range l.ends {
		count := map[string]int{}
		for _, e := range ends {
			count[string(e.outcome())+" "+e.reason()]++
		}
		l.f.t.Logf("%s: %v", group, count)
	}
}

// captionRequest asks for captions, which may be repeated.
func captionRequest(c *client.Client) func(context.Context, string) requestEnd {
	return func(ctx context.Context, input string) requestEnd {
		answer, err := c.Run(ctx, client.Work{Pipeline: "caption", Input: input, MaxTokens: tokens})
		return requestEnd{answer: answer, err: err}
	}
}

// warningRequest pushes warnings, each by a ticket.
func warningRequest(c *client.Client) func(context.Context, string) requestEnd {
	return func(ctx context.Context, input string) requestEnd {
		ticket, err := c.Ticket(ctx, "warning")
		if err != nil {
			return requestEnd{err: err}
		}
		work := client.Work{Pipeline: "warning", Input: input, MaxTokens: tokens}
		answer, err := c.RunTicket(ctx, ticket.RequestID, work)
		return requestEnd{ticket: ticket.RequestID, answer: answer, err: err}
	}
}

// requireAllComplete fails unless every one of the requests got its own whole answer.
func (f *fleet) requireAllComplete(group string, ends []requestEnd) {
	f.t.Helper()
	require.NotEmpty(f.t, ends, group)
	for _, e := range ends {
		if e.err != nil {
			require.NoError(f.t, e.err, "%s of %d\n%s", e.input, len(ends), f.explain(e))
		}
		require.Equal(f.t, stand.WholeText(e.input, tokens), e.answer.Payload.Text, e.input)
	}
}

// explain is what the daemons noted of the request.
func (f *fleet) explain(e requestEnd) string {
	var other *client.AnswerError
	if !errors.As(e.err, &other) {
		return ""
	}
	text := fmt.Sprintf("%+v\n", other.Answer)
	for _, v := range f.vms {
		var notes []json.RawMessage
		send(http.MethodGet, "http://"+v.operators+"/explain/"+other.Answer.RequestID, nil, &notes)
		for _, n := range notes {
			var line bytes.Buffer
			_ = json.Compact(&line, n)
			text += fmt.Sprintf("%s %s\n", v.name, &line)
		}
	}
	return text
}

// requireTruthfulOutcomes fails unless the outcome of each ticketed request agrees with what the
// plain services ran: complete once, unknown once at most, else never.
func (f *fleet) requireTruthfulOutcomes(ends []requestEnd) {
	f.t.Helper()
	published := f.publishCounts()
	for _, e := range ends {
		runs := published[e.ticket]
		switch e.outcome() {
		case client.Complete:
			require.Equal(f.t, 1, runs, e.input)
			require.Equal(f.t, stand.WholeText(e.input, tokens), e.answer.Payload.Text, e.input)
		case client.NotRun, client.Refused:
			require.Zero(f.t, runs, "%s: %v", e.input, e.err)
		default:
			require.LessOrEqual(f.t, runs, 1, "%s: %v", e.input, e.err)
		}
	}
	for ticket, runs := range published {
		require.Equal(f.t, 1, runs, ticket)
	}
}
