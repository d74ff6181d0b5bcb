package main

import "time"

// Names of the services and paths of the routes.
const (
	modelService = "huvo11a"
	deskService  = "wuno96b"
	draftPath    = "/lohu930/" // A resumable stream.
	stopPath     = "/pufi791/" // A stream that may not be resumed.
	orderPath    = "/puxa403/" // May run once.
	lookupPath   = "/lookup5/" // May run again.
)

// Config returns a configuration like those of the site afis-ruta.
func Config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "prefix": prefix, "type": kind, "service": service, "timeoutMs": timeoutMs, "sloMs": sloMs,
			"priority": 1, "maxAttempts": attempts, "public": false,
		}
	}
	draft := route("r-draft", draftPath, "streaming", modelService, 15000, 800, 2)
	draft["affinity"], draft["resumable"], draft["itlTargetMs"] = true, true, 400
	stop := route("r-stop", stopPath, "streaming", modelService, 12000, 800, 1)
	stop["affinity"], stop["resumable"], stop["itlTargetMs"] = true, false, 400
	return map[string]any{
		"version": version,
		"routes": []any{
			draft, stop,
			route("r-order", orderPath, "non_idempotent", deskService, 600, 100, 1),
			route("r-lookup", lookupPath, "idempotent", deskService, 600, 100, 2),
		},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 10.0},
			map[string]any{"name": deskService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// StartRouters starts a router in each of the given zones and waits until all are ready and know each other.
func (f *Fleet) StartRouters(zones ...int) error {
	for _, zone := range zones {
		if _, err := f.AddRouter(zone); err != nil {
			return err
		}
	}
	for _, r := range f.Routers {
		if !r.AwaitReady(10 * time.Second) {
			return errNotReady
		}
	}
	return nil
}
