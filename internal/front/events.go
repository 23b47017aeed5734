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

// textEvent is the next part of a stage's text; without text it is a reset.
type textEvent struct {
	Stage string `json:"stage"`
	Text  string `json:"text,omitempty"`
}

// stageEvent reports that a stage has completed.
type stageEvent struct {
	Stage    string  `json:"stage"`
	Server   string  `json:"server,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Attempts uint16  `json:"attempts"`
	TookMs   float64 `json:"took_ms"`
	Tokens   uint32  `json:"tokens"`
}

// eventStream writes the events of one response.
type eventStream struct {
	mu       sync.Mutex
	stream   pipelines.StreamServerStream
	interval time.Duration
	timer    *time.Timer
	// started: an event has been sent, and with it the status line.
	started bool
	// sentRecently: an event has been sent since the last heartbeat tick.
	sentRecently bool
	// done: the handler is about to return; nothing may be written any more.
	done bool
}

func newEventStream(stream pipelines.StreamServerStream, period time.Duration) *eventStream {
	e := &eventStream{stream: stream, interval: period}
	// heartbeat uses the timer without the lock, so the timer starts only after e.timer is
	// set.
	e.timer = time.AfterFunc(math.MaxInt64, e.heartbeat)
	e.timer.Reset(period)
	return e
}

// heartbeat keeps an idle stream distinguishable from a dead connection: a caller that misses
// several heartbeats knows that the connection is lost.
func (e *eventStream) heartbeat() {
	// The lock holder is writing, which serves as a heartbeat. Waiting for a blocked write
	// would make goroutines pile up.
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

// sendJSON sends v, which has only fields that can be marshalled. JSON is a single line, so no
// text can end an event early.
func (e *eventStream) sendJSON(kind string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendLocked(kind, string(data))
}

// sendLocked requires e.mu. It ignores write errors: net/http cancels the request's context
// when a write fails.
func (e *eventStream) sendLocked(kind, data string) {
	e.started = true
	e.sentRecently = true
	_ = e.stream.Send(&pipelines.StreamResult{Kind: kind, Data: data})
}

// finish ends the stream with its answer. A refusal before the first event is returned as an
// error, and so gets its own HTTP status.
func (e *eventStream) finish(out *pipelines.Answer) error {
	data, err := json.Marshal(pipehttp.NewRunResponseBody(out))
	if err != nil {
		return fmt.Errorf("encoding the answer event: %w", err)
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
