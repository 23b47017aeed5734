package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/wire"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID shed.ServerID
	// Capacity is how many calls run at once when warm; 0 means 8.
	Capacity int
	// ColdCapacity is how many calls it can run at once while cold; 0 means 1.
	ColdCapacity int
	// WarmAfter is how many calls must complete before it is warm. It starts warm if
	// Done is at least as many.
	WarmAfter int
	// PriorCalls is how many calls it had completed before the test began. Daemons take a
	// server with many completed calls for warm.
	PriorCalls uint64
	// OverloadTime is how long it refuses all calls after an overload while cold; 0 means
	// 2 s.
	OverloadTime time.Duration
	// TokenTime is the time for each generated token while no other call runs.
	TokenTime time.Duration
	// PrefillTime is the time for each input token before the first generated one.
	PrefillTime time.Duration
	// CallTime is the duration of a call without generation.
	CallTime time.Duration
	// LoadSlope is the relative slowdown with Capacity calls running compared with one;
	// 1 doubles all times.
	LoadSlope float64
	// LoadLag is the age of the state that a load report shows.
	LoadLag time.Duration
	// CacheEntries bounds the prefix cache; 0 disables it.
	CacheEntries int
	// CacheLag is the delay of cache events.
	CacheLag time.Duration
	// CacheGap drops every CacheGap-th cache event; 0 drops none.
	CacheGap int
	// ChecksFence makes it refuse orders with an old fencing number.
	ChecksFence bool
	// OrderToken, if set, must come with each order.
	OrderToken string
	// OrderTime is how long an order to load a model or change the role takes.
	OrderTime time.Duration
	// Model is the model loaded at the start, as "model@version".
	Model string
	Role  string
}

const (
	defaultCapacity     = 8
	defaultColdCapacity = 1
	defaultOverloadTime = 2 * time.Second
	// overloadSlowness multiplies all times after an overload while cold.
	overloadSlowness = 4
	// maxBodyBytes bounds a request's body in bytes.
	maxBodyBytes = 16 << 20
	// maxHistory bounds the states kept for delayed load reports.
	maxHistory = 4096
)

// Engine stands in for a model engine, an encoder, a retriever and a reranker.
type Engine struct {
	Faults
	Record
	cfg     EngineConfig
	mux     *http.ServeMux
	streams streams
	cache   prefixCache

	mu       sync.Mutex
	boot     int
	sequence uint64
	running  int
	done     uint64
	// doneSinceCold counts the calls completed since the engine turned cold.
	doneSinceCold int
	cold          bool
	// slowness multiplies all times; 0 means 1.
	slowness        float64
	overloadedUntil time.Time
	fence           uint64
	model           string
	role            string
	orders          []wire.Order
	// initialLoad is the state at the last start. Load reports show it until history
	// holds a state that is at least LoadLag old.
	initialLoad wire.Load
	history     []snapshot
}

type snapshot struct {
	at   time.Time
	load wire.Load
}

// NewEngine returns an engine, which is cold if cfg.Done is below cfg.WarmAfter.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	if cfg.ColdCapacity == 0 {
		cfg.ColdCapacity = defaultColdCapacity
	}
	if cfg.OverloadTime == 0 {
		cfg.OverloadTime = defaultOverloadTime
	}
	e := &Engine{
		cfg:   cfg,
		mux:   http.NewServeMux(),
		cold:  cfg.PriorCalls < uint64(cfg.WarmAfter),
		done:  cfg.PriorCalls,
		model: cfg.Model,
		role:  cfg.Role,
	}
	e.cache.cfg = cfg
	e.initialLoad = e.currentLoad()
	e.mux.HandleFunc("POST "+wire.PathChat, e.serveChat)
	e.mux.HandleFunc("POST "+wire.PathEmbeddings, e.serveEmbed)
	e.mux.HandleFunc("POST "+wire.PathRerank, e.serveRerank)
	e.mux.HandleFunc("POST "+wire.PathRetrieve, e.serveRetrieve)
	e.mux.HandleFunc("DELETE "+wire.PathStreams+"{id...}", e.serveCancel)
	e.mux.HandleFunc("GET "+wire.PathLoad, e.serveLoad)
	e.mux.HandleFunc("GET "+wire.PathCacheEvents, e.serveCacheEvents)
	e.mux.HandleFunc("POST "+wire.PathOrders, e.serveOrder)
	return e
}

// ServeHTTP serves the requests of daemons.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.applyFaults(r.Context())
	e.mux.ServeHTTP(w, r)
}

// TurnCold makes the engine cold. No report announces it beforehand.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.doneSinceCold = 0
}

// SetSlowness multiplies all times; 1 restores normal speed.
func (e *Engine) SetSlowness(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = times
}

// Restart gives the engine a new boot id and clears streams, cache and counts. Running
// calls continue; SetDown aborts them.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.cold = e.cfg.WarmAfter > 0
	e.doneSinceCold = 0
	e.done = 0
	e.sequence = 0
	e.fence = 0
	e.model = e.cfg.Model
	e.role = e.cfg.Role
	e.history = nil
	e.initialLoad = e.currentLoad()
	e.streams.clear()
	e.cache.clear()
}

