package main

import "encoding/json"

// route returns a route of a configuration.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "service": service, "kind": "idempotent", "timeoutMs": 1500, "sloMs": 150,
		"priority": 2, "attempts": 2, "public": false, "sticky": false, "resumable": false,
	}
}

// service returns a plain service of a configuration.
func service(name string, coldSeconds, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": false,
		"coldStartS": coldSeconds, "coldPerS": coldPerSecond,
	}
}

// key is the API key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

// configuration returns the value of op/config.
func configuration(version int, routes, services []map[string]any) []byte {
	return configurationWithIdle(version, routes, services, 15000)
}

// configurationWithIdle returns the value of op/config with an idle limit in milliseconds.
func configurationWithIdle(version int, routes, services []map[string]any, idle int) []byte {
	document, _ := json.Marshal(map[string]any{ // Always encodes.
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idle},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{key}, "priority": 1}},
	})
	return document
}
