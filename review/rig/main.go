package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(*rig) error{"budgets": budgets, "tenants": tenants, "leavers": leavers, "replies": replies}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(exitNotRun)
	}
	os.Exit(r.close(cases[os.Args[1]](r)))
}

// baseConfig is a configuration like that of a small deployment.
func baseConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "chat", "host": "h.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "goalMs": 250,
				"priority": 0, "service": "llm", "maxAttempts": 2, "retain": true, "retainS": 60.0, "affinity": true, "gapTargetMs": 400,
			},
			map[string]any{
				"name": "read", "host": "h.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 1200, "goalMs": 150,
				"priority": 2, "service": "tool", "maxAttempts": 3,
			},
			map[string]any{
				"name": "pay", "host": "h.example", "pathPrefix": "/pay/", "kind": "non_idempotent", "timeoutMs": 3000, "goalMs": 500,
				"priority": 2, "service": "tool", "maxAttempts": 2,
			},
		},
		"services": []any{
			map[string]any{
				"name": "llm", "healthPath": "/health", "maxConns": 360,
				"engine": map[string]any{"slots": 64, "kvCapacity": 1251740, "chunkTokens": tokensPerEvent},
			},
			map[string]any{"name": "tool", "healthPath": "/health", "maxConns": 96},
		},
		"tenants": []any{
			map[string]any{"name": "acme", "apiKeys": []string{"key-acme"}, "priority": 1, "ratePerS": 275, "burstSize": 275},
			map[string]any{"name": "bolt", "apiKeys": []string{"key-bolt"}, "priority": 1, "ratePerS": 275, "burstSize": 275},
		},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
