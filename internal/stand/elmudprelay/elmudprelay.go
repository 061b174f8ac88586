// Package elmudprelay is a small UDP relay between entries and an agent, which can
// drop the datagrams of either direction to simulate a network partition.
//
// # Usage
//
//	relay, err := elmudprelay.New("127.0.0.1:0", agentAddress)
//	defer relay.Close()
//	relay.SetPartition(elmudprelay.ToEntry)
package elmudprelay

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const maxDatagramBytes = 64 << 10

// Partition is a network partition, given as the direction of the dropped
// datagrams.
type Partition int

const (
	// None drops nothing.
	None Partition = iota
	// ToAgent drops the datagrams that entries send.
	ToAgent
	// ToEntry drops the datagrams that the agent sends.
	ToEntry
	// Both drops all datagrams.
	Both
)

// Relay forwards datagrams between entries and one agent. It is safe for
// concurrent use.
type Relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	mutex     sync.Mutex
	partition Partition
	// sockets holds a socket towards the agent for each entry address.
	sockets map[string]*net.UDPConn
}

// New starts a relay from a listen address to the address of an agent.
func New(listen, agent string) (*Relay, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	target, err := net.ResolveUDPAddr("udp", agent)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	listener, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, sockets: map[string]*net.UDPConn{}}
	go r.forwardToAgent()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.LocalAddr().String() }

// SetPartition sets the direction in which datagrams are dropped.
func (r *Relay) SetPartition(partition Partition) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.partition = partition
}

// Close stops the relay and closes its sockets.
func (r *Relay) Close() {
	_ = r.listener.Close() // No datagram that matters can be lost.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, socket := range r.sockets {
		_ = socket.Close() // No datagram that matters can be lost.
	}
}

func (r *Relay) forwardToAgent() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, entry, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.drops(ToAgent) {
			continue
		}
		if socket := r.socketFor(entry); socket != nil {
			_, _ = socket.Write(buffer[:n]) // Datagrams may be lost.
		}
	}
}

// socketFor returns the socket towards the agent for an entry. Each entry has
// its own, so that the agent's replies can be matched to the entry.
func (r *Relay) socketFor(entry *net.UDPAddr) *net.UDPConn {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if socket, ok := r.sockets[entry.String()]; ok {
		return socket
	}
	socket, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.sockets[entry.String()] = socket
	go r.forwardToEntry(socket, entry)
	return socket
}

func (r *Relay) forwardToEntry(socket *net.UDPConn, entry *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The agent does not listen yet, or has stopped.
		}
		if !r.drops(ToEntry) {
			_, _ = r.listener.WriteToUDP(buffer[:n], entry) // Datagrams may be lost.
		}
	}
}

func (r *Relay) drops(direction Partition) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.partition == Both || r.partition == direction
}
