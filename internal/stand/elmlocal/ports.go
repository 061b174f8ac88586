package elmlocal

import "fmt"

// hostNumber is the host of a site in its network.
const hostNumber = 2

// firstPort is the first port of a site. All ports of a site lie below the range from
// which the kernel takes ephemeral ports, so that no dialer gets one of them.
const firstPort = 20000

// newAddress returns an address on the site's host that no process of the site uses.
func (s *Site) newAddress() string {
	s.issuedPorts++
	return fmt.Sprintf("%s:%d", s.host, firstPort+s.issuedPorts)
}
