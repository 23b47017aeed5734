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
	// ColdCapacity is how many it bears at once while cold; 0 means 1.
	ColdCapacity int
	// WarmAfter is how many calls must be done before it is warm; it starts warm
	// if Done is no less.
	WarmAfter int
	// PriorCalls is how many calls it had completed before the test began; a server
	// that has run for long is known to be warm by it.
	PriorCalls uint64
	// OverloadTime is how long it refuses everything after too much load while
	// cold; 0 means 2 s.
	OverloadTime time.Duration
	// TokenTime is the time for each generated token with nothing else running.
	TokenTime time.Duration
	// PrefillTime is the time for each input token before the first one.
	PrefillTime time.Duration
	// CallTime is the time of a call that generates nothing.
	CallTime time.Duration
	// LoadSlope is how much longer everything takes with Capacity calls running
	// than with one; 1 doubles it.
	LoadSlope float64
	// LoadLag is how old the state is that a load report shows.
	LoadLag time.Duration
	// CacheEntries bounds the prefix cache; 0 means none.
	CacheEntries int
	// CacheLag is how late cache events are.
	CacheLag time.Duration
	// CacheGap loses each CacheGap-th cache event; 0 loses none.
	CacheGap int
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// OrderToken, if set, must come with each order.
	OrderToken string
	// OrderTime is how long a load or a change of role takes.
	OrderTime time.Duration
	// Model is loaded at the start, as "model@version".
	Model string
	Role  string
}

const (
	defaultCapacity  = 8
	defaultColdBears = 1
	defaultFallTime  = 2 * time.Second
	// fallenSlowness is how many times longer everything takes after a fall.
	fallenSlowness = 4
	// maxBody bounds a request's body in bytes.
	maxBody = 16 << 20
	// maxHistory bounds the states kept for lagging reports.
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
	// doneCold counts the calls done since the engine turned cold.
	doneCold int
	cold     bool
	// slowness multiplies every time; 0 means 1.
	slowness float64
	fallen   time.Time
	fence    uint64
	model    string
	role     string
	orders   []wire.Order
	// first is the state at the last start; it shows until history is old enough.
	first   wire.Load
	history []snapshot
}

type snapshot struct {
	at   time.Time
	load wire.Load
}

// NewEngine returns an engine that is cold if cfg.WarmAfter says so.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	if cfg.ColdCapacity == 0 {
		cfg.ColdCapacity = defaultColdBears
	}
	if cfg.OverloadTime == 0 {
		cfg.OverloadTime = defaultFallTime
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
	e.first = e.load()
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

// ServeHTTP serves the daemons.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.pass(r.Context())
	e.mux.ServeHTTP(w, r)
}

// TurnCold makes the engine cold without any warning.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.doneCold = 0
}

// SetSlowness makes everything take so many times as long; 1 ends it.
func (e *Engine) SetSlowness(times float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = times
}

// Restart gives the engine a new boot id and forgets streams, cache and
// counts. The calls that run keep running; cut them with SetDown.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.cold = e.cfg.WarmAfter > 0
	e.doneCold = 0
	e.done = 0
	e.sequence = 0
	e.fence = 0
	e.model = e.cfg.Model
	e.role = e.cfg.Role
	e.history = nil
	e.first = e.load()
	e.streams.clear()
	e.cache.clear()
}

// Cold tells whether the engine is cold now.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// begin admits a call, or refuses it with nil.
func (e *Engine) begin(w http.ResponseWriter, r *http.Request) *Run {
	now := time.Now()
	run := newRun(r, now)
	e.mu.Lock()
	refuse := e.admit(run, now)
	if refuse == 0 {
		e.running++
		run.Cold = e.cold
		e.Record.begin(run)
		e.remember(now)
	}
	boot := e.bootID()
	e.mu.Unlock()
	if refuse == 0 {
		// The early answer says at once that the call has been taken in.
		w.Header().Set(wire.HeaderBoot, boot)
		w.WriteHeader(http.StatusEarlyHints)
		return run
	}
	e.refuse()
	w.Header().Set("Retry-After", strconv.Itoa(int((refuse+time.Second-1)/time.Second)))
	notRun(w, http.StatusServiceUnavailable, "overloaded")
	return nil
}

// admit returns 0, or after what time to come back.
func (e *Engine) admit(run *Run, now time.Time) time.Duration {
	if now.Before(e.fallen) {
		return e.fallen.Sub(now)
	}
	if e.cold && e.running >= e.cfg.ColdCapacity {
		e.fallen = now.Add(e.cfg.OverloadTime)
		e.overshoot(Overshoot{
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

func (e *Engine) finish(run *Run, whole, cancelled bool, tokens int) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if whole {
		e.done++
		e.doneCold++
	}
	if e.cold && e.cfg.WarmAfter > 0 && e.doneCold >= e.cfg.WarmAfter {
		e.cold = false
	}
	e.end(run, now, whole, cancelled, tokens)
	e.remember(now)
}

// aged is how long d takes under the load of now.
func (e *Engine) aged(d time.Duration) time.Duration {
	if d == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	others := float64(max(e.running-1, 0)) / float64(max(e.cfg.Capacity-1, 1))
	d = time.Duration(float64(d) * (1 + e.cfg.LoadSlope*others) * max(e.slowness, 1))
	if time.Now().Before(e.fallen) {
		d *= fallenSlowness
	}
	return d
}

func (e *Engine) remember(now time.Time) {
	if e.cfg.LoadLag == 0 {
		return
	}
	if len(e.history) >= maxHistory {
		e.history = append(e.history[:0], e.history[maxHistory/2:]...)
	}
	e.history = append(e.history, snapshot{at: now, load: e.load()})
}

// bootID changes with each restart. The caller holds e.mu.
func (e *Engine) bootID() string { return string(e.cfg.ID) + "-" + strconv.Itoa(e.boot) }

func (e *Engine) load() wire.Load {
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

// lagging is the load as it was LoadLag ago.
func (e *Engine) lagging(now time.Time) wire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.load()
	if e.cfg.LoadLag > 0 {
		load = e.first
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
	reply(w, http.StatusOK, e.lagging(time.Now()))
}

// budget bounds ctx by the time that the call was sent with.
func budget(r *http.Request) (context.Context, context.CancelFunc) {
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

// read decodes a request's body, or answers 400.
func read(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(body)
	if err == nil {
		return true
	}
	notRun(w, http.StatusBadRequest, "body is not the JSON expected")
	return false
}

// notRun answers that the call was not run.
func notRun(w http.ResponseWriter, status int, why string) {
	w.Header().Set(wire.HeaderNotRun, wire.NotRunTrue)
	reply(w, status, map[string]wire.ErrorReply{"error": {Message: why}})
}

// wordTokens estimates the tokens of a text.
func wordTokens(s string) int {
	return strings.Count(s, " ") + 1
}
