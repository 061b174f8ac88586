package elmlink

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/quic-go/quic-go"

	"github.com/elmcove/elmcove/internal/wire/elmwire"
)

// Dialer dials the links of one entry over a shared UDP socket.
type Dialer struct {
	transport *quic.Transport
	config    *tls.Config
}

// NewDialer returns a Dialer whose socket is bound to a host address.
func NewDialer(host string, config *tls.Config) (*Dialer, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, fmt.Errorf("%w: listen on %s: %w", ErrLink, host, err)
	}
	return &Dialer{transport: &quic.Transport{Conn: conn}, config: config}, nil
}

// Dial connects to the agent at an address.
func (d *Dialer) Dial(ctx context.Context, address string, hello *elmwire.Hello) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLink, err)
	}
	config := QUICConfig()
	config.MaxIncomingStreams = -1 // Only the dialer opens streams.
	conn, err := d.transport.Dial(ctx, remote, d.config, config)
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", ErrLink, address, err)
	}
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(1, "no control stream") // The connection may be closed already.
		return nil, fmt.Errorf("%w: control stream: %w", ErrLink, err)
	}
	return handshake(conn, control, hello)
}

// Close closes all links and the socket.
func (d *Dialer) Close() {
	_ = d.transport.Close()      // The links are closed anyway.
	_ = d.transport.Conn.Close() // The socket is no longer used.
}
