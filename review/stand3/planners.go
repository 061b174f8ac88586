package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	modelService = "writers"
	modelPrefix  = "/notes/"
	// slowRank gives no answer to prepare orders of the first planner, and deafRank to an arm
	// order of the second one.
	slowRank, deafRank = 5, 7
	// rhythm is a bit less than the time between two hold orders of one planner.
	rhythm = 57 * time.Millisecond
	// latePrepares and lateArms are how many of these orders get no answer.
	latePrepares, lateArms = 6, 2
	// waningHolds is how many hold orders for a step come before a client sends a request.
	waningHolds = 6
	// requestGap is the shortest time between these requests, and firstPoll the time that a new
	// planner has for its first poll.
	requestGap, firstPoll = 250 * time.Millisecond, 80 * time.Millisecond
	justNow               = 6 * time.Millisecond
)

// scene decides which orders get no answer. The mutex of the group is held in late.
type scene struct {
	group *group
	// firstVersion is the version that the first planner has prepared.
	firstVersion int64
	prepares     int
	started      chan struct{}
	// lastHold is when the last hold order came, holdStep its step, and holds how many came for that step.
	lastHold time.Time
	holdStep int64
	holds    int
	// accepted means that a rank holds the group.
	accepted bool
	held     chan struct{}
	deaf     int
}

func (c *scene) late(rank int, o groupOrder) bool {
	switch o.Operation {
	case "prepare":
		if c.firstVersion == 0 {
			c.firstVersion = o.Version
			close(c.started)
		}
		if rank == slowRank && o.Version == c.firstVersion {
			c.prepares++
			return c.prepares <= latePrepares
		}
	case "hold":
		return c.lateHold(o.Step)
	case "arm":
		if rank == deafRank && c.accepted && c.deaf < lateArms {
			c.deaf++
			return true
		}
	}
	return false
}

// lateHold leaves hold orders without an answer until two planners send them. A planner sends them
// at equal times, so that one in between is of the other.
func (c *scene) lateHold(step int64) bool {
	if c.accepted {
		return false
	}
	since := time.Since(c.lastHold)
	c.lastHold = time.Now()
	if step != c.holdStep {
		c.holdStep, c.holds = step, 0
	}
	c.holds++
	if !c.group.allPrepared(c.firstVersion) || since > rhythm {
		return true
	}
	c.accepted = true
	close(c.held)
	return false
}

// awaitHold waits until a hold order has just come, so that the passes of a request are over before
// its planner asks for the rank's report.
func (c *scene) awaitHold() {
	for end := time.Now().Add(requestGap); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		c.group.mutex.Lock()
		since := time.Since(c.lastHold)
		c.group.mutex.Unlock()
		if since < justNow {
			return
		}
	}
}

// waning reports whether a planner will soon give up holding the group.
func (c *scene) waning() bool {
	c.group.mutex.Lock()
	defer c.group.mutex.Unlock()
	return !c.accepted && c.holds >= waningHolds
}

// await waits until a channel is closed.
func await(ctx context.Context, what string, c chan struct{}, limit time.Duration) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
	case <-time.After(limit):
	}
	return fmt.Errorf("%w: no %s within %v", errSetup, what, limit)
}

// startGroup starts a group with its replicas and the agents beside them.
func (s *site) startGroup(ctx context.Context, g *group) error {
	for r := range groupRanks {
		m := &modelReplica{group: g, rank: r, id: fmt.Sprintf("i-rank%d", r), service: modelService, site: s}
		ip := s.machine()
		var err error
		if m.address, err = s.serve(ip, 0, m); err != nil {
			return err
		}
		if _, err = s.agent(fmt.Sprintf("side-%d", r), ip, m.address, modelService); err != nil {
			return err
		}
		go m.beat(ctx)
	}
	go g.run(ctx)
	return nil
}

