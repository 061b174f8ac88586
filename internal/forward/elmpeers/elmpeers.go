// Package elmpeers connects the entries of a system. Each entry reports to the others
// how many requests it has at each endpoint, and what workspaces ask of services that are
// short of capacity. To entries that can't reach the
// platform's store it serves what it has read from the store.
//
// Loads and shares are sent as datagrams, since a later one replaces a lost one. Snapshots are
// fetched over HTTP, since they are rare and may be large.
//
// # Usage
//
//	peers := elmpeers.New("10.0.0.4:7340", seeds)
//	peers.SetAddresses([]string{"10.0.0.5:7340"}, nil)
//	go peers.Run(ctx, handleLoads, handleShares)
package elmpeers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/forward/elmsnapshot"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// ErrPeers reports a failed exchange with other entries.
var ErrPeers = errors.New("peers")

const (
	// SnapshotPath is the URL path of the snapshot handler.
	SnapshotPath = "/peer/snapshot"
	// fetchTimeout bounds one snapshot request.
	fetchTimeout = 400 * time.Millisecond
	// maxHeadBytes limits the head of a response, and maxSnapshotBytes its body.
	maxHeadBytes     = 64 << 10
	maxSnapshotBytes = 8 << 20
	// maxSnapshotFields limits the items and keys of a snapshot together.
	maxSnapshotFields = 1 << 16
	// maxDatagramBytes limits the size of a received datagram.
	maxDatagramBytes = 60 << 10
	// sharesMark is the first byte of a datagram with shares. No encoded message begins with
	// it, so that an entry of an older release can't read such a datagram as loads.
	sharesMark = 0
	// fetchFanOut is the number of peers that snapshots are requested from at once.
	fetchFanOut = 3
)

// Peers exchanges loads and snapshots with the other entries. It is safe for
// concurrent use.
type Peers struct {
	address string
	client  *http.Client

	mutex  sync.Mutex
	local  []string
	remote []string
	seeds  []string
	offset int
	socket net.PacketConn
}

// New returns the Peers of an entry that listens at an address. Snapshots are
// requested from the seeds while no other entry is known.
func New(address string, seeds []string) *Peers {
	return &Peers{address: address, seeds: seeds, client: &http.Client{
		Timeout: fetchTimeout,
		Transport: elmbounded.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		}, maxHeadBytes, maxSnapshotBytes).WithBudget(elmbounded.NewBudget(maxSnapshotBytes)),
	}}
}

// SetAddresses sets the addresses of the other entries: local ones are in this data
// centre, remote ones in others.
func (p *Peers) SetAddresses(local, remote []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.local, p.remote = local, remote
}

// Run receives the loads and shares of other entries until the context ends.
func (p *Peers) Run(ctx context.Context, handleLoads func(*elmpeer.Loads), handleShares func(*elmpeer.Shares)) error {
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
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%w: %w", ErrPeers, err)
		}
		if n > 0 && buffer[0] == sharesMark {
			var shares elmpeer.Shares
			if proto.Unmarshal(buffer[1:n], &shares) == nil {
				handleShares(&shares)
			}
			continue
		}
		var loads elmpeer.Loads
		if proto.Unmarshal(buffer[:n], &loads) == nil {
			handleLoads(&loads)
		}
	}
}

// SendLoads sends loads to entries at addresses. A lost datagram is not sent again: the
// next one replaces it.
func (p *Peers) SendLoads(loads *elmpeer.Loads, addresses []string) error {
	_, err := p.send(nil, loads, addresses)
	return err
}

// SendShares sends shares to entries at addresses, as SendLoads does loads, and returns the
// number of bytes that were sent.
func (p *Peers) SendShares(shares *elmpeer.Shares, addresses []string) (int, error) {
	return p.send([]byte{sharesMark}, shares, addresses)
}

// send sends a message after a prefix to each address.
func (p *Peers) send(prefix []byte, message proto.Message, addresses []string) (int, error) {
	p.mutex.Lock()
	socket := p.socket
	p.mutex.Unlock()
	if socket == nil || len(addresses) == 0 {
		return 0, nil
	}
	datagram, err := proto.MarshalOptions{}.MarshalAppend(prefix, message)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	var failures []error
	sent := 0
	for _, address := range addresses {
		target, err := net.ResolveUDPAddr("udp4", address)
		n := 0
		if err == nil {
			n, err = socket.WriteTo(datagram, target)
		}
		sent += n
		failures = append(failures, err)
	}
	return sent, errors.Join(failures...)
}

// FetchSnapshots fetches from a few other entries what they have read after a position.
func (p *Peers) FetchSnapshots(ctx context.Context, after elmsnapshot.Position) []*elmpeer.Snapshot {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	var found []*elmpeer.Snapshot
	for _, address := range p.nextPeers() {
		wait.Go(func() {
			s, err := p.FetchSnapshot(ctx, address, after)
			if err != nil {
				return // The next call asks other entries.
			}
			mutex.Lock()
			defer mutex.Unlock()
			found = append(found, s)
		})
	}
	wait.Wait()
	return found
}

// nextPeers returns the next addresses to fetch from, in round-robin order.
func (p *Peers) nextPeers() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := slices.Concat(p.local, p.remote)
	if len(known) == 0 {
		known = p.seeds
	}
	var list []string
	for i := range min(fetchFanOut, len(known)) {
		list = append(list, known[(p.offset+i)%len(known)])
	}
	p.offset += fetchFanOut
	return list
}

// FetchSnapshot fetches from another entry what it has read after a position.
func (p *Peers) FetchSnapshot(ctx context.Context, address string, after elmsnapshot.Position) (*elmpeer.Snapshot, error) {
	url := fmt.Sprintf("http://%s%s?after=%d&era=%d", address, SnapshotPath, after.Revision, after.Era)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrPeers, response.StatusCode)
	}
	// A message that is cut after a field decodes as a shorter one.
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: snapshot has neither length nor chunks", ErrPeers)
	}
	body, err := elmbounded.ReadAll(response.Body, maxSnapshotBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	s := &elmpeer.Snapshot{}
	if err := elmbounded.Unmarshal(body, s, maxSnapshotFields); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeers, err)
	}
	return s, nil
}

// Handler serves snapshots to other entries.
func Handler(source func(after elmsnapshot.Position) *elmpeer.Snapshot) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a revision", http.StatusBadRequest)
			return
		}
		era, err := strconv.ParseInt(cmp.Or(query.Get("era"), "0"), 10, 64)
		if err != nil {
			http.Error(w, "era must be an era of the store", http.StatusBadRequest)
			return
		}
		body, err := proto.Marshal(source(elmsnapshot.Position{Era: era, Revision: revision}))
		if err != nil {
			http.Error(w, "snapshot can't be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/protobuf")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body) // The client detects an incomplete response.
	})
}
