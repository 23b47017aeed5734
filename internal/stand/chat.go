package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// maxStreams bounds the streams kept for resuming and cancelling.
const maxStreams = 1024

// stream is one generation. It is kept after its connection ends, so that it can be resumed.
type stream struct {
	id     string
	prompt string
	seed   uint64
	total  int
	cancel context.CancelFunc
}

// streams holds the newest maxStreams generations by id.
type streams struct {
	mu    sync.Mutex
	byID  map[string]*stream
	order []string
}

func (s *streams) add(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[string]*stream{}
	}
	if _, known := s.byID[st.id]; !known {
		s.order = append(s.order, st.id)
	}
	s.byID[st.id] = st
	if len(s.order) > maxStreams {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *streams) get(id string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// remove deletes the stream and cancels it if it still runs. It reports whether the
// stream was known.
func (s *streams) remove(id string) bool {
	s.mu.Lock()
	st := s.byID[id]
	delete(s.byID, id)
	s.mu.Unlock()
	if st == nil {
		return false
	}
	st.cancel()
	return true
}

func (s *streams) clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID = nil
	s.order = nil
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if !e.streams.remove(r.PathValue("id")) {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req wire.ChatRequest
	if !readBody(w, r, &req) {
		return
	}
	if !req.Stream {
		replyNotRun(w, http.StatusBadRequest, "only streams are generated")
		return
	}
	st, from, ok := e.openStream(w, r, req)
	if !ok {
		return
	}
	run := e.beginCall(w, r)
	if run == nil {
		return
	}
	ctx, cancel := withBudget(r)
	defer cancel()
	st.cancel = cancel
	e.streams.add(st)
	sent, complete := 0, false
	defer func() {
		cancelled := ctx.Err() != nil && r.Context().Err() == nil
		e.finishCall(run, complete, cancelled, sent)
	}()
	if sendAccepted(w) != nil || !pause(ctx, e.scaleDuration(e.prefill(st.prompt))) {
		return
	}
	sent, complete = e.generate(ctx, w, st, from)
}

// sendAccepted flushes the headers before the first token, so that the caller learns early
// that the call was accepted, and by which boot of the engine.
func sendAccepted(w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	return http.NewResponseController(w).Flush()
}

// openStream returns the stream to resume and the index of its first token to send, or a
// new stream. If there is no such stream it answers the request and returns false.
func (e *Engine) openStream(w http.ResponseWriter, r *http.Request, req wire.ChatRequest) (*stream, int, bool) {
	id := r.Header.Get(wire.HeaderCall)
	resume := r.Header.Get(wire.HeaderResume)
	if resume == "" {
		return newStream(id, req), 0, true
	}
	old, from, err := wire.ParseResume(resume)
	if err != nil {
		replyNotRun(w, http.StatusBadRequest, "bad "+wire.HeaderResume)
		return nil, 0, false
	}
	st := e.streams.get(old)
	if st == nil || from > st.total {
		replyNotRun(w, http.StatusNotFound, "no such stream")
		return nil, 0, false
	}
	// The old connection may hang without either end noticing; cancelling its call
	// frees the slot.
	e.streams.remove(old)
	next := *st
	next.id = id
	return &next, from, true
}

func newStream(id string, req wire.ChatRequest) *stream {
	st := &stream{id: id, total: int(req.MaxTokens)}
	if st.total == 0 {
		st.total = DefaultTokens
	}
	for _, m := range req.Messages {
		st.prompt += m.Content + "\n"
		if m.Role == wire.RoleUser {
			st.seed = xxhash.Sum64String(m.Content)
		}
	}
	return st
}

// prefill returns the time before the first token, which is shorter if the prefix is cached.
func (e *Engine) prefill(prompt string) time.Duration {
	d := time.Duration(wordTokens(prompt)) * e.cfg.PrefillTime
	if e.cache.touch(prompt, time.Now()) {
		return d / cacheSpeedup
	}
	return d
}

// generate writes the tokens starting at index from. It returns how many it wrote and
// whether the stream is complete.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, st *stream, from int) (int, bool) {
	flush := http.NewResponseController(w)
	head := `data: {"id":` + strconv.Quote(st.id) + `,"choices":[{"index":0,"delta":{"content":"`
	buf := make([]byte, 0, len(head)+64)
	for i := from; i < st.total; i++ {
		if !pause(ctx, e.scaleDuration(e.cfg.TokenTime)) {
			return i - from, false
		}
		buf = append(buf[:0], head...)
		buf = appendToken(buf, st.seed, i)
		buf = append(buf, `"},"finish_reason":null}]}`+"\n\n"...)
		if _, err := w.Write(buf); err != nil {
			return i - from, false
		}
		if err := flush.Flush(); err != nil {
			return i - from, false
		}
	}
	return st.total - from, writeEnd(w, st) == nil
}

func writeEnd(w http.ResponseWriter, st *stream) error {
	stop := "stop"
	last, err := json.Marshal(wire.Chunk{
		ID:      st.id,
		Choices: []wire.Choice{{FinishReason: &stop}},
		Usage: &wire.Usage{
			PromptTokens:     shed.Tokens(wordTokens(st.prompt)),
			CompletionTokens: shed.Tokens(st.total),
		},
	})
	if err != nil {
		return err
	}
	_, err = w.Write([]byte("data: " + string(last) + "\n\ndata: " + wire.StreamDone + "\n\n"))
	return err
}
