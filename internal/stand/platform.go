package stand

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	shed "jasmineshed"
	"jasmineshed/internal/rules"
	"jasmineshed/internal/wire"
)

const (
	// maxValueBytes bounds the size of a value.
	maxValueBytes = 1 << 20
	// defaultReadsPerSecond is the platform's call budget for all readers together.
	defaultReadsPerSecond = 2000
	// maxWait bounds the duration of a watch.
	maxWait = time.Minute
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// ReadsPerSecond is the call budget; 0 means 2,000.
	ReadsPerSecond int
	// VMLag is the delay after which the VM list shows a change.
	VMLag time.Duration
}

// PlatformCalls counts the calls that the platform received.
type PlatformCalls struct {
	Reads, Watches, VMs int
	// Refused counts the calls above the budget.
	Refused int
	// Peak is the largest number of calls within one second of the clock.
	Peak int
}

type value struct {
	revision shed.Revision
	data     []byte
}

type vmList struct {
	visibleFrom time.Time
	vms         []wire.VM
}

// Platform stands in for the platform's configuration service and VM list.
type Platform struct {
	Faults
	cfg PlatformConfig
	mux *http.ServeMux

	mu       sync.Mutex
	revision shed.Revision
	values   map[string]value
	// staleValues is served instead of values while the platform is stale.
	staleValues  map[string]value
	changed      chan struct{}
	lists        []vmList
	calls        PlatformCalls
	budgetSecond int64
	budgetUsed   int
}

// NewPlatform returns a platform without values.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = defaultReadsPerSecond
	}
	p := &Platform{
		cfg:     cfg,
		mux:     http.NewServeMux(),
		values:  map[string]value{},
		changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET "+wire.PathValues+"{key}", p.serveValue)
	p.mux.HandleFunc("GET "+wire.PathVMs, p.serveVMs)
	return p
}

// ServeHTTP serves the requests of daemons, which can only read.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.applyFaults(r.Context())
	p.mux.ServeHTTP(w, r)
}

// Publish sets all values at one new revision, as an operator does.
func (p *Platform) Publish(values map[string][]byte) shed.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	for key, data := range values {
		p.values[key] = value{revision: p.revision, data: data}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// PublishRules packs the text of a rules file and publishes its index and parts at one
// revision.
func (p *Platform) PublishRules(text []byte) shed.Revision {
	index, parts := rules.Pack(text)
	values := map[string][]byte{rules.IndexKey: index}
	for hash, part := range parts {
		values[rules.PartName(hash)] = part
	}
	return p.Publish(values)
}

// SetStale makes the platform serve the values it holds now, whatever is published, until
// it is set to false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = nil
	if stale {
		p.staleValues = make(map[string]value, len(p.values))
		for key, v := range p.values {
			p.staleValues[key] = v
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs changes the VM list; the first list shows at once, later ones after VMLag.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := vmList{
		visibleFrom: time.Now().Add(p.cfg.VMLag),
		vms:         append([]wire.VM{}, vms...),
	}
	if len(p.lists) == 0 {
		list.visibleFrom = time.Time{}
	}
	p.lists = append(p.lists, list)
}

// Calls returns the counts of calls so far.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// takeFromBudget counts one call against the budget of the current second and reports
// whether it is within the budget. The caller holds p.mu.
func (p *Platform) takeFromBudget(now time.Time) bool {
	if s := now.Unix(); s != p.budgetSecond {
		p.budgetSecond = s
		p.budgetUsed = 0
	}
	p.budgetUsed++
	p.calls.Peak = max(p.calls.Peak, p.budgetUsed)
	if p.budgetUsed <= p.cfg.ReadsPerSecond {
		return true
	}
	p.calls.Refused++
	return false
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.countRead(wait > 0) {
		replyTooMany(w)
		return
	}
	v, found := p.waitForChange(r.Context(), r.PathValue("key"), after, wait)
	if !found {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set(wire.HeaderRevision, strconv.FormatUint(uint64(v.revision), 10))
	if v.revision <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(v.data)
}

func (p *Platform) countRead(watch bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch {
		p.calls.Watches++
	} else {
		p.calls.Reads++
	}
	return p.takeFromBudget(time.Now())
}

// waitForChange returns the key's value once it is newer than after, or its current value
// when the wait ends.
func (p *Platform) waitForChange(ctx context.Context, key string, after shed.Revision, wait time.Duration) (value, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := wait <= 0
	for {
		v, found, changed := p.lookup(key)
		if timedOut || (found && v.revision > after) {
			return v, found
		}
		_, _, _, fault := p.current()
		select {
		case <-ctx.Done():
			timedOut = true
		case <-timer.C:
			timedOut = true
		case <-changed:
		case <-fault:
			p.applyFaults(ctx)
		}
	}
}

func (p *Platform) lookup(key string) (value, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.staleValues != nil {
		values = p.staleValues
	}
	v, found := values[key]
	return v, found, p.changed
}

func watchQuery(r *http.Request) (shed.Revision, time.Duration, error) {
	after, err := queryNumber(r, "after")
	if err != nil {
		return 0, 0, err
	}
	wait, err := queryNumber(r, "wait")
	if err != nil {
		return 0, 0, err
	}
	return shed.Revision(after), min(time.Duration(wait)*time.Second, maxWait), nil
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	s := r.URL.Query().Get(name)
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 32)
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls.VMs++
	allowed := p.takeFromBudget(time.Now())
	vms := p.visibleVMs(time.Now())
	p.mu.Unlock()
	if !allowed {
		replyTooMany(w)
		return
	}
	reply(w, http.StatusOK, vms)
}

func (p *Platform) visibleVMs(now time.Time) []wire.VM {
	shown := []wire.VM{}
	for _, list := range p.lists {
		if !list.visibleFrom.After(now) {
			shown = list.vms
		}
	}
	return shown
}

func replyTooMany(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, "call budget spent", http.StatusTooManyRequests)
}

// Admin returns the handler for operators, who publish values with PUT /admin/values/{key}
// and set the VM list with PUT /admin/vms. It must not be served on the daemons' listener.
func (p *Platform) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/values/{key}", p.serveSetValue)
	mux.HandleFunc("PUT /admin/vms", p.serveSetVMs)
	return mux
}

func (p *Platform) serveSetValue(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value over a megabyte or cut short", http.StatusRequestEntityTooLarge)
		return
	}
	revision := p.Publish(map[string][]byte{r.PathValue("key"): data})
	w.Header().Set(wire.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
}

func (p *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []wire.VM
	if readBody(w, r, &vms) {
		p.SetVMs(vms)
	}
}
