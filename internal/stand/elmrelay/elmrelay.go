// Package elmrelay is a small UDP relay that stands on the path between entries
// and an agent, and can cut the path in either direction.
//
// # Usage
//
//	relay, err := elmrelay.New("127.0.0.1:0", agentAddress)
//	defer relay.Close()
//	relay.Cut(elmrelay.ToEntry)
package elmrelay

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

const maxDatagram = 64 << 10

// Cut is the direction in which a relay drops datagrams.
type Cut int

const (
	// None lets all datagrams through.
	None Cut = iota
	// ToAgent drops what entries send.
	ToAgent
	// ToEntry drops what the agent sends.
	ToEntry
	// Both drops everything.
	Both
)

// Relay passes datagrams on. It is safe for concurrent use.
type Relay struct {
	front  *net.UDPConn
	target *net.UDPAddr

	mutex sync.Mutex
	cut   Cut
	backs map[string]*net.UDPConn
}

// New returns a relay that listens on an address and passes on to an agent.
func New(listen, agent string) (*Relay, error) {
	address, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	target, err := net.ResolveUDPAddr("udp", agent)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	front, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{front: front, target: target, backs: map[string]*net.UDPConn{}}
	go r.passToAgent()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.front.LocalAddr().String() }

// Cut chooses what is dropped from now on.
func (r *Relay) Cut(cut Cut) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cut = cut
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.front.Close() // Nothing can be lost that matters.
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, back := range r.backs {
		_ = back.Close() // Nothing can be lost that matters.
	}
}

func (r *Relay) passToAgent() {
	buffer := make([]byte, maxDatagram)
	for {
		n, entry, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if r.drops(ToAgent) {
			continue
		}
		if back := r.back(entry); back != nil {
			_, _ = back.Write(buffer[:n]) // Datagrams may be lost.
		}
	}
}

// back returns the socket that stands for an entry towards the agent.
func (r *Relay) back(entry *net.UDPAddr) *net.UDPConn {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if back, ok := r.backs[entry.String()]; ok {
		return back
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.backs[entry.String()] = back
	go r.passToEntry(back, entry)
	return back
}

func (r *Relay) passToEntry(back *net.UDPConn, entry *net.UDPAddr) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The agent is not listening yet, or no longer.
		}
		if !r.drops(ToEntry) {
			_, _ = r.front.WriteToUDP(buffer[:n], entry) // Datagrams may be lost.
		}
	}
}

func (r *Relay) drops(direction Cut) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.cut == Both || r.cut == direction
}
