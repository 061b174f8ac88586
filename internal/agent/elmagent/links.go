package elmagent

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/elmcove/elmcove/internal/limit/elmcredit"
	"github.com/elmcove/elmcove/internal/observe/elmlog"
	"github.com/elmcove/elmcove/internal/wire/elmlink"
	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// serveLink serves one entry until its link ends.
func (a *Agent) serveLink(ctx context.Context, conn *quic.Conn) {
	link, err := elmlink.Accept(ctx, conn, a.hello())
	if err != nil {
		a.logger.Event(elmlog.LinkRefused, "peer", conn.RemoteAddr(), "error", err)
		_ = conn.CloseWithError(1, "refused") // The peer may have disconnected.
		return
	}
	defer link.Close()
	a.addPeer(link)
	defer a.removePeer(link)
	go a.receive(link)
	a.grant(link)
	a.serveStreams(ctx, link)
}

func (a *Agent) serveStreams(ctx context.Context, link *elmlink.Link) {
	for {
		stream, err := link.AcceptStream(ctx)
		if err != nil {
			return
		}
		go a.serveStream(ctx, stream)
	}
}

func (a *Agent) hello() *elmwire.Hello {
	return &elmwire.Hello{
		Instance:    a.settings.Instance,
		Datacentre:  a.settings.Datacentre,
		Incarnation: a.incarnation,
		Revision:    a.holder.Revision(),
		Service:     a.settings.Service,
	}
}

func (a *Agent) addPeer(link *elmlink.Link) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.peers[link] = struct{}{}
	a.logger.Event(elmlog.LinkUp, "entry", link.Peer().GetInstance())
}

func (a *Agent) removePeer(link *elmlink.Link) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.peers, link)
	a.gate.RemoveEntry(link.Peer().GetInstance())
	a.logger.Event(elmlog.LinkDown, "entry", link.Peer().GetInstance())
}

// receive handles the control messages of an entry until the link ends.
func (a *Agent) receive(link *elmlink.Link) {
	for {
		message, err := link.Receive()
		if err != nil {
			link.Close()
			return
		}
		switch kind := message.GetKind().(type) {
		case *elmwire.Control_Want:
			a.applyWant(link, kind.Want)
		case *elmwire.Control_Update:
			a.adopt(kind.Update)
			a.grantAll()
		}
	}
}

// applyWant records the window that an entry wants, and sends the configuration
// updates that the entry lacks.
func (a *Agent) applyWant(link *elmlink.Link, want *elmwire.Want) {
	a.gate.SetWant(link.Peer().GetInstance(), int(want.GetWindow()))
	for _, u := range a.holder.Since(want.GetRevision()) {
		_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Update{Update: u}}) // receive closes a broken link.
	}
	a.grant(link)
}

func (a *Agent) grantAll() {
	a.mutex.Lock()
	peers := a.peerList()
	a.mutex.Unlock()
	for _, p := range peers {
		a.grant(p)
	}
}

// grant sends an entry its window and the state of the endpoint.
func (a *Agent) grant(link *elmlink.Link) {
	pool := a.gate.Pool()
	a.mutex.Lock()
	grant := &elmwire.Grant{
		LifetimeMs: uint32(elmcredit.WindowLifetime.Milliseconds()),
		Running:    uint32(pool.Running()),
		Limit:      uint32(pool.Shared()),
		Leaving:    !a.acceptsRequestsLocked(),
		Revision:   a.holder.Revision(),
		Closing:    a.leaving,
	}
	if !grant.GetLeaving() {
		grant.Window = uint32(pool.Window(link.Peer().GetInstance(), time.Now()))
	}
	a.mutex.Unlock()
	_ = link.Send(&elmwire.Control{Kind: &elmwire.Control_Grant{Grant: grant}}) // receive closes a broken link.
}
