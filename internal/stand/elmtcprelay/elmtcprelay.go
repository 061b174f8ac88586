// Package elmtcprelay is a TCP relay on loopback between a process and a service. It
// injects network faults: it delays data, closes connections, or stalls one or
// both directions. It is for tests only.
//
// # Usage
//
//	path, err := elmtcprelay.New(ctx, "127.0.0.1:9000")
//	path.SetFault(elmtcprelay.StallResponses)
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

// Path is a TCP relay to one target. It is safe for concurrent use.
type Path struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault Fault
	open  map[net.Conn]bool
}

// New starts a relay to a target address. It listens on a free loopback port
// until the context ends.
func New(ctx context.Context, target string) (*Path, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	p := &Path{listener: listener, target: target, open: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.closeAll()
	})
	go p.accept(ctx)
	return p, nil
}

// Address returns the address on which the relay listens.
func (p *Path) Address() string { return p.listener.Addr().String() }

// SetFault sets the injected fault, for open and for new connections.
func (p *Path) SetFault(f Fault) {
	p.mutex.Lock()
	p.fault = f
	p.mutex.Unlock()
	if f == Refuse {
		p.closeAll()
	}
}

func (p *Path) currentFault() Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

// closeAll closes all open connections.
func (p *Path) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
	p.open = map[net.Conn]bool{}
}

func (p *Path) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == Refuse {
			_ = client.Close()
			continue
		}
		target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mutex.Lock()
		p.open[client], p.open[target] = true, true
		p.mutex.Unlock()
		go p.forward(ctx, target, client, Stall)
		go p.forward(ctx, client, target, StallResponses)
	}
}

// forward copies data in one direction. Stall and the given fault stall it.
func (p *Path) forward(ctx context.Context, to, from net.Conn, stalledBy Fault) {
	defer to.Close()   //nolint:errcheck // The connection is no longer used.
	defer from.Close() //nolint:errcheck // The connection is no longer used.
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for f := p.currentFault(); f == Stall || f == stalledBy; f = p.currentFault() {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(pollInterval)
		}
		if p.currentFault() == Slow {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
