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

// requestTimeout bounds one request with all its retries, far above any deadline of the examples.
const requestTimeout = 30 * time.Second

// requestEnd is the outcome of one request for its caller.
type requestEnd struct {
	input string
	// ticket is empty for an idempotent request.
	ticket string
	answer *client.Answer
	err    error
}

// outcome returns the answer's outcome, or "" if no answer arrived.
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

// reason returns the answer's reason, or "" if there is none.
func (e requestEnd) reason() string {
	var other *client.AnswerError
	if errors.As(e.err, &other) {
		return other.Answer.Reason
	}
	return ""
}

// load runs callers that send one request after the other until it is finished.
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

// add starts callers, whose requests are counted by group.
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

// done returns the number of requests of a group that have ended.
func (l *load) done(group string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends[group])
}

// awaitMore waits until more further requests of the group have ended.
func (l *load) awaitMore(group string, more int) {
	l.f.t.Helper()
	want := l.done(group) + more
	await(l.f.t, func() bool { return l.done(group) >= want }, "more requests of "+group)
}

// finish stops the callers once their requests in flight have ended, and returns all outcomes.
func (l *load) finish() map[string][]requestEnd {
	l.stop()
	_ = l.workers.Wait()
	return l.ends
}

// logOutcomes logs the number of requests by outcome and reason.
func (l *load) logOutcomes() {
	for group, ends := range l.ends {
		count := map[string]int{}
		for _, e := range ends {
			count[string(e.outcome())+" "+e.reason()]++
		}
		l.f.t.Logf("%s: %v", group, count)
	}
}

// captionRequest returns a function that requests a caption, which is idempotent.
func captionRequest(c *client.Client) func(context.Context, string) requestEnd {
	return func(ctx context.Context, input string) requestEnd {
		answer, err := c.Run(ctx, client.Request{Pipeline: "caption", Input: input, MaxTokens: tokens})
		return requestEnd{answer: answer, err: err}
	}
}

// warningRequest returns a function that publishes a warning with a ticket of its own.
func warningRequest(c *client.Client) func(context.Context, string) requestEnd {
	return func(ctx context.Context, input string) requestEnd {
		ticket, err := c.Ticket(ctx, "warning")
		if err != nil {
			return requestEnd{err: err}
		}
		work := client.Request{Pipeline: "warning", Input: input, MaxTokens: tokens}
		answer, err := c.RunTicket(ctx, ticket.RequestID, work)
		return requestEnd{ticket: ticket.RequestID, answer: answer, err: err}
	}
}

// requireAllComplete fails unless each request got its own complete answer.
func (f *fleet) requireAllComplete(group string, ends []requestEnd) {
	f.t.Helper()
	require.NotEmpty(f.t, ends, group)
	for _, e := range ends {
		if e.err != nil {
			require.NoError(f.t, e.err, "%s of %d\n%s", e.input, len(ends), f.explain(e))
		}
		require.Equal(f.t, stand.FullText(e.input, tokens), e.answer.Payload.Text, e.input)
	}
}

// explain returns the daemons' notes about a failed request.
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

// requireTruthfulOutcomes fails unless the outcome of each ticketed request agrees with the runs
// at the plain services: one if complete, at most one if unknown, else none.
func (f *fleet) requireTruthfulOutcomes(ends []requestEnd) {
	f.t.Helper()
	published := f.publishCounts()
	for _, e := range ends {
		runs := published[e.ticket]
		switch e.outcome() {
		case client.Complete:
			require.Equal(f.t, 1, runs, e.input)
			require.Equal(f.t, stand.FullText(e.input, tokens), e.answer.Payload.Text, e.input)
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
