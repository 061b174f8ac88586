// Package elmtcprelay is a TCP relay on loopback between a process and a service. It
// injects network faults: it delays data, closes connections, or stalls one or
// both directions. It is for tests only.
//
// # Usage
//
//	relay, err := elmtcprelay.New(ctx, "127.0.0.1:9000")
//	relay.SetFault(elmtcprelay.StallResponses)
package elmtcprelay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is an injected network fault.
type Fault int

const (
	// None forwards all data.
	None Fault = iota
	// Refuse closes open connections and each new one.
	Refuse
	// Stall stalls both directions and keeps the connections open.
	Stall
	// StallResponses forwards requests and stalls responses.
	StallResponses
	// Slow delays each chunk by slowDelay.
	Slow
	// FaultCount is the number of values of Fault, None included.
	FaultCount
)

const (
	slowDelay    = 150 * time.Millisecond
	chunkBytes   = 16 << 10
	pollInterval = 20 * time.Millisecond
	dialTimeout  = time.Second
)

// Relay is a TCP relay to one target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault Fault
	open  map[net.Conn]bool
}

// New starts a relay to a target address. It listens on a free loopback port
// until the context ends.
func New(ctx context.Context, target string) (*Relay, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, open: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		r.closeAll()
	})
	go r.accept(ctx)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFault sets the injected fault, for open and for new connections.
func (r *Relay) SetFault(f Fault) {
	r.mutex.Lock()
	r.fault = f
	r.mutex.Unlock()
	if f == Refuse {
		r.closeAll()
	}
}

func (r *Relay) currentFault() Fault {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.fault
}

// closeAll closes all open connections.
func (r *Relay) closeAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.open {
		_ = c.Close()
	}
	r.open = map[net.Conn]bool{}
}

func (r *Relay) accept(ctx context.Context) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.currentFault() == Refuse {
			_ = client.Close()
			continue
		}
		target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		if !r.add(client, target) {
			continue
		}
		go r.forward(ctx, target, client, Stall)
		go r.forward(ctx, client, target, StallResponses)
	}
}

// add records an open connection, or closes it if connections are refused meanwhile.
func (r *Relay) add(client, target net.Conn) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.fault == Refuse {
		_, _ = client.Close(), target.Close()
		return false
	}
	r.open[client], r.open[target] = true, true
	return true
}

// forward copies data in one direction. Stall and the given fault stall it.
func (r *Relay) forward(ctx context.Context, to, from net.Conn, stalledBy Fault) {
	defer to.Close()   //nolint:errcheck // The connection is no longer used.
	defer from.Close() //nolint:errcheck // The connection is no longer used.
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for f := r.currentFault(); f == Stall || f == stalledBy; f = r.currentFault() {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(pollInterval)
		}
		if r.currentFault() == Slow {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
