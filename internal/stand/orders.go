package stand

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasmineshed/internal/wire"
)

const (
	// cachedPrefixBytes is the length of the prompt prefix that identifies a cache entry.
	cachedPrefixBytes = 256
	// cacheSpeedup divides the prefill time of a cached prefix.
	cacheSpeedup = 10
	// maxCacheEvents bounds the events kept, and with them the length of an answer.
	maxCacheEvents = 1024
)

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if e.cfg.OrderToken != "" && r.Header.Get("Authorization") != "Bearer "+e.cfg.OrderToken {
		replyNotRun(w, http.StatusForbidden, "may not order")
		return
	}
	var order wire.Order
	if !readBody(w, r, &order) {
		return
	}
	if !e.acceptOrder(order) {
		replyNotRun(w, http.StatusConflict, "old fencing number")
		return
	}
	if !pause(r.Context(), e.cfg.OrderTime) {
		return
	}
	e.applyOrder(order)
	reply(w, http.StatusOK, order)
}

func (e *Engine) acceptOrder(order wire.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && order.Fence < e.fence {
		return false
	}
	e.fence = order.Fence
	e.orders = append(e.orders, order)
	return true
}

// applyOrder sets model and role. Loading another model turns the engine cold.
func (e *Engine) applyOrder(order wire.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model := order.Model + "@" + order.Version
	if model != e.model && e.cfg.WarmAfter > 0 {
		e.cold = true
		e.doneSinceCold = 0
	}
	e.model = model
	e.role = order.Role
}

// Orders returns the orders that the engine accepted, in order of arrival.
func (e *Engine) Orders() []wire.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]wire.Order(nil), e.orders...)
}

// prefixCache is a bounded cache of prompt prefixes that evicts the least recently used.
type prefixCache struct {
	cfg EngineConfig

	mu       sync.Mutex
	entries  map[uint64]*list.Element
	lru      list.List
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	at time.Time
	wire.CacheEvent
}

// touch looks up the prompt's prefix, adds it if it is missing, and reports whether it
// was cached.
func (c *prefixCache) touch(prompt string, now time.Time) bool {
	if c.cfg.CacheEntries == 0 {
		return false
	}
	prefix := xxhash.Sum64String(prompt[:min(len(prompt), cachedPrefixBytes)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, hit := c.entries[prefix]; hit {
		c.lru.MoveToBack(element)
		return true
	}
	if c.entries == nil {
		c.entries = map[uint64]*list.Element{}
	}
	c.entries[prefix] = c.lru.PushBack(prefix)
	c.publish(now, wire.CacheEvent{Stored: true, Prefix: prefix})
	if c.lru.Len() > c.cfg.CacheEntries {
		oldest := c.lru.Remove(c.lru.Front()).(uint64)
		delete(c.entries, oldest)
		c.publish(now, wire.CacheEvent{Prefix: oldest})
	}
	return false
}

func (c *prefixCache) publish(now time.Time, ev wire.CacheEvent) {
	c.sequence++
	if c.cfg.CacheGap > 0 && c.sequence%uint64(c.cfg.CacheGap) == 0 {
		return
	}
	ev.Sequence = c.sequence
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{at: now.Add(c.cfg.CacheLag), CacheEvent: ev})
}

func (c *prefixCache) since(after uint64, now time.Time) []wire.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := []wire.CacheEvent{}
	for _, ev := range c.events {
		if ev.Sequence > after && !ev.at.After(now) {
			shown = append(shown, ev.CacheEvent)
		}
	}
	return shown
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = nil
	c.lru.Init()
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	reply(w, http.StatusOK, wire.CacheEvents{Events: e.cache.since(after, time.Now())})
}
