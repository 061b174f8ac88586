package elmgroup

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/model/elmrank"
	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// URL paths of an agent's interface for planners and other agents.
const (
	// PreparePath accepts elmpeer.Prepare. The status of the response is that of the
	// rank, or 404 if the agent does not know the map.
	PreparePath = "/rank/prepare"
	// StatePath returns the elmpeer.RankState of the agent's rank for the planner in the
	// query parameter "for".
	StatePath = "/rank/state"
	// CollectPath returns elmpeer.RankStates of the ranks at the addresses in the query
	// parameters "rank", at most MaxCollected, for the planner in "for".
	CollectPath = "/rank/collect"
)

// MaxCollected is the number of ranks that one agent collects the states of. An agent has
// a small part of a processor core.
const MaxCollected = 32

const (
	// maxHeadBytes limits the head of an agent's answer, and maxStatesBytes its body.
	maxHeadBytes   = 64 << 10
	maxStatesBytes = 1 << 20
	// maxStateBytes limits the state of one rank.
	maxStateBytes = 256 << 10
	// maxStateFields limits the fields of the state of one rank, and maxStatesFields those of
	// collected ones: a report of each rank, and sums of groups.
	maxStateFields  = 16
	maxStatesFields = 4 * MaxCollected
	idleTimeout     = 5 * time.Second
)

// ErrAgent reports a call to an agent without a usable answer.
var ErrAgent = errors.New("agent of a rank")

// Agents calls the agents beside ranks. It is safe for concurrent use.
type Agents struct {
	client *http.Client
	port   int
}

// NewAgents returns a client for agents that listen on a port of the instances of their
// ranks, with a timeout for each call.
func NewAgents(port int, timeout time.Duration) *Agents {
	return &Agents{port: port, client: &http.Client{Timeout: timeout, Transport: elmbounded.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}, maxHeadBytes, maxStatesBytes)}}
}

// Address returns the address of the agent beside a rank.
func (a *Agents) Address(rank string) string {
	host, _, err := net.SplitHostPort(rank)
	if err != nil {
		return rank
	}
	return net.JoinHostPort(host, strconv.Itoa(a.port))
}

// State fetches the state of a rank for a planner.
func (a *Agents) State(ctx context.Context, rank, planner string) (*elmpeer.RankState, error) {
	state := &elmpeer.RankState{}
	return state, a.get(ctx, rank, StatePath, url.Values{"for": {planner}}, maxStateBytes, maxStateFields, state)
}

// Collect fetches the states of ranks for a planner through the agent of one of them.
func (a *Agents) Collect(ctx context.Context, collector, planner string, ranks []string) (*elmpeer.RankStates, error) {
	states := &elmpeer.RankStates{}
	return states, a.get(ctx, collector, CollectPath, url.Values{"for": {planner}, "rank": ranks}, maxStatesBytes, maxStatesFields, states)
}

func (a *Agents) get(ctx context.Context, rank, path string, query url.Values, maxBytes int64, maxFields int, answer proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address(rank)+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if response.StatusCode != http.StatusOK || response.ContentLength < 0 {
		return fmt.Errorf("%w: status %d, length %d", ErrAgent, response.StatusCode, response.ContentLength)
	}
	document, err := elmbounded.ReadAll(response.Body, maxBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	if err := elmbounded.Unmarshal(document, answer, maxFields); err != nil {
		return fmt.Errorf("%w: %w", ErrAgent, err)
	}
	return nil
}

// Prepare sends a prepare order with the version of its map in place of the map. It
// reports whether the agent knows the map. If not, the order is void.
func (a *Agents) Prepare(ctx context.Context, rank string, order elmrank.Order) (outcome elmrank.Outcome, known bool) {
	ranks, sets, experts := order.Map.Size()
	body, err := proto.Marshal(&elmpeer.Prepare{
		Version: order.Version, Epoch: order.Epoch, Source: order.Source,
		Ranks: uint32(ranks), Sets: uint32(sets), Experts: uint32(experts),
	})
	if err != nil {
		return elmrank.Unknown, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address(rank)+PreparePath, bytes.NewReader(body))
	if err != nil {
		return elmrank.Unknown, false
	}
	response, err := a.client.Do(request)
	if err != nil {
		return elmrank.Unknown, true
	}
	defer response.Body.Close() //nolint:errcheck // Only the status is used.
	switch response.StatusCode {
	case http.StatusAccepted:
		return elmrank.Accepted, true
	case http.StatusConflict:
		return elmrank.Rejected, true
	case http.StatusNotFound:
		return elmrank.Unknown, false
	}
	return elmrank.Unknown, true
}
