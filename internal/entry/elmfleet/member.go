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
	wantInterval      = 1500 * time.Millisecond
	minRedialInterval = 100 * time.Millisecond
	maxRedialInterval = 5 * time.Second
	// spareWindow is the number of slots that an entry requests beyond its peak
	// use in the last interval.
	spareWindow = 2
	// fullDuration is the time for which an endpoint counts as full after it
	// refused a request for lack of capacity.
	fullDuration = 100 * time.Millisecond
)

// member holds one agent and the link to it.
type member struct {
	fleet      *Fleet
	instance   elmkvapi.Instance
	retired    chan struct{}
	retireOnce sync.Once

	mutex       sync.Mutex
	datacentre  string
	service     string
	link        *elmlink.Link
	grant       *elmwire.Grant
	grantExpiry time.Time
	outstanding int
	peak        int
	fullUntil   time.Time
}

// retire ends the link once it is idle.
func (m *member) retire() {
	m.retireOnce.Do(func() { close(m.retired) })
}

// run reconnects the link until the member is retired or the context ends.
func (m *member) run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minRedialInterval
	delays.MaxInterval = maxRedialInterval
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

// serve exchanges messages over a link until it ends.
func (m *member) serve(ctx context.Context, link *elmlink.Link) {
	m.fleet.logger.Event(elmlog.LinkUp, "agent", m.instance.Name)
	m.setLink(link)
	m.setPeer(link.Peer())
	go m.receive(link)
	m.sendWants(ctx, link)
	m.setLink(nil)
	link.Close()
	m.fleet.logger.Event(elmlog.LinkDown, "agent", m.instance.Name)
}

// setPeer records the data centre and service that the agent announces. For an
// agent that the settings name by address, they are not known before.
func (m *member) setPeer(peer *elmwire.Hello) {
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

// sendWants sends the agent the window that the entry wants until the link ends.
// It returns once the link is idle and the member is retired or the agent is
// closing.
func (m *member) sendWants(ctx context.Context, link *elmlink.Link) {
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
		if m.canClose() {
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
			m.applyGrant(kind.Grant)
		case *elmwire.Control_Update:
			m.fleet.holder.Adopt(kind.Update)
		}
	}
}

// applyGrant records a grant, and sends the agent the newest configuration if it
// has an older one.
func (m *member) applyGrant(grant *elmwire.Grant) {
	m.mutex.Lock()
	m.grant = grant
	m.grantExpiry = time.Now().Add(time.Duration(grant.GetLifetimeMs()) * time.Millisecond)
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
		_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Update{Update: u}}) // receive closes a broken link.
	}
}

func (m *member) sendWant(link *elmlink.Link) {
	m.mutex.Lock()
	window := m.peak + spareWindow
	m.peak = m.outstanding
	m.mutex.Unlock()
	want := &elmwire.Want{Window: uint32(window), Revision: m.fleet.holder.Revision()}
	_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Want{Want: want}}) // receive closes a broken link.
}

func (m *member) setLink(link *elmlink.Link) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.link = link
	m.grant = nil
}

// canClose reports whether the link is idle and no longer needed.
func (m *member) canClose() bool {
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

// candidate returns the endpoint as a candidate, and false if it accepts no new
// requests. Credits are 0 while the endpoint counts as full and after the grant
// has expired.
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
	if now.Before(m.fullUntil) {
		c.Running = c.Limit
		return c, true
	}
	if now.Before(m.grantExpiry) {
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

// call sends a request to the agent on a new stream.
func (m *member) call(ctx context.Context, open *elmwire.Open) (*Call, error) {
	m.mutex.Lock()
	link := m.link
	m.mutex.Unlock()
	if link == nil {
		return nil, ErrNoLink
	}
	open.Incarnation = link.Peer().GetIncarnation()
	stream, err := link.Open(ctx)
	if err != nil {
		return nil, err
	}
	m.addOutstanding()
	call := newCall(m.instance.Name, stream, open.GetAttempt(), m.removeOutstanding)
	if err := elmlink.Write(stream, open); err != nil {
		call.Close()
		return nil, err
	}
	_ = stream.Close() // The agent reads only one message.
	return call, nil
}

// markFull makes the endpoint the last choice for fullDuration.
func (m *member) markFull() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fullUntil = time.Now().Add(fullDuration)
}

func (m *member) addOutstanding() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding++
	m.peak = max(m.peak, m.outstanding)
}

func (m *member) removeOutstanding() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding--
}
