package keeper

import "encoding/json"

// SampleLayers is the number of layers of the sample's model.
const SampleLayers = 12

// SampleConfiguration returns a configuration in the platform's format, for the host
// "calls.example" and one bearer key. It has a plain service "ledger" with the routes
// /fees/ and /reads/, and a model service "scribe" with the route /letters/.
func SampleConfiguration(version int, key string) ([]byte, error) {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "calls.example", "path_prefix": prefix, "kind": kind, "service": service, "attempts": attempts,
			"timeout_ms": 5000, "target_latency_ms": 500, "priority": 1, "gap_target_ms": 200, "resumable": kind == "streaming",
		}
	}
	return json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("fees", "/fees/", "unsafe", "ledger", 1),
			route("reads", "/reads/", "idempotent", "ledger", 2),
			route("letters", "/letters/", "streaming", "scribe", 2),
		},
		"services": []map[string]any{
			{"name": "ledger", "health_path": "/healthz", "max_connections": 100},
			{"name": "scribe", "health_path": "/healthz", "max_connections": 100, "engine": map[string]any{
				"slots": 192, "kv_token_bytes": SampleLayers, "stride": 2, "step_ms": 1, "per_seq_ms": 0.01, "read_per_s": 100000, "chunk": 512,
				"usual": map[string]any{"prompt": 1, "answer": 1}, "layers": SampleLayers, "layer_mb": 100.0, "activation_bytes": 100, "pipe_mbps": 1000,
				"loads_at_once": 6, "models": []map[string]any{{"name": "m0", "pace": 1, "load_s": 1}},
				"kinds": []map[string]any{{"name": "small", "size_mb": 450, "pace": 1, "read_factor": 1}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "clerks", "api_keys": []string{key}, "priority": 1}},
	})
}
