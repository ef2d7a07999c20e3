package main

import (
	"encoding/json"
	"os"
)

type obj = map[string]any

func route(name, prefix, kind, service string, timeout, target, attempts int, resume bool) obj {
	return obj{
		"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
		"service": service, "max_attempts": attempts, "anonymous": false, "sticky": kind == "streaming", "can_resume": resume,
	}
}

// kvTokens is the memory of an engine, in tokens.
var kvTokens = 278178

// config returns a configuration with streaming routes s and r (may be resumed), non-idempotent
// route u and idempotent route i.
func config(version int) []byte {
	c := obj{
		"version": version, "routes": []obj{
			route("s", "/s/", "streaming", "llm", 6000, 800, 1, false),
			route("r", "/r/", "streaming", "llm", 4000, 600, 2, true),
			route("u", "/u/", "non_idempotent", "app", 1200, 150, 1, false),
			route("i", "/i/", "idempotent", "app", 1200, 150, 2, false),
		}, "services": []obj{
			{
				"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
				"engine": obj{"slots": 64, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 163840, "link_mbps": 130000.0},
			},
			{"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0},
		}, "limits": obj{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []obj{{"name": "t1", "api_keys": []string{"k1"}}, {"name": "t2", "api_keys": []string{"k2"}}},
	}
	b, err := json.Marshal(c)
	if err != nil {
		fatal("configuration: %v", err)
	}
	return b
}

// trouble is false for the run without the disruption.
func trouble() bool { return len(os.Args) <= 4 || os.Args[4] != "no" }
