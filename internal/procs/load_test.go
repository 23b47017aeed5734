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
const callTime = 30 * time.Second

// end is how one request ended for its caller.
type end struct {
	input string
	// ticket is empty for a request that may be repeated.
	ticket string
	answer *client.Answer
	err    error
}

// outcome is empty if no answer came.
func (e end) outcome() client.Outcome {
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
func (e end) reason() string {
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
	ends map[string][]end
}

func (f *fleet) load() *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{f: f, ctx: ctx, stop: stop, ends: map[string][]end{}}
	f.t.Cleanup(func() {
		l.finish()
		l.tell()
	})
	return l
}

// add starts callers, whose requests are told apart by group.
func (l *load) add(group string, callers int, ask func(ctx context.Context, input string) end) {
	for range callers {
		l.workers.Go(func() error {
			for l.ctx.Err() == nil {
				input := fmt.Sprintf("%s, request %d", group, l.count.Add(1))
				ctx, cancel := context.WithTimeout(context.Background(), callTime)
				e := ask(ctx, input)
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

// goOn waits until so many more requests of the group have ended.
func (l *load) goOn(group string, more int) {
	l.f.t.Helper()
	want := l.done(group) + more
	await(l.f.t, func() bool { return l.done(group) >= want }, "more requests of "+group)
}

// finish stops the callers after the requests that they wait for.
func (l *load) finish() map[string][]end {
	l.stop()
	_ = l.workers.Wait()
	return l.ends
}

// tell logs how the requests ended.
func (l *load) tell() {
	for group, ends := range l.ends {
		count := map[string]int{}
		for _, e := range ends {
			count[string(e.outcome())+" "+e.reason()]++
		}
		l.f.t.Logf("%s: %v", group, count)
	}
}

// captions asks for captions, which may be repeated.
func captions(c *client.Client) func(context.Context, string) end {
	return func(ctx context.Context, input string) end {
		answer, err := c.Run(ctx, client.Request{Pipeline: "caption", Input: input, MaxTokens: tokens})
		return end{answer: answer, err: err}
	}
}

// warnings pushes warnings, each by a ticket.
func warnings(c *client.Client) func(context.Context, string) end {
	return func(ctx context.Context, input string) end {
		ticket, err := c.Ticket(ctx, "warning")
		if err != nil {
			return end{err: err}
		}
		work := client.Request{Pipeline: "warning", Input: input, MaxTokens: tokens}
		answer, err := c.RunTicket(ctx, ticket.RequestID, work)
		return end{ticket: ticket.RequestID, answer: answer, err: err}
	}
}

// wholeAll fails unless every one of the requests got its own whole answer.
func (f *fleet) wholeAll(group string, ends []end) {
	f.t.Helper()
	require.NotEmpty(f.t, ends, group)
	for _, e := range ends {
		if e.err != nil {
			require.NoError(f.t, e.err, "%s of %d\n%s", e.input, len(ends), f.story(e))
		}
		require.Equal(f.t, stand.FullText(e.input, tokens), e.answer.Payload.Text, e.input)
	}
}

// story is what the daemons noted of the request.
func (f *fleet) story(e end) string {
	var other *client.AnswerError
	if !errors.As(e.err, &other) {
		return ""
	}
	story := fmt.Sprintf("%+v\n", other.Answer)
	for _, v := range f.vms {
		var notes []json.RawMessage
		send(http.MethodGet, "http://"+v.operators+"/explain/"+other.Answer.RequestID, nil, &notes)
		for _, n := range notes {
			var line bytes.Buffer
			_ = json.Compact(&line, n)
			story += fmt.Sprintf("%s %s\n", v.name, &line)
		}
	}
	return story
}

// trueAll fails unless the outcome of each ticketed request agrees with what the
// plain services ran: complete once, unknown once at most, else never.
func (f *fleet) trueAll(ends []end) {
	f.t.Helper()
	published := f.published()
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
