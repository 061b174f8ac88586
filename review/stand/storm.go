package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configTime is the bound of the rule CONFIG (configMs).
	configTime = 2 * time.Second
	// stormGap and stormLength are the largest dose of config_storm in the site file.
	stormGap, stormLength = 80 * time.Millisecond, 4 * time.Second
	// bigRoutes is the number of routes that no caller uses: 115, and ten times the largest
	// dose of big_config in the site file.
	bigRoutes = 115 + 10*380
	// valueBytes is the longest value that the store takes.
	valueBytes = 1 << 20
)

// idleRoute returns a route that no caller uses.
func idleRoute(i int) map[string]any {
	r := route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%05d/", i), "desk")
	r["kind"], r["sticky"], r["resumable"], r["gapAimMs"] = "streaming", true, true, 120
	return r
}

// storm makes changes in quick succession for some time.
func (w *world) storm(change func(), length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		next := time.Now().Add(stormGap)
		change()
		time.Sleep(time.Until(next))
	}
}

// runStorm plays configurations in quick succession while the configuration is large.
func runStorm(w *world) (bool, error) {
	services := []map[string]any{service("desk", 0, 0), service("archive", 0, 0)}
	version := 3
	write := func(target string) int {
		version += 2
		routes := []map[string]any{route("r-moved", "/moved/", target)}
		for i := range bigRoutes {
			routes = append(routes, idleRoute(i))
		}
		document := configuration(version, routes, services)
		w.store.put("op/config", document)
		w.note("the store has acknowledged version %d, %d bytes: /moved/ goes to %s", version, len(document), target)
		return len(document)
	}
	if size := write("desk"); size > valueBytes {
		return false, fmt.Errorf("the configuration has %d bytes", size)
	}
	desk, err := w.startEndpoint("i-desk-1", "desk", "a")
	if err != nil {
		return false, err
	}
	archive, err := w.startEndpoint("i-archive-1", "archive", "a")
	if err != nil {
		return false, err
	}
	entries, err := w.startEntries("a", "b")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	c.wait.Go(func() { c.pace(entries, 20, 24, func() string { return "/moved/2f" }) })
	w.at(4)
	if !w.calm() {
		w.storm(func() { write("desk") }, stormLength/4)
	}
	write("archive")
	moved := time.Now()
	if !w.calm() {
		w.storm(func() { write("archive") }, 3*stormLength/4)
	}
	log := c.all()
	w.note("answers by status: %v", statuses(log))
	sentAt := map[string]sent{}
	for _, s := range log {
		sentAt[s.attempt] = s
	}
	broken := map[string]int{}
	for _, a := range desk.all() {
		if s := sentAt[a.attempt]; s.at.After(moved.Add(configTime)) {
			broken[s.entry]++
		}
	}
	refused := map[string]int{}
	for _, s := range log {
		if s.at.After(moved) && s.status == http.StatusServiceUnavailable {
			refused[s.entry]++
		}
	}
	w.note("sent over %v after the acknowledgement of the move and run by the old service, by entry: %v", configTime, broken)
	w.note("refused with 503 after it, by entry: %v", refused)
	w.recordAll(log, desk, archive)
	return len(broken) > 0, nil
}
