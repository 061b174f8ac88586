// Package elmloopback reserves loopback networks for stand-ins and tests, so that several
// runs at once on one machine never share an address. A reservation holds a socket and lasts
// until its release, and on until the processes that hold it too have ended, also while nothing else
// listens there.
//
// # Usage
//
//	network, err := elmloopback.Reserve(ctx, seed)
//	defer network.Release()
//	network.Hold(command)
//	address := network.IP(10) + ":7000"
package elmloopback

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// ErrNoNetwork reports that no network could be reserved.
var ErrNoNetwork = errors.New("no loopback network")

const (
	// firstOctet and octets bound the second octet of networks, and values the third.
	firstOctet = 220
	octets     = 30
	values     = 250
	// guardPort is the port of the socket that holds a network, at its first address. It is
	// below the range from which the kernel takes ephemeral ports.
	guardPort = 19999
)

// held has the networks that this process holds, so that none ends by garbage collection.
var held sync.Map

// Network is a reserved /24 network.
type Network struct {
	guard  *os.File
	prefix string
}

// Reserve reserves the first free network from the one with a number on. Numbers wrap around.
func Reserve(ctx context.Context, number uint64) (*Network, error) {
	var err error
	for i := range uint64(octets * values) {
		n := (number%(octets*values) + i) % (octets * values)
		network := &Network{prefix: fmt.Sprintf("127.%d.%d", firstOctet+n/values, n%values)}
		network.guard, err = listen(ctx, fmt.Sprintf("%s:%d", network.IP(1), guardPort))
		if err == nil {
			held.Store(network, nil)
			return network, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrNoNetwork, err)
}

// listen returns a socket that listens at an address.
func listen(ctx context.Context, address string) (*os.File, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // The caller compares and wraps it.
	}
	defer listener.Close()                    //nolint:errcheck // The file has a descriptor of its own.
	return listener.(*net.TCPListener).File() //nolint:wrapcheck // The caller wraps it.
}

// Hold lets a command that has not started hold the network until its process ends.
func (n *Network) Hold(command *exec.Cmd) {
	command.ExtraFiles = append(command.ExtraFiles, n.guard)
}

// IP returns the address of a host of the network, from 2 to 254.
func (n *Network) IP(host int) string { return fmt.Sprintf("%s.%d", n.prefix, host) }

// Release ends this process's part in the reservation.
func (n *Network) Release() {
	held.Delete(n)
	_ = n.guard.Close() // Nothing was sent on it.
}
