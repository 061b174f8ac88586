// Package elmpath is a TCP relay on loopback that stands on the path between a
// process and a service and spoils it: it delays, resets, cuts one way, or goes
// silent. It is for tests only.
//
// # Usage
//
//	path, err := elmpath.New(ctx, "127.0.0.1:9000")
//	path.Set(elmpath.SilentBack)
package elmpath

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Fault is what a path does to bytes.
type Fault int

const (
	// None passes all bytes on.
	None Fault = iota
	// Refuse resets new connections, and those that are open.
	Refuse
	// Silent passes nothing on, in neither direction.
	Silent
	// SilentBack passes requests on and no answers.
	SilentBack
	// Slow delays each part.
	Slow
	// Faults is the number of faults.
	Faults
)

const (
	// delay is that of Slow.
	delay      = 150 * time.Millisecond
	partBytes  = 16 << 10
	lookAgain  = 20 * time.Millisecond
	dialForAny = time.Second
)

// Path is a relay. It is safe for concurrent use.
type Path struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	fault Fault
	open  map[net.Conn]bool
}

// New returns a relay to a target that listens on a free port.
func New(ctx context.Context, target string) (*Path, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	p := &Path{listener: listener, target: target, open: map[net.Conn]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.reset()
	})
	go p.accept(ctx)
	return p, nil
}

// Address returns the address on which the relay listens.
func (p *Path) Address() string { return p.listener.Addr().String() }

// Set chooses what happens from now on.
func (p *Path) Set(f Fault) {
	p.mutex.Lock()
	p.fault = f
	p.mutex.Unlock()
	if f == Refuse {
		p.reset()
	}
}

func (p *Path) present() Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.fault
}

func (p *Path) reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		_ = c.Close()
	}
	p.open = map[net.Conn]bool{}
}

func (p *Path) accept(ctx context.Context) {
	for {
		front, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.present() == Refuse {
			_ = front.Close()
			continue
		}
		back, err := (&net.Dialer{Timeout: dialForAny}).DialContext(ctx, "tcp4", p.target)
		if err != nil {
			_ = front.Close()
			continue
		}
		p.mutex.Lock()
		p.open[front], p.open[back] = true, true
		p.mutex.Unlock()
		go p.pass(ctx, back, front, Silent)
		go p.pass(ctx, front, back, SilentBack)
	}
}

// pass copies one direction. The faults from Silent up to silenced stop it.
func (p *Path) pass(ctx context.Context, to, from net.Conn, silenced Fault) {
	defer to.Close()   //nolint:errcheck // Both ends are over.
	defer from.Close() //nolint:errcheck // Both ends are over.
	buffer := make([]byte, partBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for f := p.present(); f == Silent || f == silenced; f = p.present() {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(lookAgain)
		}
		if p.present() == Slow {
			time.Sleep(delay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
