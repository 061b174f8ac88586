package elmgroup

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/elmcove/elmcove/internal/expert/elmrank"
	"github.com/elmcove/elmcove/internal/wire/elmpeer"
)

// PreparePath is the URL path at which agents accept elmpeer.Prepare. The status of the
// response is that of the rank, or 404 if the agent does not know the map.
const PreparePath = "/rank/prepare"

// preparer asks agents to have maps prepared that their ranks have had before.
type preparer struct{ client *http.Client }

func newPreparer(timeout time.Duration) *preparer {
	return &preparer{client: &http.Client{Timeout: timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
	}}}
}

// send sends a prepare order with the version of its map in place of the map. It reports
// whether the agent knows the map. If not, the order is void.
func (p *preparer) send(ctx context.Context, agent string, order elmrank.Order) (outcome elmrank.Outcome, known bool) {
	ranks, sets, experts := order.Map.Size()
	body, err := proto.Marshal(&elmpeer.Prepare{
		Version: order.Version, Epoch: order.Epoch, Source: order.Source,
		Ranks: uint32(ranks), Sets: uint32(sets), Experts: uint32(experts),
	})
	if err != nil {
		return elmrank.Unknown, false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+PreparePath, bytes.NewReader(body))
	if err != nil {
		return elmrank.Unknown, false
	}
	response, err := p.client.Do(request)
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
