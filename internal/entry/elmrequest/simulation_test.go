package elmrequest_test

import (
	"bytes"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/agent/elmjob"
	"github.com/elmcove/elmcove/internal/entry/elmrequest"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	claimKey   = "claim:north:1"
	agentCount = 5
)

// event is a message in transit. The test chooses when it arrives, if at all.
type event struct {
	name string
	// arrive delivers the message.
	arrive func()
	// lose drops the message and, in time, notifies the sender of the failure.
	lose func()
}

// exchange is one try of the caller at one entry.
type exchange struct {
	simulation *simulation
	number     int
	request    elmrequest.Request
	job        *job
	// readTime is the store's time of the read that the request's claim is
	// based on. voidTime is the store's time of the write that fenced all
	// claims read before it. Both are 0 until the read or write.
	readTime int
	voidTime int
	// mustNotRun is true once the request must not run any more.
	mustNotRun bool
	killed     bool
	answer     string
}

// job is one attempt at an agent.
type job struct {
	state    elmjob.Job
	exchange *exchange
	attempt  string
	agent    int
	killed   bool
}

// claim is the state of the claim record in the store at one time.
type claim struct {
	time    int
	version int64
	data    []byte
	// voided is the time of the last void record, which fenced older claims.
	voided int
}

// simulation models entries, agents, a key-value store and a service around the
// state machines of package elmrequest and package elmjob, and records
// violations of the protocol. Any delay and order is possible, since events
// stay pending until the test selects them.
type simulation struct {
	pending      []*event
	claim        claim
	incarnations [agentCount]int
	opened       map[string]bool
	full         map[int]bool
	executions   int
	lastRun      int
	exchanges    []*exchange
	jobs         []*job
	storeDown    bool
	noCompare    bool
	noFence      bool
	noClaim      bool
	violations   []string
	log          []string
}

func newSimulation() *simulation {
	return &simulation{opened: map[string]bool{}, full: map[int]bool{}}
}

func (s *simulation) push(name string, arrive, lose func()) {
	s.pending = append(s.pending, &event{name: name, arrive: arrive, lose: lose})
}

func (s *simulation) take(index int) *event {
	e := s.pending[index]
	s.log = append(s.log, e.name)
	s.pending = slices.Delete(s.pending, index, index+1)
	return e
}

// sendRequest sends the caller's request through a further entry.
func (s *simulation) sendRequest() {
	number := len(s.exchanges)
	request := elmrequest.New(fmt.Sprintf("entry-%d", number), elmrequest.Keyed).WithKey(claimKey, []byte("digest"))
	x := &exchange{simulation: s, number: number, request: request}
	s.exchanges = append(s.exchanges, x)
	x.deliver(elmrequest.Start{})
}

// drain delivers all pending events and then lets all deadlines expire. It does
// so twice, since an expired deadline leads to further events.
func (s *simulation) drain() {
	for range 2 {
		for len(s.pending) > 0 {
			s.take(0).arrive()
		}
		for _, x := range s.exchanges {
			x.deliver(elmrequest.Expired{})
		}
	}
	for _, x := range s.exchanges {
		if !x.killed && !x.request.Done() {
			s.violate("request %d never ended, in state %s", x.number, x.request.State())
		}
	}
}

func (s *simulation) violate(format string, values ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}

func (s *simulation) killAgent(agent int) {
	s.incarnations[agent]++
	for _, j := range s.jobs {
		if j.agent == agent && !j.killed {
			j.killed = true
			j.exchange.schedule("link failed", elmrequest.Broken{Attempt: j.attempt})
		}
	}
}

// schedule adds a pending message to the entry. If it is lost, the deadline
// expires.
func (x *exchange) schedule(name string, m elmrequest.Message) {
	x.simulation.push(name, func() { x.deliver(m) }, func() { x.schedule("timeout", elmrequest.Expired{}) })
}

func (x *exchange) deliver(m elmrequest.Message) {
	if x.killed {
		return
	}
	var commands []elmrequest.Command
	before := x.request.State()
	x.request, commands = x.request.Update(m)
	x.simulation.log = append(x.simulation.log, fmt.Sprintf("  request %d: %T: %s to %s", x.number, m, before, x.request.State()))
	for _, c := range commands {
		x.perform(c)
	}
}

