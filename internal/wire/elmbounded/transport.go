package elmbounded

import (
	"net/http"

	"github.com/elmcove/elmcove/internal/wire/elmtransport"
)

// Transport limits the responses that a strict transport receives, for clients whose
// responses are documents. It is safe for concurrent use.
type Transport struct {
	inner        *elmtransport.Transport
	maxBodyBytes int64
	budget       *Budget
}

// NewTransport returns a Transport with the options of an http.Transport. The head of a
// response, together with the interim responses before it, has at most maxHeadBytes.
// Reading a body of more than maxBodyBytes fails with ErrTooLong.
func NewTransport(options *http.Transport, maxHeadBytes, maxBodyBytes int64) *Transport {
	options = options.Clone()
	options.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{inner: elmtransport.New(options), maxBodyBytes: maxBodyBytes}
}

// WithBudget returns a copy whose bodies share a budget.
func (t *Transport) WithBudget(budget *Budget) *Transport {
	return &Transport{inner: t.inner, maxBodyBytes: t.maxBodyBytes, budget: budget}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.inner.RoundTrip(request)
	if err != nil {
		return nil, err //nolint:wrapcheck // The client wraps it.
	}
	t.budget.LimitBody(response, t.maxBodyBytes)
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }
