package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	groupRanks   = 12
	groupSets    = 4
	groupExperts = 72
	rankPlaces   = 8
	maxNew       = 3
	// copyTime is how long a rank copies one expert: 780 MB over 180 Gbps.
	copyTime = 35 * time.Millisecond
	// passTime is the time of a pass, and requestPasses is how many passes a request takes.
	passTime      = 8 * time.Millisecond
	requestPasses = 4
	// picks is how many tokens a request gives to experts in each set and pass.
	picks = 600
	// lateAfter is when an order that got no answer is carried out (2 to 12 s).
	lateAfter = 2500 * time.Millisecond

	nameField, versionField = "name", "version"
)

// groupRank is the state of a rank. A version or pass of 0 means none, except in active, where
// 0 is the initial map.
type groupRank struct {
	highest, prepared, armed, armedStep, held, active int64
	maps                                              map[int64][][]int
	counts                                            []int64
	running                                           int
	orders                                            int64
}

// groupOrder is the body of an order.
type groupOrder struct {
	Operation string    `json:"operation"`
	Version   int64     `json:"version"`
	Step      int64     `json:"step"`
	Epoch     int64     `json:"epoch"`
	Map       [][][]int `json:"map"`
}

// group stands in for a group of ranks that run their passes together.
type group struct {
	record *record
	// late decides whether an order gets no answer and is carried out later. The mutex is held.
	late func(rank int, o groupOrder) bool

	mutex  sync.Mutex
	step   int64
	ranks  []groupRank
	work   []*work
	orders int
	lates  int
	mixed  string
	wake   chan struct{}
}

// work is a request that runs.
type work struct {
	rank   int
	left   int
	pieces chan int
}

func newGroup(r *record) *group {
	g := &group{record: r, late: func(int, groupOrder) bool { return false }, step: 1, wake: make(chan struct{}, 1)}
	for rank := range groupRanks {
		initial := make([][]int, groupSets)
		for s := range initial {
			for e := rank; e < groupExperts; e += groupRanks {
				initial[s] = append(initial[s], e)
			}
		}
		g.ranks = append(g.ranks, groupRank{maps: map[int64][][]int{0: initial}, counts: make([]int64, groupSets*groupExperts)})
	}
	return g
}

// run runs the passes while there is work.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		if g.pass() {
			time.Sleep(passTime)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.wake:
		}
	}
}

// wakeUp lets run look again.
func (g *group) wakeUp() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// pass begins the next pass, unless there is no work or a rank holds that pass.
func (g *group) pass() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.work) == 0 {
		return false
	}
	for _, k := range g.ranks {
		if k.held == g.step+1 {
			return false
		}
	}
	g.step++
	for r := range g.ranks {
		k := &g.ranks[r]
		if k.armed != 0 && k.armedStep == g.step {
			k.active, k.armed = k.armed, 0
		}
	}
	g.compare()
	var left []*work
	for _, w := range g.work {
		g.count(w.rank)
		w.left--
		w.pieces <- requestPasses - w.left
		if w.left > 0 {
			left = append(left, w)
			continue
		}
		close(w.pieces)
		g.ranks[w.rank].running--
	}
	g.work = left
	return true
}

// compare records the first pass that begins while ranks use different maps.
func (g *group) compare() {
	if g.mixed != "" {
		return
	}
	for r, k := range g.ranks {
		if k.active != g.ranks[0].active {
			g.mixed = fmt.Sprintf("pass %d begins with map %d on rank 0 and map %d on rank %d", g.step, g.ranks[0].active, k.active, r)
			g.record.line("MIXED: %s", g.mixed)
			return
		}
	}
}

// count counts what a request of a rank chooses: three experts, which the initial map has on
// one rank, far more often than the others.
func (g *group) count(rank int) {
	for s := range groupSets {
		own := g.ranks[rank].counts[s*groupExperts : (s+1)*groupExperts]
		for e := range own {
			own[e] += picks / 60 / int64(1+e/groupRanks)
		}
		for i := range 3 {
			own[i*groupRanks] += picks / int64(2+2*i)
		}
	}
}

// begin begins a request at a rank, and returns the channel of its pieces.
func (g *group) begin(rank int) chan int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w := &work{rank: rank, left: requestPasses, pieces: make(chan int, requestPasses)}
	g.work = append(g.work, w)
	g.ranks[rank].running++
	g.wakeUp()
	return w.pieces
}

// report is the body of a rank's report.
func (g *group) report(rank int) map[string]any {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k := &g.ranks[rank]
	report := map[string]any{
		"stage": "dual", "models": []any{}, "busy": false, "handles": 0, "kvUsed": 0, "kvTotal": 372000, "pace": 1,
		"group": map[string]any{nameField: "g1", "epoch": 1, "rank": rank, "state": "open"}, "size": groupRanks,
		"sequence": k.orders, "running": k.running, "waiting": 0, "step": g.step, "map": k.active,
		"prepared": nil, "armed": nil, "held": nil,
	}
	if k.prepared != 0 {
		report["prepared"] = k.prepared
	}
	if k.armed != 0 {
		report["armed"] = map[string]any{versionField: k.armed, "step": k.armedStep}
	}
	if k.held != 0 {
		report["held"] = k.held
	}
	return report
}

// picked is the body of a rank's answer to GET /elmcove/picked.
func (g *group) picked(rank int, lists bool) map[string]any {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k := &g.ranks[rank]
	if lists {
		return map[string]any{"map": map[string]any{versionField: k.active, "experts": k.maps[k.active]}, "prepared": nil}
	}
	return map[string]any{"step": g.step, "epoch": 1, "counts": append([]int64{}, k.counts...)}
}

