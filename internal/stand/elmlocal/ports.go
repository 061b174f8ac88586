package elmlocal

import (
	"fmt"
	"net"
	"sync/atomic"
)

// siteCount counts the sites that this process has started.
var siteCount atomic.Uint32

// loopback returns a loopback address that only the processes of one site
// listen on. Outgoing connections use the source address 127.0.0.1, so their
// ephemeral ports can't collide with the site's ports.
func loopback(process int, site uint32) string {
	const values = 250 // per octet
	return fmt.Sprintf("127.%d.%d.%d", 1+process/values%values, 1+process%values, 1+site%values)
}

// freePort returns an address on the site's host with a free port. It issues
// no address twice, since the port may be free until its process has started.
func (s *Site) freePort(network string) (string, error) {
	for {
		address, err := s.probePort(network)
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrLocal, err)
		}
		if !s.issuedAddresses[address] {
			s.issuedAddresses[address] = true
			return address, nil
		}
	}
}

func (s *Site) probePort(network string) (string, error) {
	if network == "udp" {
		conn, err := net.ListenPacket(network, s.host+":0")
		if err != nil {
			return "", err
		}
		return conn.LocalAddr().String(), conn.Close()
	}
	listener, err := net.Listen(network, s.host+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
