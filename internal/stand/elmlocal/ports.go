package elmlocal

import (
	"fmt"
	"sync/atomic"
)

// siteCount counts the sites that this process has started.
var siteCount atomic.Uint32

// loopback returns a loopback address that only the processes of one site
// listen on.
func loopback(process int, site uint32) string {
	const values = 250 // per octet
	return fmt.Sprintf("127.%d.%d.%d", 1+process/values%values, 1+process%values, 1+site%values)
}

// firstPort is the first port of a site. All ports of a site lie below the range from
// which the kernel takes ephemeral ports, so that no dialer gets one of them.
const firstPort = 20000

// newAddress returns an address on the site's host that no process of the site uses.
func (s *Site) newAddress() string {
	s.issuedPorts++
	return fmt.Sprintf("%s:%d", s.host, firstPort+s.issuedPorts)
}
