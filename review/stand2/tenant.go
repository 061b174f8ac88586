package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokeLimit is revokeMs of the settings.
const revokeLimit = 5 * time.Second

// tenantCase removes the only tenant with its key. It breaks CONFIG if a request with that key, sent
// later than revokeMs after the acknowledgement, runs, and ROUTE if one with a key that no
// configuration held does.
func tenantCase(w *world, trouble bool) (bool, error) {
	mutex, runs, err := w.startReplicas(3, nil)
	if err != nil {
		return false, err
	}
	w.put("op/config", config(7, crew(key)))
	if err := w.startRouters(3); err != nil {
		return false, err
	}
	ask := func(number int, key string) string {
		id := fmt.Sprintf("%016x", number)
		w.send(w.fronts[number%len(w.fronts)], attempt{id: id, method: http.MethodGet, path: "/look/2f", key: key, deadline: 1500 * time.Millisecond})
		return id
	}
	for n := range 6 {
		ask(n+1, key)
	}
	if trouble {
		w.put("op/config", config(8, []any{}))
	}
	time.Sleep(revokeLimit + time.Second)
	late := map[string]string{}
	for n := range 12 {
		used := key
		if !trouble || n%2 == 1 {
			used = "key-that-nobody-holds"
		}
		late[ask(100+n, used)] = used
	}
	mutex.Lock()
	defer mutex.Unlock()
	broken := 0
	for _, r := range *runs {
		if used, ok := late[r.attempt]; ok {
			broken++
			w.record.add("CONFIG or ROUTE: %s ran at %s with the key %q, tenant %q", r.attempt, r.replica, used, r.tenant)
		}
	}
	w.record.add("%d of %d requests with a key that was taken away, or that nobody held, ran", broken, len(late))
	fmt.Printf("%d of %d requests with a key that was taken away, or that nobody held, ran\n", broken, len(late))
	return broken > 0, nil
}
