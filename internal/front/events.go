package front

import (
	"encoding/json"
	"fmt"
	"math"
	"sync"
	"time"

	shed "jasmineshed"
	pipehttp "jasmineshed/internal/gen/http/pipelines/server"
	"jasmineshed/internal/gen/pipelines"
)

// Kinds of events in a stream.
const (
	eventStage     = "stage"
	eventText      = "text"
	eventReset     = "reset"
	eventHeartbeat = "beat"
	eventAnswer    = "answer"
)

// textEvent is the next piece of a stage's text; without text it is a reset.
type textEvent struct {
	Stage string `json:"stage"`
	Text  string `json:"text,omitempty"`
}

// stageEvent says that a stage has ended well.
type stageEvent struct {
	Stage    string  `json:"stage"`
	Server   string  `json:"server,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Attempts uint16  `json:"attempts"`
	TookMs   float64 `json:"took_ms"`
	Tokens   uint32  `json:"tokens"`
}

// eventStream writes one stream.
type eventStream struct {
	mu       sync.Mutex
	stream   pipelines.StreamServerStream
	interval time.Duration
	timer    *time.Timer
	// started: an event has left, and with it the status line.
	started bool
	// sentRecently: an event has left since the last beat was due.
	sentRecently bool
	// done: the handler is about to return; nothing may be written any more.
	done bool
}

func newEventStream(stream pipelines.StreamServerStream, period time.Duration) *eventStream {
	e := &eventStream{stream: stream, interval: period}
	// beat uses the timer without the lock, so it may not run before the timer
	// is in its place.
	e.timer = time.AfterFunc(math.MaxInt64, e.heartbeat)
	e.timer.Reset(period)
	return e
}

// heartbeat keeps a silent stream apart from a dead connection: a caller that hears
// nothing for a few beats knows that something between has lost track of it.
func (e *eventStream) heartbeat() {
	// Whoever holds the lock is writing, and that is as good as a beat. Waiting
	// for a write that blocks would only pile up.
	if !e.mu.TryLock() {
		e.timer.Reset(e.interval)
		return
	}
	defer e.mu.Unlock()
	if e.done {
		return
	}
	if !e.sentRecently {
		e.sendLocked(eventHeartbeat, "{}")
	}
	e.sentRecently = false
	e.timer.Reset(e.interval)
}

func (e *eventStream) sendUpdate(u shed.Update) {
	stage := string(u.Stage)
	if u.Reset {
		e.sendJSON(eventReset, textEvent{Stage: stage})
	}
	if u.Text != "" {
		e.sendJSON(eventText, textEvent{Stage: stage, Text: u.Text})
	}
	if u.Done != nil {
		e.sendJSON(eventStage, newStageEvent(u.Done))
	}
}

func newStageEvent(r *shed.StageReport) stageEvent {
	return stageEvent{
		Stage:    string(r.Stage),
		Server:   string(r.Server),
		Zone:     string(r.Zone),
		Attempts: r.Attempts,
		TookMs:   float64(r.Took.Microseconds()) / 1000,
		Tokens:   uint32(r.Tokens),
	}
}

// sendJSON sends v, which has only fields that can be marshalled. JSON stands
// in one line, so no text can end an event early.
func (e *eventStream) sendJSON(kind string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendLocked(kind, string(data))
}

// sendLocked needs e.mu. A caller that has gone is seen by the context of the
// request, which net/http ends when a write fails; so an error is dropped here.
func (e *eventStream) sendLocked(kind, data string) {
	e.started = true
	e.sentRecently = true
	_ = e.stream.Send(&pipelines.StreamResult{Kind: kind, Data: data})
}

// finish ends the stream with its answer. A refusal before the first event is
// returned, and so gets an HTTP status of its own.
func (e *eventStream) finish(out *pipelines.Answer) error {
	data, err := json.Marshal(pipehttp.NewRunResponseBody(out))
	if err != nil {
		return fmt.Errorf("writing the answer: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
	e.timer.Stop()
	if !e.started && out.Status != statusComplete {
		return out
	}
	e.sendLocked(eventAnswer, string(data))
	return nil
}
