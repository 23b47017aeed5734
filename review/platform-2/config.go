package main

// configuration returns the operator's configuration: one route to a model service, with a stage or without.
func configuration(version int, staged bool) object {
	route := object{
		"name": "draft", "host": "pule.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 2100, "priority": 0, "service": "model", "max_attempts": 2, "public": false, "sticky": true,
		"resumable": true, "gap_aim_ms": 300,
	}
	if staged {
		route["stages"] = []any{object{"service": "stage", "after": []int{}, "bytes": 8000}}
	}
	return object{
		"version": version,
		"routes":  []any{route},
		"services": []any{
			object{
				"name": "model", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
				"engine": object{
					"slots": 64, "kv_tokens": 458010, "kv_bytes": 163840, "link_mbps": 130000.0, "moves": true, "backups": true, "stride": 4,
					"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{object{"name": "m"}},
				},
			},
			object{
				"name": "stage", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
				"pieces": object{
					"slots": 1, "queue": 2, "batch": 8, "call_ms": 150.0, "item_ms": 16.0, "headroom_mb": 51.0, "handle_s": 4.0, "link_mbps": 10000,
				},
			},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{object{"name": "bozi300", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}
