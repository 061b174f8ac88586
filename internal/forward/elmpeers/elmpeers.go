// Package elmpeers connects the entries of a system: each tells the others how
// much work it has at each endpoint, and answers those that can't reach the
// platform's store with what it has read from there.
//
// Loads go as datagrams, since the next one replaces a lost one. Snapshots go
// over HTTP, since they are rare and may be large.
//
// # Usage
//
//	peers := elmpeers.New("10.0.0.4:7340", seeds)
//	peers.SetOthers([]string{"10.0.0.5:7340"}, nil)
//	go peers.Run(ctx, received)
package elmpeers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// ErrPeers reports that the entries can't be reached.
var ErrPeers = errors.New("peers")

const (
	// SnapshotPath is where entries answer each other.
	SnapshotPath = "/peer/snapshot"
	// askTimeout bounds the question to one neighbour.
	askTimeout = 400 * time.Millisecond
	// snapshotBytes bounds a neighbour's answer.
	snapshotBytes = 16 << 20
	datagramBytes = 60 << 10
	// asked is the number of neighbours that are asked at once.
	asked = 3
)

// Peers is an entry's connection to the others. It is safe for concurrent use.
type Peers struct {
	address string
	client  *http.Client

	mutex  sync.Mutex
	near   []string
	far    []string
	seeds  []string
	turn   int
	socket net.PacketConn
}

// New returns the connection of an entry that listens at an address. Seeds are
// asked for snapshots while no other entry is known.
func New(address string, seeds []string) *Peers {
	return &Peers{address: address, seeds: seeds, client: &http.Client{
		Timeout:   askTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true},
	}}
}

// SetOthers sets the addresses of the other entries: those of the own data
// centre and those of others.
func (p *Peers) SetOthers(near, far []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.near, p.far = near, far
}

// Run receives the loads of others until the context ends.
func (p *Peers) Run(ctx context.Context, received func(*elmpeer.Loads)) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp4", p.address)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeers, err)
	}
	p.mutex.Lock()
	p.socket = socket
	p.mutex.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%w: %w", ErrPeers, err)
		}
		var loads elmpeer.Loads
		if proto.Unmarshal(buffer[:n], &loads) == nil {
			received(&loads)
		}
	}
}

// Tell sends loads to the entries of the own data centre, and to the far ones if
// asked to. Lost datagrams are replaced by the next.
func (p *Peers) Tell(loads *elmpeer.Loads, far bool) error {
	p.mutex.Lock()
	others, socket := p.near, p.socket
	if far {
		others = slices.Concat(p.near, p.far)
	}
	p.mutex.Unlock()
	if socket == nil || len(others) == 0 {
		return nil
	}
	message, err := proto.Marshal(loads)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeers, err)
	}
	var failures []error
	for _, address := range others {
		target, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = socket.WriteTo(message, target)
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// Ask asks a few others for what they have read after a revision.
func (p *Peers) Ask(ctx context.Context, after int64) []*elmpeer.Snapshot {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var found []*elmpeer.Snapshot
	for _, address := range p.next() {
		wait.Go(func() {
			s, err := p.AskOne(ctx, address, after)
			if err != nil {
				return // Others are asked at the next turn.
			}
			mutex.Lock()
			defer mutex.Unlock()
			found = append(found, s)
		})
	}
	wait.Wait()
	return found
}

// next returns the addresses to ask in this turn.
func (p *Peers) next() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := slices.Concat(p.near, p.far)
	if len(known) == 0 {
		known = p.seeds
	}
	var list []string
	for i := range min(asked, len(known)) {
		list = append(list, known[(p.turn+i)%len(known)])
	}
	p.turn += asked
	return list
}

// AskOne asks another entry for what it has read after a revision.
func (p *Peers) AskOne(ctx context.Context, address string, after int64) (*elmpeer.Snapshot, error) {
	url := "http://" + address + SnapshotPath + "?after=" + strconv.FormatInt(after, 10)
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	response, err := p.client.Do(call)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	document, err := io.ReadAll(io.LimitReader(response.Body, snapshotBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d: %w", ErrPeers, response.StatusCode, err)
	}
	s := &elmpeer.Snapshot{}
	if err := proto.Unmarshal(document, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	return s, nil
}

// Handler answers the questions of others.
func Handler(source func(after int64) *elmpeer.Snapshot) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a revision", http.StatusBadRequest)
			return
		}
		document, err := proto.Marshal(source(after))
		if err != nil {
			http.Error(w, "snapshot can't be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(document) // The asker sees a short answer.
	})
}
