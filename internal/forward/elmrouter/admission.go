package elmrouter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/elmcove/elmcove/internal/forward/elmlifecycle"
	"github.com/elmcove/elmcove/internal/forward/elmplace"
	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/limit/elmadmission"
	"github.com/elmcove/elmcove/internal/limit/elmqueue"
	"github.com/elmcove/elmcove/internal/model/elmcatalog"
	"github.com/elmcove/elmcove/internal/observe/elmclock"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/observe/elmmeter"
)

// ErrAdmission reports an unknown value of the admission setting.
var ErrAdmission = errors.New("admission must be auto, pressure or off")

// Admission is the setting for the admission by priority.
type Admission string

const (
	// AdmissionAuto applies the admission to services whose requests differ in urgency.
	AdmissionAuto Admission = "auto"
	// AdmissionPressure does the same, and refuses the least urgent requests while callers see
	// late events although slots are free.
	AdmissionPressure Admission = "pressure"
	// AdmissionOff applies it to no service.
	AdmissionOff Admission = "off"
)

// ParseAdmission parses the admission setting.
func ParseAdmission(text string) (Admission, error) {
	switch a := Admission(text); a {
	case AdmissionAuto, AdmissionPressure, AdmissionOff:
		return a, nil
	}
	return "", fmt.Errorf("%w, not %q", ErrAdmission, text)
}

// Option configures a Router.
type Option func(*Router)

// WithAdmission sets the admission by priority. It is AdmissionAuto otherwise.
func WithAdmission(a Admission) Option {
	return func(r *Router) { r.admissions.setting = a }
}

const (
	// capacityTTL is how long a sum of the load of all endpoints is used. It adds to the age
	// of other entries' reports, which is up to 0.4 s.
	capacityTTL = 50 * time.Millisecond
	// levelEventInterval is the shortest interval between two events of one kind on the level
	// of a service.
	levelEventInterval = time.Second
)

// admissions holds the admission state of all services.
type admissions struct {
	setting Admission
	// share returns the part of what a workspace asks that is its share.
	share func(service, workspace string) float64
	// waiting is the number of requests that wait in all queues.
	waiting atomic.Int32

	mutex sync.Mutex
	// version is that of the configuration which ranks is from.
	version  int64
	ranks    map[string][]elmcatalog.Rank
	services map[string]*serviceAdmission
}

// newAdmissions returns the state of an entry that starts: it admits every request.
func newAdmissions() *admissions {
	return &admissions{
		setting: AdmissionAuto, services: map[string]*serviceAdmission{},
		share: func(string, string) float64 { return 1 },
	}
}

// service returns the state of a service, with the classes of a configuration unless a newer one
// is known.
func (a *admissions) service(name string, catalog elmcatalog.Catalog) *serviceAdmission {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if catalog.Version() > a.version && a.setting != AdmissionOff {
		a.version, a.ranks = catalog.Version(), catalog.Ranks()
		for _, s := range a.services {
			s.setRanks(a.ranks[s.name])
		}
	}
	s, ok := a.services[name]
	if !ok {
		s = &serviceAdmission{name: name, controller: a.newController(), level: 1, queue: elmqueue.New(), waiters: map[elmqueue.Ticket]*waiter{}}
		s.setRanks(a.ranks[name])
		a.services[name] = s
	}
	return s
}

// newController returns the controller of a service.
func (a *admissions) newController() *elmadmission.Controller {
	if a.setting == AdmissionPressure {
		return elmadmission.New(elmadmission.WithPressure())
	}
	return elmadmission.New()
}

// all returns the states of all services.
func (a *admissions) all() []*serviceAdmission {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := make([]*serviceAdmission, 0, len(a.services))
	for _, s := range a.services {
		list = append(list, s)
	}
	return list
}

// serviceAdmission is the admission state of one service.
type serviceAdmission struct {
	name string

	// mutex guards the fields up to restoredAt. It is locked after the router's mutex, or
	// without it: events of streams only lock this one.
	mutex      sync.Mutex
	controller *elmadmission.Controller
	// level is the level as of the last event on it.
	level                 float64
	loweredAt, restoredAt time.Duration

	// The router's mutex guards the fields below. Those that wait are in the queue.
	queue   *elmqueue.Queue
	waiters map[elmqueue.Ticket]*waiter
	// loadsAt is when other entries' loads last woke one that waits.
	loadsAt    time.Duration
	capacity   elmadmission.Capacity
	capacityAt time.Duration
}

// setRanks sets the ranks of the service's requests.
func (s *serviceAdmission) setRanks(ranks []elmcatalog.Rank) {
	var classes []elmadmission.Class
	for _, r := range ranks {
		classes = append(classes, elmadmission.Class(r))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.controller.SetClasses(classes)
}

// isRanked reports whether the service's requests differ in urgency.
func (s *serviceAdmission) isRanked() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.controller.IsRanked()
}

// isCut reports whether a class is refused because of the level.
func (s *serviceAdmission) isCut(c elmadmission.Class, now time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.controller.IsCut(c, now)
}

// recovery returns the time after which no class is refused because of the level, at the earliest.
func (s *serviceAdmission) recovery(now time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.controller.Recovery(now)
}

