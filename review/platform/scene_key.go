package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tenant is a tenant of the configuration.
type tenant struct {
	name string
	keys []string
}

// configApply is config_apply_ms of the small deployments.
const configApply = 2 * time.Second

// putTenants writes a version of the configuration with these tenants and returns when the store had
// acknowledged it.
func (w *world) putTenants(version int, tenants []tenant) time.Time {
	var list []map[string]any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "api_keys": t.keys, "priority": 1})
	}
	w.store.put("op/config", map[string]any{
		"version": version,
		"routes":  []map[string]any{route("publish", "non_idempotent", "records", 1200*time.Millisecond, nil), route("read", "idempotent", "records", 1200*time.Millisecond, nil)},
		"services": []map[string]any{
			{"name": "records", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	})
	w.record("the store has acknowledged version %d: tenants %v", version, tenants)
	return time.Now()
}

// lastKey: keys are taken away, in the end the last one. See review/2/claim.txt.
func lastKey(w *world) []string {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	tenants := []tenant{{"one", []string{"key-one"}}, {"two", []string{"key-two-1", "key-two-2"}}, {"three", []string{"key-three"}}}
	w.putTenants(7, tenants)
	var mu sync.Mutex
	ran := map[string]string{}
	for i, zone := range zones {
		w.addServer(&server{
			serverConfig: serverConfig{ID: fmt.Sprintf("i-records-%d", i), Service: "records", Addr: "127.0.0.1:0", Zone: zone, Slots: 6},
			run: func(s *server, c *serverConn, req *http.Request, _ []byte) bool {
				id := req.Header.Get("X-Request-Id")
				s.log("%s runs %s for tenant %q", s.ID, id, req.Header.Get("X-Tenant"))
				mu.Lock()
				ran[id] = req.Header.Get("X-Tenant")
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
				return s.write(c, req, http.StatusOK, http.Header{"X-Response-Seal": {"seal." + id}}, []byte("record of the tenant"))
			},
		})
	}
	w.startRelays(3, zones, nil)
	inForce := map[string]bool{"key-one": true, "key-two-1": true, "key-two-2": true, "key-three": true}
	revoke := func(version, tenant int) {
		for _, key := range tenants[tenant].keys {
			delete(inForce, key)
		}
		tenants[tenant].keys = []string{}
		w.putTenants(version, tenants)
	}
	var broken []string
	check := func() {
		time.Sleep(configApply + time.Second)
		for n, key := range []string{"key-one", "key-two-1", "key-two-2", "key-three", "key-that-never-was", ""} {
			for i, r := range w.relays {
				for _, path := range []string{"publish", "read"} {
					method := map[string]string{"publish": "POST", "read": "GET"}[path]
					got := r.callWithKey(key, method, fmt.Sprintf("/%s/%d", path, n), 2500*time.Millisecond, http.Header{}, "")
					w.record("client %s at %s with key %q: %s %s: status %d, error %v", got.id, r.name, key, method, path, got.status, got.err)
					mu.Lock()
					tenant, hasRun := ran[got.id]
					mu.Unlock()
					if hasRun && !inForce[key] {
						broken = append(broken, fmt.Sprintf("%s: request %s (%s) with key %q runs as tenant %q at relay-%d, answered %d", keyRule(key), got.id, path, key, tenant, i+1, got.status))
					}
				}
			}
		}
	}
	check()
	revoke(9, 2)
	check()
	revoke(12, 1)
	check()
	if w.trouble {
		revoke(13, 0)
	}
	check()
	return broken
}

// keyRule is the rule that a run with a key breaks that isn't in force: CONFIG for one that an older version
// held.
func keyRule(key string) string {
	if key == "key-that-never-was" || key == "" {
		return "ROUTE"
	}
	return "CONFIG"
}