// Cold reports whether the engine is cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// beginCall admits a call and returns its run. If it refuses the call it answers the
// request and returns nil.
func (e *Engine) beginCall(w http.ResponseWriter, r *http.Request) *Run {
	now := time.Now()
	run := newRun(r, now)
	e.mu.Lock()
	refuse := e.admit(run, now)
	if refuse == 0 {
		e.running++
		run.Cold = e.cold
		e.Record.beginCall(run)
		e.recordHistory(now)
	}
	boot := e.bootID()
	e.mu.Unlock()
	if refuse == 0 {
		// The early answer (103) tells the caller at once that the call was accepted.
		w.Header().Set(wire.HeaderBoot, boot)
		w.WriteHeader(http.StatusEarlyHints)
		return run
	}
	e.recordRefusal()
	w.Header().Set("Retry-After", strconv.Itoa(int((refuse+time.Second-1)/time.Second)))
	replyNotRun(w, http.StatusServiceUnavailable, "overloaded")
	return nil
}

// admit returns 0 if the call may run, else the time after which to retry.
func (e *Engine) admit(run *Run, now time.Time) time.Duration {
	if now.Before(e.overloadedUntil) {
		return e.overloadedUntil.Sub(now)
	}
	if e.cold && e.running >= e.cfg.ColdCapacity {
		e.overloadedUntil = now.Add(e.cfg.OverloadTime)
		e.recordOvershoot(Overshoot{
			At:           now,
			Running:      e.running + 1,
			ColdCapacity: e.cfg.ColdCapacity,
			Call:         run.Call,
		})
		return e.cfg.OverloadTime
	}
	if e.running >= e.cfg.Capacity {
		return time.Second
	}
	return 0
}

func (e *Engine) finishCall(run *Run, complete, cancelled bool, tokens int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if complete {
		e.done++
		e.doneSinceCold++
	}
	if e.cold && e.cfg.WarmAfter > 0 && e.doneSinceCold >= e.cfg.WarmAfter {
		e.cold = false
	}
	e.endCall(run, now, complete, cancelled, tokens)
	e.recordHistory(now)
}

// scaleDuration returns how long a step takes under the current load that takes d with no
// other call running.
func (e *Engine) scaleDuration(d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	others := float64(max(e.running-1, 0)) / float64(max(e.cfg.Capacity-1, 1))
	d = time.Duration(float64(d) * (1 + e.cfg.LoadSlope*others) * max(e.slowness, 1))
	if time.Now().Before(e.overloadedUntil) {
		d *= overloadSlowness
	}
	return d
}

func (e *Engine) recordHistory(now time.Time) {
	if e.cfg.LoadLag == 0 {
		return
	}
	if len(e.history) >= maxHistory {
		e.history = append(e.history[:0], e.history[maxHistory/2:]...)
	}
	e.history = append(e.history, snapshot{at: now, load: e.currentLoad()})
}

// bootID returns an id that changes with each restart. The caller holds e.mu.
func (e *Engine) bootID() string { return string(e.cfg.ID) + "-" + strconv.Itoa(e.boot) }

func (e *Engine) currentLoad() wire.Load {
	return wire.Load{
		Boot:    e.bootID(),
		Running: e.running,
		Warm:    !e.cold,
		Done:    e.done,
		Fence:   e.fence,
		Model:   e.model,
		Role:    e.role,
	}
}

// laggedLoad returns the load as it was LoadLag ago.
func (e *Engine) laggedLoad(now time.Time) wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.currentLoad()
	if e.cfg.LoadLag > 0 {
		load = e.initialLoad
	}
	for _, old := range e.history {
		if old.at.Add(e.cfg.LoadLag).After(now) {
			break
		}
		load = old.load
	}
	e.sequence++
	load.Sequence = e.sequence
	load.AgeMS = e.cfg.LoadLag.Milliseconds()
	return load
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.laggedLoad(time.Now()))
}

// withBudget returns the request's context, bounded by the call's budget header.
func withBudget(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderBudget), 10, 32)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func newRun(r *http.Request, now time.Time) *Run {
	run := &Run{Call: r.Header.Get(wire.HeaderCall), Path: r.URL.Path, Start: now}
	run.Request = run.Call
	if call, err := wire.ParseCallID(run.Call); err == nil {
		run.Request = string(call.Request)
	}
	return run
}

// readBody decodes a request's body. If it can't it answers 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err == nil {
		return true
	}
	replyNotRun(w, http.StatusBadRequest, "body is not the JSON expected")
	return false
}

// replyNotRun answers that the call was not run.
func replyNotRun(w http.ResponseWriter, status int, why string) {
	w.Header().Set(wire.HeaderNotRun, wire.NotRunTrue)
	reply(w, status, map[string]wire.ErrorReply{"error": {Message: why}})
}

// wordTokens estimates the number of tokens in a text by its words.
func wordTokens(s string) int {
	return strings.Count(s, " ") + 1
}