// recordAsk records that a caller has asked for the first time.
func (s *serviceAdmission) recordAsk(c elmadmission.Class, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.controller.RecordAsk(c, now)
}

// capacityOf returns the capacity of the service's members. The router's mutex must be held.
func (s *serviceAdmission) capacityOf(p *elmplace.Placer, service elmcatalog.Service, members []elmsnapshot.Member, now time.Duration) elmadmission.Capacity {
	if s.capacityAt == 0 || now-s.capacityAt >= capacityTTL {
		used, limit := p.Capacity(service, members, now)
		s.capacity = elmadmission.Capacity{Used: used, Limit: limit, Entries: p.Entries()}
		s.capacityAt = now
	}
	return s.capacity
}

// decideAdmission reports whether a request that has an endpoint with a free slot is placed.
// Requests that were placed before are. The router's mutex must be held.
func (d *delivery) decideAdmission(members []elmsnapshot.Member, now time.Duration) bool {
	s := d.admission
	if len(d.lifecycle.Tried()) > 0 || !s.isRanked() {
		return true
	}
	request := elmadmission.Request{
		Class: d.class, Returned: d.callerRetry, Waiting: d.decided, Overtakes: !d.waits && s.isOvertaken(d.class, now),
	}
	capacity := s.capacityOf(d.router.placer, d.service, members, now)
	share := d.router.admissions.share(d.service.Name, d.workspace)
	s.mutex.Lock()
	d.cut = s.controller.Decide(request, capacity, share, now)
	s.mutex.Unlock()
	d.decided = true
	return d.cut == elmadmission.Admit
}

// expiryOutcome returns the outcome at an endpoint whose request has ended without a response.
// If a request to a ranked service had more time there than a response may take, the endpoint may
// be cut off: without a failure, it gets further requests that end with 504.
func (d *delivery) expiryOutcome(m elmlifecycle.Message) elmplace.Outcome {
	_, expired := m.(elmlifecycle.Expired)
	sufficient := d.route.LatencyObjective + d.route.MaxEventGap
	if d.route.LatencyObjective <= 0 {
		sufficient = d.route.Timeout
	}
	if expired && d.sentAt > 0 && elmclock.Now()-d.sentAt >= sufficient && errors.Is(context.Cause(d.ctx), errDeadlineExceeded) && d.admission.isRanked() {
		return elmplace.Failed
	}
	return elmplace.Ignored
}

// recordGap records an event that came after a gap.
func (d *delivery) recordGap(gap, now time.Duration) {
	late := elmadmission.IsLate(gap, d.route.MaxEventGap)
	s := d.admission
	s.mutex.Lock()
	s.controller.RecordEvent(late, now)
	change := s.levelChange(now)
	s.mutex.Unlock()
	d.router.logLevel(s, change)
}

// recordFirst records the first event or the response of an attempt.
func (d *delivery) recordFirst() {
	if d.route.LatencyObjective <= 0 {
		return
	}
	now, s := elmclock.Now(), d.admission
	s.mutex.Lock()
	s.controller.RecordFirst(now-d.sentAt > d.route.LatencyObjective, now)
	change := s.levelChange(now)
	s.mutex.Unlock()
	d.router.logLevel(s, change)
}

// levelChange returns the event that is due on the level of the service, or 0. The service's
// mutex must be held.
func (s *serviceAdmission) levelChange(now time.Duration) elmlog.Event {
	level := s.controller.Level(now)
	switch {
	case level < s.level && now-s.loweredAt >= levelEventInterval:
		s.level, s.loweredAt = level, now
		return elmlog.AdmissionLowered
	case level >= 1 && s.level < 1 && now-s.restoredAt >= levelEventInterval:
		s.level, s.restoredAt = level, now
		return elmlog.AdmissionRestored
	}
	return 0
}

// logLevel logs an event on the level of a service, unless it is 0.
func (r *Router) logLevel(s *serviceAdmission, event elmlog.Event) {
	if event == 0 {
		return
	}
	s.mutex.Lock()
	level := s.level
	s.mutex.Unlock()
	r.logger.Event(event, "service", s.name, "level", level)
	r.meter.Set(elmmeter.AdmissionLevel, "service", s.name, level)
}

// reportAdmissions updates the gauges of all ranked services.
func (r *Router) reportAdmissions(now time.Duration) {
	for _, s := range r.admissions.all() {
		s.mutex.Lock()
		change := s.levelChange(now)
		level, ranked := s.controller.Level(now), s.controller.IsRanked()
		s.mutex.Unlock()
		r.logLevel(s, change)
		if ranked {
			r.meter.Set(elmmeter.AdmissionLevel, "service", s.name, level)
		}
		r.mutex.Lock()
		waiting := s.queue.Len()
		r.mutex.Unlock()
		r.meter.Set(elmmeter.QueueLength, "service", s.name, float64(waiting))
	}
}

// classText returns the text of a class for metrics and logs.
func classText(c elmadmission.Class) string {
	return fmt.Sprintf("%d/%d", c.Priority, c.RoutePriority)
}
