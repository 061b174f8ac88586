package elmlocal

import (
	"fmt"
	"net"
	"sync/atomic"
)

// sites counts the sites that this process has started.
var sites atomic.Uint32

// loopback returns an address that belongs to the processes of one site only.
// Connections start from 127.0.0.1, so that none takes a port of the site.
func loopback(process int, site uint32) string {
	const size = 250
	return fmt.Sprintf("127.%d.%d.%d", 1+process/size%size, 1+process%size, 1+site%size)
}

// freePort returns an address of the site whose port is free now, and that the
// site has not given out before.
func (s *Site) freePort(network string) (string, error) {
	for {
		address, err := s.probePort(network)
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrLocal, err)
		}
		if !s.given[address] {
			s.given[address] = true
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
