package main

import (
	"fmt"
	"time"
)

const (
	// configTime is the bound of the rule CONFIG (configMs).
	configTime = 2 * time.Second
	// stormGap and stormLength are the largest dose of config_storm in the site file.
	stormGap, stormLength = 80 * time.Millisecond, 4 * time.Second
	// bigRoutes makes the configuration a little shorter than valueBytes.
	bigRoutes = 5000
)

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
			routes = append(routes, route(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%05d/", i), "desk"))
		}
		document := configuration(version, routes, services)
		w.store.put("op/config", document)
		w.note("the store has acknowledged version %d, %d bytes: /moved/ goes to %s", version, len(document), target)
		return len(document)
	}
	if size := write("desk"); size > 1<<20 {
		return false, fmt.Errorf("the configuration has %d bytes", size)
	}
	desk, err := w.startEndpoint("i-desk-1", "desk", "a", 6, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := w.startEndpoint("i-archive-1", "archive", "a", 6, 10*time.Millisecond); err != nil {
		return false, err
	}
	entries, err := w.startEntries("a", "b")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	c.wait.Go(func() { c.pace(entries, 20, 40, func() string { return "/moved/2f" }, key) })
	w.at(10)
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
	broken := 0
	for _, a := range desk.all() {
		s := sentAt[a.attempt]
		if s.path == "/moved/2f" && s.at.After(moved.Add(configTime)) {
			broken++
			w.note("request %s, sent %.3f s after the acknowledgement, ran at desk (%s)", a.attempt, s.at.Sub(moved).Seconds(), s.entry)
		}
	}
	refused := 0
	for _, s := range log {
		if s.at.After(moved) && s.status != 200 {
			refused++
			w.note("request %s, sent %.3f s after the acknowledgement, got %d %s (%s)", s.attempt, s.at.Sub(moved).Seconds(), s.status, s.failed, s.entry)
		}
	}
	w.note("requests handled as only an older version allows: %d; not answered with 200 after the change: %d", broken, refused)
	return broken > 0, nil
}
