package main

import (
	"strings"
	"time"
)

// runRoute plays a configuration that splits a route while callers use paths in which a
// segment has an encoded slash.
func runRoute(w *world) (bool, error) {
	services := []map[string]any{service("desk", 0, 0), service("archive", 0, 0)}
	routes := []map[string]any{route("r-desk", "/desk/", "desk")}
	w.store.put("op/config", configuration(3, routes, services))
	desk, err := w.startEndpoint("i-desk-1", "desk", "a")
	if err != nil {
		return false, err
	}
	archive, err := w.startEndpoint("i-archive-1", "archive", "a")
	if err != nil {
		return false, err
	}
	entries, err := w.startEntries("a")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	paths, n := []string{"/desk/2f", "/desk/eu%2F17", "/desk/eu/17"}, 0
	next := func() string { n++; return paths[n%len(paths)] }
	if !w.calm() {
		time.AfterFunc(5*time.Second, func() {
			split := append([]map[string]any{route("r-eu", "/desk/eu/", "archive")}, routes...)
			w.store.put("op/config", configuration(7, split, services))
			w.note("the store has acknowledged version 7: /desk/eu/ goes to archive, /desk/ to desk as before")
		})
	}
	c.pace(entries, 20, 12, next)
	log := c.all()
	w.note("answers by status: %v", statuses(log))
	broken := 0
	for _, service := range []*endpoint{desk, archive} {
		counts := map[string]int{}
		for _, a := range service.all() {
			counts[a.path]++
			// No configuration has a prefix of archive that begins such a path.
			if service == archive && !strings.HasPrefix(a.path, "/desk/eu/") {
				broken++
			}
		}
		w.note("ran at %s: %v", service.service, counts)
	}
	w.note("requests run by a service to which no configuration allows them: %d", broken)
	w.recordAll(log, desk, archive)
	return broken > 0, nil
}