func (x *exchange) perform(command elmrequest.Command) {
	s := x.simulation
	switch c := command.(type) {
	case elmrequest.Read:
		s.read("read claim", func(c claim) {
			x.readTime = c.time
			x.deliverClaim(c)
		}, func() { x.deliver(elmrequest.StoreFailed{}) })
	case elmrequest.Void:
		x.void(c)
	case elmrequest.Place:
		x.place(c)
	case elmrequest.Send:
		x.send(c)
	case elmrequest.Cancel:
		if j := x.job; j != nil {
			s.push("cancel", func() { j.deliver(elmjob.Cancelled{}) }, func() {})
		}
	case elmrequest.Refuse:
		x.refuse(c)
	case elmrequest.Finish:
		x.answer = "whole"
		if s.executions != 1 {
			s.violate("request %d was answered after %d executions", x.number, s.executions)
		}
	case elmrequest.Replay:
		x.answer = "replayed"
		if s.executions != 1 {
			s.violate("request %d was replayed after %d executions", x.number, s.executions)
		}
	}
}

func (x *exchange) deliverClaim(c claim) {
	tally := &elmwire.Tally{}
	if err := proto.Unmarshal(c.data, tally); err != nil {
		panic(err)
	}
	x.deliver(elmrequest.Tallied{Version: c.version, Tally: tally})
}

func (x *exchange) void(c elmrequest.Void) {
	if x.simulation.noFence {
		x.simulation.claim.time++
		x.voidTime = x.simulation.claim.time
		x.deliver(elmrequest.Voided{Version: c.Version + 1})
		return
	}
	data := encode(c.Tally)
	x.simulation.swap("void claim", c.Version, data, func(won bool, current claim) {
		x.voidTime = current.voided
		if won {
			x.readTime = x.voidTime
			x.deliver(elmrequest.Voided{Version: current.version})
			return
		}
		x.deliverClaim(current)
	}, func() { x.deliver(elmrequest.StoreFailed{}) })
}

func (x *exchange) place(c elmrequest.Place) {
	agent := (x.number + len(c.Tried)) % agentCount
	if slices.Contains(c.Tried, fmt.Sprint(agent)) || len(c.Tried) >= agentCount {
		x.deliver(elmrequest.Unplaced{})
		return
	}
	x.deliver(elmrequest.Placed{Agent: fmt.Sprint(agent)})
}

func (x *exchange) send(c elmrequest.Send) {
	var agent int
	if _, err := fmt.Sscan(c.Agent, &agent); err != nil {
		panic(err)
	}
	incarnation := x.simulation.incarnations[agent]
	x.simulation.push("open", func() { x.open(c, agent, incarnation) }, func() { x.deliver(elmrequest.Broken{Attempt: c.Attempt}) })
}

// open handles the arrival of a request at an agent.
func (x *exchange) open(c elmrequest.Send, agent, incarnation int) {
	s := x.simulation
	claim := c.Claim
	if s.noClaim {
		claim = nil
	}
	j := &job{exchange: x, attempt: c.Attempt, agent: agent, state: elmjob.New(fmt.Sprintf("%d/%d", agent, incarnation), claim).WithNonIdempotent()}
	s.jobs = append(s.jobs, j)
	x.job = j
	name := fmt.Sprintf("%d/%d/%s", agent, incarnation, c.Attempt)
	switch {
	case s.incarnations[agent] != incarnation, s.opened[name]:
		j.deliver(elmjob.Denied{Reason: elmwire.Reason_REASON_STALE})
	case s.full[agent]:
		j.deliver(elmjob.Denied{Reason: elmwire.Reason_REASON_CAPACITY})
	default:
		s.opened[name] = true
		j.deliver(elmjob.Admitted{})
	}
}

// refuse checks the outcome that is reported to the caller. A request that is
// reported as not-run must not run later. The same holds for each request whose
// claim was read before the void record was written. A retry that read its
// claim afterwards may run while the refusal is still in transit.
func (x *exchange) refuse(c elmrequest.Refuse) {
	x.answer = string(c.Outcome)
	if c.Outcome != elmrequest.NotRun {
		return
	}
	s := x.simulation
	x.mustNotRun = true
	if s.executions > 0 && s.lastRun < x.voidTime {
		s.violate("request %d was reported as not-run after an execution", x.number)
	}
	for _, other := range s.exchanges {
		other.mustNotRun = other.mustNotRun || (other.readTime > 0 && other.readTime < x.voidTime)
	}
}

