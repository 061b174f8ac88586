// Package elmsocket sets and reads TCP socket options that the standard library does not
// expose.
//
// # Usage
//
//	dialer := &net.Dialer{Control: elmsocket.UserTimeout(time.Second)}
package elmsocket

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a net.Dialer Control function that sets TCP_USER_TIMEOUT: a
// connection is closed when sent data stays unacknowledged for the given time.
// Without it, a connection across a network partition hangs for minutes.
func UserTimeout(after time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, after) }
}

// SetUserTimeout sets TCP_USER_TIMEOUT on an open connection. A peer that acknowledges but
// does not read counts as unreachable too, once the buffers are full.
func SetUserTimeout(c syscall.Conn, after time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("raw connection: %w", err)
	}
	return setUserTimeout(raw, after)
}

func setUserTimeout(c syscall.RawConn, after time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// stateClosed is the state of a connection that was reset or timed out (TCP_CLOSE).
const stateClosed = 7

// IsClosed reports whether the connection of an open socket was reset or has timed out, so that
// writes fail at once. It is false if the peer has only closed its side, or if the state is not
// known.
func IsClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == stateClosed
	})
	return err == nil && closed
}