// serveOrder serves an order, which may get no answer and be carried out later.
func (g *group) serveOrder(w http.ResponseWriter, q *http.Request, rank int) {
	document, err := io.ReadAll(q.Body)
	var o groupOrder
	if err != nil || json.Unmarshal(document, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mutex.Lock()
	g.orders++
	if g.late(rank, o) {
		g.lates++
		g.record.line("rank %d gives no answer to %s version %d step %d", rank, o.Operation, o.Version, o.Step)
		g.mutex.Unlock()
		time.AfterFunc(lateAfter, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			g.record.line("rank %d carries out late: %s version %d step %d: %d", rank, o.Operation, o.Version, o.Step, g.apply(rank, o))
			g.wakeUp()
		})
		<-q.Context().Done()
		return
	}
	status := g.apply(rank, o)
	g.record.line("rank %d: %s version %d step %d: %d", rank, o.Operation, o.Version, o.Step, status)
	g.mutex.Unlock()
	g.wakeUp()
	w.WriteHeader(status)
}

// apply applies an order and returns the status of the answer. The mutex must be held.
func (g *group) apply(rank int, o groupOrder) int {
	k := &g.ranks[rank]
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	status := http.StatusConflict
	switch o.Operation {
	case "prepare":
		status = g.prepare(rank, o)
	case "arm":
		switch {
		case k.armed == o.Version && k.armedStep == o.Step:
			return http.StatusOK
		case k.armed == 0 && k.prepared == o.Version && o.Step > g.step:
			k.armed, k.armedStep = o.Version, o.Step
			status = http.StatusAccepted
		}
	case "disarm":
		switch {
		case k.active == o.Version:
		case k.armed != o.Version:
			return http.StatusOK
		default:
			k.armed, status = 0, http.StatusAccepted
		}
	case "hold":
		switch {
		case k.held == o.Step && o.Step > g.step:
			return http.StatusOK
		case o.Step > g.step && k.held <= g.step:
			k.held, status = o.Step, http.StatusAccepted
		}
	case "go":
		if k.held != o.Step {
			return http.StatusOK
		}
		k.held, status = 0, http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		k.orders++
	}
	return status
}

// prepare begins to copy a map's experts.
func (g *group) prepare(rank int, o groupOrder) int {
	k := &g.ranks[rank]
	if o.Version <= k.highest || k.armed != 0 || len(o.Map) != groupSets {
		return http.StatusConflict
	}
	held := make([][]int, groupSets)
	added := 0
	for s := range o.Map {
		if len(o.Map[s]) != groupRanks || len(o.Map[s][rank]) > rankPlaces {
			return http.StatusConflict
		}
		held[s] = o.Map[s][rank]
		had := fmt.Sprint(k.maps[k.active][s], k.maps[k.highest][s])
		added += countNew(held[s], had)
	}
	k.highest, k.prepared, k.maps[o.Version] = o.Version, 0, held
	time.AfterFunc(time.Duration(added)*copyTime, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		if k.highest == o.Version {
			k.prepared = o.Version
			g.record.line("rank %d has prepared version %d (%d new experts)", rank, o.Version, added)
		}
	})
	return http.StatusAccepted
}

// countNew returns how many experts aren't in the text of lists of experts.
func countNew(experts []int, had string) int {
	words := strings.Fields(strings.NewReplacer("[", " ", "]", " ").Replace(had))
	n := 0
	for _, e := range experts {
		found := false
		for _, w := range words {
			found = found || w == strconv.Itoa(e)
		}
		if !found {
			n++
		}
	}
	return n
}

// allPrepared reports whether all ranks have prepared one version, higher than another.
func (g *group) allPrepared(above int64) bool {
	for _, k := range g.ranks {
		if k.prepared <= above || k.prepared != g.ranks[0].prepared {
			return false
		}
	}
	return true
}

// modelReplica is a replica of a model that is a rank of a group.
type modelReplica struct {
	group   *group
	rank    int
	id      string
	service string
	address string
	site    *site
}

// entry returns what the replica writes to the store.
func (m *modelReplica) entry(sequence int64) map[string]any {
	return map[string]any{
		"service": m.service, "address": m.address, "zone": zoneName, versionField: "v1", "slots": 12, "state": "ready", "coldLeftMs": 0,
		"stage": "dual", "models": []any{map[string]any{nameField: "m", versionField: 1, "adapters": []any{}}}, "sequence": sequence,
	}
}

// beat writes the entry at each heartbeat until the context ends.
func (m *modelReplica) beat(ctx context.Context) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		m.site.store.put("servers/"+m.id, m.entry(sequence))
		time.Sleep(heartbeat)
	}
}

// ServeHTTP serves requests, reports and orders.
func (m *modelReplica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.Header().Set("Instance-Id", m.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", m.id)
	case "/elmcove/report":
		writeJSON(w, m.group.report(m.rank))
	case "/elmcove/picked":
		writeJSON(w, m.group.picked(m.rank, q.URL.Query().Has("lists")))
	case "/elmcove/order":
		m.group.serveOrder(w, q, m.rank)
	default:
		m.stream(w, q)
	}
}

// stream answers a request with an event for each pass.
func (m *modelReplica) stream(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body) // The caller may have disconnected.
	attempt := q.Header.Get("Attempt-Id")
	m.group.record.line("rank %d runs %s", m.rank, attempt)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", "seal."+m.id+"."+attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for piece := range m.group.begin(m.rank) {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", piece, attempt, piece) // The caller may have disconnected.
		_ = http.NewResponseController(w).Flush()
	}
}
