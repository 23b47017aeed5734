package main

// configuration returns the operator's configuration: one route to a model service.
func configuration(version int) object {
	route := object{
		"name": "draft", "host": "pule.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000,
		"target_latency_ms": 2100, "priority": 0, "service": "model", "max_attempts": 2, "public": false, "sticky": true,
		"resumable": true, "gap_aim_ms": 300,
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
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{object{"name": "bozi300", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}