func (j *job) deliver(m elmjob.Message) {
	if j.killed {
		return
	}
	var commands []elmjob.Command
	j.state, commands = j.state.Update(m)
	for _, c := range commands {
		j.perform(c)
	}
}

func (j *job) perform(command elmjob.Command) {
	s := j.exchange.simulation
	switch c := command.(type) {
	case elmjob.Swap:
		name := "start claim"
		if c.Tally.GetPhase() == elmwire.Phase_PHASE_DONE {
			name = "record claim"
		}
		s.swap(name, c.Version, encode(c.Tally), func(won bool, current claim) {
			j.deliver(elmjob.Swapped{Won: won, Version: current.version})
		}, func() { j.deliver(elmjob.StoreFailed{}) })
	case elmjob.Run:
		s.push("run", j.run, func() { j.deliver(elmjob.EndpointFailed{}) })
	case elmjob.End:
		x := j.exchange
		s.push("answer", func() {
			x.deliver(elmrequest.Headed{Attempt: j.attempt, Status: 200})
			x.deliver(elmrequest.Ended{Attempt: j.attempt})
		}, func() { x.deliver(elmrequest.Broken{Attempt: j.attempt}) })
	case elmjob.Refuse:
		x := j.exchange
		s.push("refusal", func() { x.deliver(elmrequest.Refused{Attempt: j.attempt, Refusal: c.Refusal}) }, func() { x.deliver(elmrequest.Broken{Attempt: j.attempt}) })
	}
}

// run handles the arrival of the request at the service and counts executions.
func (j *job) run() {
	s := j.exchange.simulation
	s.executions++
	s.claim.time++
	s.lastRun = s.claim.time
	if s.executions > 1 {
		s.violate("executed %d times", s.executions)
	}
	if j.exchange.mustNotRun {
		s.violate("request %d ran after it was reported as not-run", j.exchange.number)
	}
	s.push("reply", func() { j.deliver(elmjob.Replied{Status: 200, Body: []byte("filed")}) }, func() { j.deliver(elmjob.EndpointFailed{}) })
}

// read reads the claim from the store.
func (s *simulation) read(name string, done func(c claim), failed func()) {
	s.push(name, func() {
		if s.storeDown {
			failed()
			return
		}
		s.claim.time++
		current := s.claim
		s.push(name+" reply", func() { done(current) }, failed)
	}, failed)
}

// swap writes the claim if its version is expect, and reads it back if the
// reply is lost. The write may take effect after its sender stopped waiting.
func (s *simulation) swap(name string, expect int64, data []byte, done func(won bool, current claim), failed func()) {
	wrote := func(c claim) bool { return c.version == expect+1 && bytes.Equal(c.data, data) }
	resolve := func() {
		s.read(name+" back", func(c claim) {
			if c.version == expect {
				failed()
				return
			}
			done(wrote(c), c)
		}, failed)
	}
	s.push(name, func() {
		if s.storeDown {
			failed()
			return
		}
		won := s.write(expect, data)
		current := s.claim
		s.push(name+" reply", func() { done(won || wrote(current), current) }, resolve)
	}, func() {
		s.push(name+" late", func() { s.write(expect, data) }, func() {})
		resolve()
	})
}

// write applies a compare-and-swap at the store and reports whether it won.
func (s *simulation) write(expect int64, data []byte) bool {
	if !s.noCompare && s.claim.version != expect {
		return false
	}
	s.claim.time++
	s.claim.version++
	s.claim.data = data
	tally := &elmwire.Tally{}
	if err := proto.Unmarshal(data, tally); err != nil {
		panic(err)
	}
	if tally.GetPhase() == elmwire.Phase_PHASE_VOID {
		s.claim.voided = s.claim.time
	}
	return true
}

func encode(t *elmwire.Tally) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		panic(err)
	}
	return data
}
