package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	shed "jasmineshed"
)

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// firstEventTimeout is how long a resumable stream may take from the server's answer to its
	// first event.
	firstEventTimeout = 2500 * time.Millisecond
	// nextEventTimeout is how long a resumable stream may be silent between events: callers
	// give up a stream after two seconds at the earliest, and another server needs a while to
	// read the prompt.
	nextEventTimeout = 1300 * time.Millisecond
)

// stream forwards a stream event by event, each one complete. The header is sent with the first
// event: until then another server's answer can still replace it.
func (a *attempt) stream(ctx context.Context, resp *http.Response) outcome {
	broken := outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	timer := a.startSilenceTimer(firstEventTimeout)
	defer timer.Stop()
	events := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(events)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 && (a.out.started || a.isEmptyRest(resp)) {
				a.startAnswer(resp)
				return outcome{done: true, sent: true, mayHaveRun: true}
			}
			a.err = err
			a.serverFailed = ctx.Err() == nil
			if a.timedOut.Load() {
				a.err, a.serverFailed, broken.reason = errEventTimeout, true, shed.ReasonSilent
			}
			return broken
		}
		timer.Reset(nextEventTimeout)
		if err := a.forwardEvent(resp, event); err != nil {
			a.err = err
			return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonCallerGone}
		}
	}
}

// startSilenceTimer returns a timer that cancels the attempt unless it is reset in time, if the
// stream can be resumed at another server.
func (a *attempt) startSilenceTimer(limit time.Duration) *time.Timer {
	t := time.AfterFunc(limit, func() {
		if a.job.route.Resumable {
			a.timedOut.Store(true)
			a.cancel()
		}
	})
	return t
}

func (a *attempt) forwardEvent(resp *http.Response, event []byte) error {
	if !a.begun {
		a.relay.mu.Lock()
		a.markBegun()
		a.relay.reportSuspects(a.relay.poison.RanParts(time.Now(), a.job.partFingerprints()))
		a.relay.picker.RecordFirstEvent(a.choice, time.Since(a.began))
		a.relay.mu.Unlock()
	}
	a.startAnswer(resp)
	if _, err := a.out.w.Write(event); err != nil {
		return err
	}
	if id := a.relay.cfg.Dialect.EventID(event); id != "" {
		a.out.lastEvent = id
	}
	a.job.events++
	return a.out.control.Flush()
}

// startAnswer sends the caller the head of the answer, unless that was done before.
func (a *attempt) startAnswer(resp *http.Response) {
	if a.out.started {
		return
	}
	a.relay.recordOrigin(a.job, a.exchange.server)
	copyHeader(a.out.w.Header(), resp.Header)
	a.out.w.WriteHeader(resp.StatusCode)
	a.out.started = true
	a.job.firstByte = time.Since(a.job.began)
	a.relay.releaseInputs(a.job)
}

// isEmptyRest reports whether an answer that ended without an event is complete: the caller has all
// events of the stream that it resumes. If the answer ended with its connection, the server may have
// ended instead.
func (a *attempt) isEmptyRest(resp *http.Response) bool {
	if a.job.request.LastEventID == "" {
		return false
	}
	return !endsWithConnection(resp) || !a.relay.serverEnded(a.exchange.server)
}

// endsWithConnection reports whether an answer has neither a length nor chunks, so that the end of its
// server can't be told from its own.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readEvent reads through the empty line that ends an event. At the stream's end it returns
// io.EOF with the rest of a broken event.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, err
		}
		if len(event) > maxEvent {
			return event, errEventTooBig
		}
		ended := bytes.Equal(line, []byte("\n")) || bytes.Equal(line, []byte("\r\n"))
		if ended && len(event) > len(line) {
			return event, nil
		}
	}
}

var errEventTooBig = errors.New("stream event larger than 1 MiB")
