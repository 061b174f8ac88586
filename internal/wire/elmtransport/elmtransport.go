// Package elmtransport is net/http's client transport with strict validation of responses: one
// with a malformed head or trailer is an error, and so is an interim one. A reset of the
// connection is never the end of a body.
//
// # Usage
//
//	client := &http.Client{Transport: elmtransport.New(&http.Transport{MaxIdleConnsPerHost: 1})}
//
// Responses over TLS that come through a proxy are not validated.
package elmtransport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/elmcove/elmcove/internal/wire/elmconn"
	"github.com/elmcove/elmcove/internal/wire/elmhead"
)

// Transport is an http.Transport with strict validation. It is safe for concurrent use.
type Transport struct{ inner *http.Transport }

// New returns a Transport with the options of an http.Transport.
func New(options *http.Transport) *Transport {
	inner := options.Clone()
	dial := inner.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: elmconn.New(dialed)}, nil
	}
	inner.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := secure(ctx, elmconn.New(dialed), address, inner.TLSClientConfig)
		if err != nil {
			_ = dialed.Close() // The handshake's error counts.
			return nil, err
		}
		return &conn{Conn: secured}, nil
	}
	return &Transport{inner: inner}
}

// secure begins TLS on a connection to an address. The name in the peer's certificate is that of
// the options, if any, and otherwise the host of the address.
func secure(ctx context.Context, plain net.Conn, address string, options *tls.Config) (net.Conn, error) {
	config := options.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("name of the TLS peer: %w", err)
		}
		config.ServerName = host
	}
	secured := tls.Client(plain, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return secured, nil
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
		}
	}}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := t.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // The client wraps it.
	}
	elmhead.GuardTrailers(response)
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// conn validates the head of the response to each request.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// checker validates the head that is expected, or is nil.
	checker *elmhead.Checker
}

// expectHead starts to validate the response to a request that is about to be sent.
func (c *conn) expectHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checker = &elmhead.Checker{}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err //nolint:wrapcheck // As if the connection were not wrapped.
}

// check validates the received bytes that belong to heads.
func (c *conn) check(received []byte) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(received) > 0 && c.checker != nil {
		n, err := c.checker.Feed(received)
		if err != nil {
			return err //nolint:wrapcheck // The client wraps it.
		}
		received = received[n:]
		switch {
		case !c.checker.Done():
		case c.checker.IsInterim():
			c.checker = &elmhead.Checker{}
		default:
			c.checker = nil
		}
	}
	return nil
}
