package elmrankagent

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/elmcove/elmcove/internal/wire/elmbounded"
	"github.com/elmcove/elmcove/platform"
)

// maxOrderBytes bounds an order. The largest order has the map of the largest group.
const maxOrderBytes = 4 << 20

// minCompressedBytes is the size above which answers are compressed, because agents
// have slow links and a planner polls all of them.
const minCompressedBytes = 1 << 10

// handler serves reports, counts and orders by forwarding them to the rank. The rank
// answers a caller on its own instance without cost and without delay.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+platform.ReportPath, http.HandlerFunc(a.forward))
	mux.Handle("GET "+platform.ExpertsPath, http.HandlerFunc(a.forward))
	mux.Handle("POST "+platform.OrderPath, http.HandlerFunc(a.forward))
	mux.Handle("/metrics", a.meter.Handler())
	return mux
}

// forward forwards a request to the rank and returns the rank's answer.
func (a *Agent) forward(w http.ResponseWriter, r *http.Request) {
	var body io.Reader = http.MaxBytesReader(w, r.Body, maxOrderBytes+1)
	if r.Header.Get("Content-Encoding") == "gzip" {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			http.Error(w, "body can't be decompressed", http.StatusBadRequest)
			return
		}
		body = decompressed
	}
	rank := a.ranks
	if r.Method == http.MethodPost {
		order, err := elmbounded.ReadAll(body, maxOrderBytes) // The planner's link may take longer than orderTimeout.
		if errors.Is(err, elmbounded.ErrTooLong) {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if err != nil {
			http.Error(w, "order can't be read", http.StatusBadRequest)
			return
		}
		rank, body = a.orders, bytes.NewReader(order)
	}
	status, document, err := rank.Forward(r.Context(), r.Method, a.settings.EndpointAddress, r.URL.RequestURI(), body)
	if err != nil {
		http.Error(w, "rank does not answer", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if len(document) > minCompressedBytes && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		w.WriteHeader(status)
		compressor := gzip.NewWriter(w)
		_, _ = compressor.Write(document) // The caller detects a truncated answer.
		_ = compressor.Close()
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(document) // The caller detects a truncated answer.
}
