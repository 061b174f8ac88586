package elmfleet

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/route/elmpicker"
	"github.com/elmcove/elmcove/internal/wire/elmkvapi"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

const (
	wantInterval = 1500 * time.Millisecond
	firstRedial  = 100 * time.Millisecond
	lastRedial   = 5 * time.Second
	// spareWindow is the room that an entry asks for beyond its present use.
	spareWindow = 2
	// fullTime is the time for which an endpoint that refused a request for
	// want of room is taken to be full.
	fullTime = 100 * time.Millisecond
)

// member is one agent and the link to it.
type member struct {
	fleet    *Fleet
	instance elmkvapi.Instance
	retired  chan struct{}
	once     sync.Once

	mutex       sync.Mutex
	datacentre  string
	service     string
	link        *elmlink.Link
	grant       *elmwire.Grant
	expires     time.Time
	outstanding int
	peak        int
	full        time.Time
}

// retire ends the link once it is idle.
func (m *member) retire() {
	m.once.Do(func() { close(m.retired) })
}

// run keeps the link up until the member is retired or the context ends.
func (m *member) run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRedial
	delays.MaxInterval = lastRedial
	for {
		link, err := m.fleet.dial(ctx, m.instance.Address)
		if err == nil {
			delays.Reset()
			m.serve(ctx, link)
		} else {
			m.fleet.logger.Event(elmlog.DialFailed, "agent", m.instance.Name, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.retired:
			return
		case <-time.After(delays.NextBackOff()):
		}
	}
}

// serve uses a link until it ends.
func (m *member) serve(ctx context.Context, link *elmlink.Link) {
	m.fleet.logger.Event(elmlog.LinkUp, "agent", m.instance.Name)
	m.setLink(link)
	m.learn(link.Peer())
	go m.receive(link)
	m.converse(ctx, link)
	m.setLink(nil)
	link.Close()
	m.fleet.logger.Event(elmlog.LinkDown, "agent", m.instance.Name)
}

// learn takes over what the agent says of itself. An agent that is known by
// its address alone has no more than that.
func (m *member) learn(peer *elmwire.Hello) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.datacentre = peer.GetDatacentre()
	m.service = peer.GetService()
}

// serves reports whether the agent's endpoint offers a service.
func (m *member) serves(service string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.service == service
}

// converse tells the agent what the entry wants until the link ends. It ends
// an idle link to an agent that is retired or leaving for good.
func (m *member) converse(ctx context.Context, link *elmlink.Link) {
	ticker := time.NewTicker(wantInterval)
	defer ticker.Stop()
	for {
		m.sendWant(link)
		select {
		case <-ticker.C:
		case <-link.Done():
			return
		case <-ctx.Done():
			return
		}
		if m.ending() {
			return
		}
	}
}

func (m *member) receive(link *elmlink.Link) {
	for {
		message, err := link.Receive()
		if err != nil {
			link.Close()
			return
		}
		switch kind := message.GetKind().(type) {
		case *elmwire.Control_Grant:
			m.takeGrant(kind.Grant)
		case *elmwire.Control_Update:
			m.fleet.holder.Adopt(kind.Update)
		}
	}
}

// takeGrant takes in a grant, and brings the agent forward if its
// configuration is old.
func (m *member) takeGrant(grant *elmwire.Grant) {
	m.mutex.Lock()
	m.grant = grant
	m.expires = time.Now().Add(time.Duration(grant.GetLifetimeMs()) * time.Millisecond)
	m.mutex.Unlock()
	m.announce()
}

func (m *member) announce() {
	m.mutex.Lock()
	link, grant := m.link, m.grant
	m.mutex.Unlock()
	if link == nil || grant == nil {
		return
	}
	for _, u := range m.fleet.holder.Since(grant.GetRevision()) {
		_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Update{Update: u}}) // A lost link ends itself.
	}
}

func (m *member) sendWant(link *elmlink.Link) {
	m.mutex.Lock()
	window := m.peak + spareWindow
	m.peak = m.outstanding
	m.mutex.Unlock()
	want := &elmwire.Want{Window: uint32(window), Revision: m.fleet.holder.Revision()}
	_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Want{Want: want}}) // A lost link ends itself.
}

func (m *member) setLink(link *elmlink.Link) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.link = link
	m.grant = nil
}

// ending reports whether the link is no longer needed and idle.
func (m *member) ending() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.outstanding == 0 && (m.grant.GetClosing() || m.isRetired())
}

func (m *member) isRetired() bool {
	select {
	case <-m.retired:
		return true
	default:
		return false
	}
}

// candidate describes the endpoint for placement, if it takes new work.
func (m *member) candidate() (elmpicker.Candidate, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.link == nil || m.grant == nil || m.grant.GetLeaving() {
		return elmpicker.Candidate{}, false
	}
	c := elmpicker.Candidate{
		Agent:      m.instance.Name,
		Datacentre: m.datacentre,
		Running:    max(int(m.grant.GetRunning()), m.outstanding),
		Limit:      int(m.grant.GetLimit()),
	}
	now := time.Now()
	if now.Before(m.full) {
		c.Running = c.Limit
		return c, true
	}
	if now.Before(m.expires) {
		c.Credits = max(int(m.grant.GetWindow())-m.outstanding, 0)
	}
	return c, true
}

func (m *member) status() Status {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Status{
		Agent:       m.instance.Name,
		Datacentre:  m.datacentre,
		Service:     m.service,
		Linked:      m.link != nil,
		Leaving:     m.grant.GetLeaving(),
		Window:      int(m.grant.GetWindow()),
		Outstanding: m.outstanding,
		Running:     int(m.grant.GetRunning()),
		Limit:       int(m.grant.GetLimit()),
		Revision:    m.grant.GetRevision(),
	}
}

// call sends a request on a stream of its own.
func (m *member) call(ctx context.Context, open *elmwire.Open) (*Call, error) {
	m.mutex.Lock()
	link := m.link
	m.mutex.Unlock()
	if link == nil {
		return nil, ErrGone
	}
	open.Incarnation = link.Peer().GetIncarnation()
	stream, err := link.Open(ctx)
	if err != nil {
		return nil, err
	}
	m.begin()
	call := newCall(m.instance.Name, stream, open.GetAttempt(), m.end)
	if err := elmlink.Write(stream, open); err != nil {
		call.Close()
		return nil, err
	}
	_ = stream.Close() // The agent reads one message only.
	return call, nil
}

// noteFull lets the endpoint be asked last for a short time.
func (m *member) noteFull() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.full = time.Now().Add(fullTime)
}

func (m *member) begin() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding++
	m.peak = max(m.peak, m.outstanding)
}

func (m *member) end() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding--
}
