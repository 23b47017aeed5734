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

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// stream forwards a stream event by event, each one complete. The header is sent with the first
// event: until then another server's answer can still replace it.
func (a *attempt) stream(ctx context.Context, resp *http.Response) outcome {
	broken := outcome{sent: true, mayHaveRun: true, reason: shed.ReasonBroken}
	events := bufio.NewReader(resp.Body)
	for {
		event, err := readEvent(events)
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) == 0 {
				if err = a.completeStream(ctx, resp); err == nil {
					return outcome{done: true, sent: true, mayHaveRun: true}
				}
			}
			a.err = err
			a.serverFailed = ctx.Err() == nil
			return broken
		}
		if err := a.forwardEvent(resp, event); err != nil {
			a.err = err
			return outcome{sent: true, mayHaveRun: true, reason: shed.ReasonCallerGone}
		}
	}
}

// completeStream ends the caller's answer if the stream that ended is complete. One without an event is if it resumes a
// stream of which the caller has all events; a head alone doesn't show that.
func (a *attempt) completeStream(ctx context.Context, resp *http.Response) error {
	if !a.begun && !a.resumes() {
		return io.ErrUnexpectedEOF
	}
	if err := a.checkWhole(ctx, !a.begun); err != nil {
		return err
	}
	a.pursuit.mu.Lock()
	defer a.pursuit.mu.Unlock()
	if !a.pursuit.deliver(a) {
		return errOvertaken
	}
	a.startAnswer(resp)
	a.pursuit.releaseInputs(a)
	return nil
}

// errOvertaken is the error of an attempt with an event for a caller whom another attempt serves.
var errOvertaken = errors.New("another attempt serves the caller")

func (a *attempt) forwardEvent(resp *http.Response, event []byte) error {
	a.pursuit.mu.Lock()
	defer a.pursuit.mu.Unlock()
	if !a.pursuit.deliver(a) {
		return errOvertaken
	}
	// A caller that reads slowly must not make its server look silent.
	defer func() { a.lastSign.Store(time.Since(a.began)) }()
	if !a.begun {
		a.relay.mu.Lock()
		a.markBegun()
		a.relay.reportSuspects(a.relay.poison.RanParts(time.Now(), a.job.partFingerprints()))
		a.relay.picker.RecordFirstEvent(a.choice, time.Since(a.began))
		a.relay.mu.Unlock()
		defer a.pursuit.releaseInputs(a)
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

// startAnswer sends the caller the head of the answer, unless that was done before. The caller holds
// pursuit.mu.
func (a *attempt) startAnswer(resp *http.Response) {
	if a.out.started {
		return
	}
	a.relay.recordOrigin(a.job, a.exchange.server)
	copyHeader(a.out.w.Header(), resp.Header)
	a.out.w.WriteHeader(resp.StatusCode)
	a.out.started = true
	a.job.firstByte = time.Since(a.job.began)
}

// resumes reports whether the caller had events of the stream when the attempt began.
func (a *attempt) resumes() bool { return a.job.request.LastEventID != "" || a.lastEvent != "" }

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
