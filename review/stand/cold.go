package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// The cold limits of the deployment, and what the rule FAILBACK makes of them.
	coldSeconds, coldPerSecond = 3.0, 38.0
	coldOver, coldSlack        = 1.5, 5.0
	coldLimit                  = coldPerSecond*coldOver + coldSlack
)

// runCold plays a long cut of one of three data centres from the platform, during which the
// endpoints of a service come back cold. TROUBLE=return brings them back cold without a cut.
func runCold(w *world) (bool, error) {
	services := []map[string]any{service("desk", coldSeconds, coldPerSecond)}
	w.store.put("op/config", configuration(3, []map[string]any{route("r-desk", "/desk/", "desk")}, services))
	var endpoints []*endpoint
	for i := range 2 {
		e, err := w.startEndpoint(fmt.Sprintf("i-desk-%d", i), "desk", "c")
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	entries, err := w.startEntries("a", "b", "c")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	path := func() string { return "/desk/2f" }
	c.wait.Go(func() { c.pace(entries, 360, 39, path) })
	w.at(5)
	if w.trouble == "" {
		entries[0].path.setCut(true)
		w.note("data centre a with %s is cut from the store", entries[0].name)
	}
	w.at(33)
	w.note("entries listed in the store: %v", w.store.keys("elmcove/entries/"))
	back := time.Now()
	if !w.calm() {
		for _, e := range endpoints {
			e.crash()
		}
		w.note("the endpoints are down")
		w.at(35)
		for i, e := range endpoints {
			e.restart(fmt.Sprintf("i-cold-%d", i), time.Duration(coldSeconds*float64(time.Second)))
		}
		back = time.Now()
		w.note("the endpoints are back, cold for %.0f s", coldSeconds)
	}
	w.at(39)
	entries[0].path.setCut(false)
	log := c.all()
	w.note("answers by status: %v", statuses(log))
	by := map[string]string{}
	for _, s := range log {
		by[s.attempt] = s.entry
	}
	broken := false
	for _, e := range endpoints {
		broken = w.checkCold(e, back, by) || broken
	}
	w.recordAll(log, endpoints...)
	return broken, nil
}

// checkCold reports whether an endpoint that was cold from a time on got more requests in a
// second than it may.
func (w *world) checkCold(e *endpoint, since time.Time, by map[string]string) bool {
	var cold []arrival
	for _, a := range e.all() {
		if a.cold && !a.at.Before(since) {
			cold = append(cold, a)
		}
	}
	slices.SortFunc(cold, func(a, b arrival) int { return a.at.Compare(b.at) })
	most, first := 0, 0
	for i := range cold {
		n := i
		for n < len(cold) && cold[n].at.Sub(cold[i].at) < time.Second {
			n++
		}
		if n-i > most {
			most, first = n-i, i
		}
	}
	counts := map[string]int{}
	for _, a := range cold[first : first+most] {
		counts[by[a.attempt]]++
	}
	w.note("%s got %d requests while cold, at most %d in a second, by entry %v; the limit is %.0f", e.id, len(cold), most, counts, coldLimit)
	return float64(most) > coldLimit
}

// suddenEnd is when runSudden ends, in seconds.
const suddenEnd = 50

// runSudden plays endpoints that become cold again while they serve, and say so in their
// entries at once.
func runSudden(w *world) (bool, error) {
	services := []map[string]any{service("desk", coldSeconds, coldPerSecond), service("others", 0, 0)}
	w.store.put("op/config", configuration(3, []map[string]any{route("r-desk", "/desk/", "desk")}, services))
	var endpoints []*endpoint
	for i := range 3 {
		e, err := w.startEndpoint(fmt.Sprintf("i-desk-%d", i), "desk", "a")
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	for i := range 12 {
		time.Sleep(heartbeat / 12)
		if _, err := w.startEndpoint(fmt.Sprintf("i-other-%d", i), "others", "a"); err != nil {
			return false, err
		}
	}
	entries, err := w.startEntries("a", "b", "c")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	c.wait.Go(func() { c.pace(entries, 600, suddenEnd, func() string { return "/desk/2f" }) })
	since := time.Now()
	for i := range 6 {
		w.at(8 + 7.3*float64(i))
		if e := endpoints[i%len(endpoints)]; !w.calm() {
			e.cool(time.Duration(coldSeconds * float64(time.Second)))
			w.note("%s is cold for %.0f s, as its entry says", e.id, coldSeconds)
		}
	}
	log := c.all()
	w.note("answers by status: %v", statuses(log))
	by := map[string]string{}
	for _, s := range log {
		by[s.attempt] = s.entry
	}
	broken := false
	for _, e := range endpoints {
		broken = w.checkCold(e, since, by) || broken
	}
	w.recordAll(log, endpoints...)
	return broken, nil
}
