// Package elmsocket sets options of TCP connections that the standard library
// does not set.
//
// # Usage
//
//	dialer := &net.Dialer{Control: elmsocket.EndSilent(time.Second)}
package elmsocket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// EndSilent returns a function for a dialer that makes connections end when
// their bytes are not acknowledged for a time. Otherwise a connection across a
// partition hangs for minutes.
func EndSilent(after time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		return errors.Join(err, failure)
	}
}