// modelConfig returns a configuration with a model service.
func modelConfig() map[string]any {
	return map[string]any{
		versionField: 3,
		"routes": []any{map[string]any{
			nameField: "notes", "host": hostName, "prefix": modelPrefix, "kind": "streaming", "timeoutMs": 8000, "sloMs": 400, "priority": 1,
			"service": modelService, "attempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 120,
		}},
		"services": []any{map[string]any{
			nameField: modelService, "healthPath": "/health", "maxConnections": 408, "protocol": "h1", "tls": false, "coldStartS": 3.0,
			"coldPerS": 38.0, "engine": map[string]any{
				"slots": 12, "kvCapacity": 372000, "kvTokenBytes": 96256, "linkMbps": 180000.0, "stride": 5,
				"models": []any{map[string]any{nameField: "m"}}, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036,
				"read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
				"delays": []any{}, "usual": map[string]any{"prompt": 835, "answer": 139}, "sets": groupSets, "experts": groupExperts,
				"places": rankPlaces, "spare": maxNew, "expertMb": 780.0, "expertShare": 0.85, "form_ms": 600.0,
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{nameField: "hule930", "apiKeys": []string{credential}, "priority": 1}},
	}
}

// playPlanners has two routers plan the maps of a group. With trouble, the group's replicas leave
// some of the orders without an answer and carry them out later. The rule MAP is broken if a
// pass begins while two ranks have different maps.
func playPlanners(ctx context.Context, r *record, trouble bool) error {
	return withSite(r, func(s *site) error { return plannersCase(ctx, s, trouble) })
}

func plannersCase(ctx context.Context, s *site, trouble bool) error {
	s.store.put("op/config", modelConfig())
	g := newGroup(s.record)
	c := &scene{group: g, held: make(chan struct{}), started: make(chan struct{})}
	g.late = func(rank int, o groupOrder) bool { return c.late(rank, o) && trouble }
	running, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.startGroup(running, g); err != nil {
		return err
	}
	clients, err := s.startRouters(ctx, "edge-1", "edge-2")
	if err != nil {
		return err
	}
	l := &load{clients: clients}
	err = c.play(ctx, s, l)
	answers := l.wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s.record.say("answers by status: %v; orders: %d, without an answer: %d; passes: %d; map at the end: %d; mixed: %q",
		statuses(answers), g.orders, g.lates, g.step, g.ranks[0].active, g.mixed)
	if g.mixed != "" {
		return fmt.Errorf("%w: MAP: %s", errBroken, g.mixed)
	}
	if err == nil && g.ranks[0].active == 0 {
		err = fmt.Errorf("%w: no map was rolled out", errSetup)
	}
	return err
}

// play lets a rollout of the first planner take longer than its lease, so that two planners
// act at once. Meanwhile clients send a request now and then. If no order is late, the leader stays.
func (c *scene) play(ctx context.Context, s *site, l *load) error {
	key := "elmcove/planner/" + modelService
	sending, pause := context.WithCancel(ctx)
	defer pause()
	l.start(sending, http.MethodPost, modelPrefix, 10)
	if err := await(ctx, "rollout", c.started, 15*time.Second); err != nil {
		return err
	}
	pause()
	leader, _, _ := strings.Cut(s.store.value(key), " ")
	s.record.line("the leader is %s; clients pause", leader)
	last, taken := time.Now(), false
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !closed(c.held); time.Sleep(5 * time.Millisecond) {
		now, _, _ := strings.Cut(s.store.value(key), " ")
		changed := !taken && now != "" && now != leader
		if changed {
			taken = true
			s.record.line("the leader is %s", now)
			time.Sleep(firstPoll)
		}
		if changed || !taken && c.waning() && time.Since(last) > requestGap {
			last = time.Now()
			c.awaitHold()
			s.record.line("a client sends a request")
			l.once(ctx, modelPrefix)
		}
	}
	s.record.line("two planners hold the group: %t; clients go on", closed(c.held))
	again, end := context.WithTimeout(ctx, 5*time.Second)
	defer end()
	l.start(again, http.MethodPost, modelPrefix, 20)
	<-again.Done()
	return nil
}

// closed reports whether a channel is closed.
func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
