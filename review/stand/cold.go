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

// runCold plays a long cut of one entry from the store, during which the endpoints of a
// service come back cold.
func runCold(w *world) (bool, error) {
	services := []map[string]any{service("desk", coldSeconds, coldPerSecond)}
	w.store.put("op/config", configuration(3, []map[string]any{route("r-desk", "/desk/", "desk")}, services))
	var endpoints []*endpoint
	for i := range 2 {
		e, err := w.startEndpoint(fmt.Sprintf("i-desk-%d", i), "desk", "b", 6, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	entries, err := w.startEntries("a", "b")
	if err != nil {
		return false, err
	}
	c := newCaller(w)
	path := func() string { return "/desk/2f" }
	c.wait.Go(func() { c.pace(entries, 20, 33, path, key) })
	w.at(5)
	if !w.calm {
		entries[0].path.setCut(true)
		w.note("%s is cut from the store", entries[0].name)
	}
	w.at(33)
	w.note("entries listed in the store: %v", w.store.keys("elmcove/entries/"))
	for _, e := range endpoints {
		e.crash()
	}
	w.note("the endpoints are down")
	w.at(35)
	for i, e := range endpoints {
		e.restart(fmt.Sprintf("i-cold-%d", i), time.Duration(coldSeconds*float64(time.Second)))
	}
	back := time.Now()
	w.note("the endpoints are back, cold for %.0f s", coldSeconds)
	c.pace(entries, 300, 39, path, key)
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
	return broken, nil
}

// checkCold reports whether a cold endpoint got more requests in a second than it may.
func (w *world) checkCold(e *endpoint, back time.Time, by map[string]string) bool {
	var cold []arrival
	for _, a := range e.all() {
		if a.at.After(back) && a.at.Before(back.Add(time.Duration(coldSeconds*float64(time.Second)))) {
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
	for _, a := range cold[first:min(first+most, len(cold))] {
		counts[by[a.attempt]]++
	}
	w.note("%s got %d requests while cold, at most %d in a second, by entry %v; the limit is %.0f", e.id, len(cold), most, counts, coldLimit)
	for _, a := range cold {
		w.note("  %.3f s  %s from %s", a.at.Sub(w.began).Seconds(), a.attempt, by[a.attempt])
	}
	return float64(most) > coldLimit
}
